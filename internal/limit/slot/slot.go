// Package slot gives out places at the engines of each group through a weighted fair queue, so that requests wait here, in the
// order of their teams' weights, and not in the engines' own queues.
//
// The places of a router are what the other routers leave of a target, a multiple of the engines' batch sizes, but at least an
// equal share. What the others use is what the engines report less the router's own requests. Reports lag, so that routers may
// exceed the target together for a moment; the engines' own queues take that up.
package slot

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
	"quetzalmount.dev/quetzalmount/internal/limit/queue"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// capacityEvery is the time between two looks at the load of the engines. Reports lag by more.
const capacityEvery = 100 * time.Millisecond

// freshReport is the age up to which a load report tells how much the other routers use of an engine.
const freshReport = 3 * time.Second

// Options are the settings of a Pool.
type Options struct {
	Board *board.Board
	// LoadPercent is the target of all routers together, in percent of the engines' batch sizes.
	LoadPercent int
	// QueueLength is the queue length of teams that have no limit of their own.
	QueueLength int
}

// Load is the work of one team on this router.
type Load struct {
	Team             qm.TeamID
	InFlight, Queued int
}

// Pool gives out places. It is safe for concurrent use.
type Pool struct {
	opts Options
	loop *period.Loop

	mu     sync.Mutex
	queues map[qm.GroupID]*queue.Queue
	loads  map[qm.TeamID]*Load
}

// New starts a pool. It ends with the context or with Close.
func New(ctx context.Context, opts Options) *Pool {
	s := &Pool{opts: opts, queues: make(map[qm.GroupID]*queue.Queue), loads: make(map[qm.TeamID]*Load)}
	s.loop = period.New(ctx, capacityEvery, func(context.Context) { s.adjust(time.Now()) })
	return s
}

// Close ends the adjustment of the capacity and waits for it.
func (p *Pool) Close() { p.loop.Close() }

// Acquire waits for a place at the engines of a group. The caller releases it once the request has left its engine.
func (p *Pool) Acquire(ctx context.Context, team *qm.Team, group qm.GroupID, cost qm.Tokens) (func(), error) {
	r := queue.Request{Team: team.ID, Weight: team.Weight, Cost: cost, Length: team.Limits.QueueLength}
	if r.Length == 0 {
		r.Length = p.opts.QueueLength
	}
	r.Deadline, _ = ctx.Deadline()
	q := p.queue(group)
	p.note(team.ID, 0, 1)
	release, err := q.Wait(ctx, r)
	if err != nil {
		p.note(team.ID, 0, -1)
		return nil, err
	}
	p.note(team.ID, 1, -1)
	return func() {
		release()
		p.note(team.ID, -1, 0)
	}, nil
}

func (p *Pool) queue(group qm.GroupID) *queue.Queue {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.queues[group]
	if !ok {
		q = queue.New(p.capacity(group, 0, time.Now()))
		p.queues[group] = q
	}
	return q
}

// note counts the requests of a team that run and wait. Teams without any have no entry.
func (p *Pool) note(team qm.TeamID, running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.loads[team]
	if !ok {
		l = &Load{Team: team}
		p.loads[team] = l
	}
	l.InFlight += running
	l.Queued += waiting
	if l.InFlight == 0 && l.Queued == 0 {
		delete(p.loads, team)
	}
}

// Teams returns the teams that have requests on this instance.
func (p *Pool) Teams() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Load
	for _, l := range p.loads {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b Load) int { return strings.Compare(string(a.Team), string(b.Team)) })
	return out
}

// adjust sets the capacity of every queue.
func (p *Pool) adjust(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for group, q := range p.queues {
		q.SetCapacity(p.capacity(group, q.Running(), now))
	}
}

// capacity returns how many requests this router may have at the engines of a group.
func (p *Pool) capacity(group qm.GroupID, own int, now time.Time) int {
	endpoints, _ := p.opts.Board.Endpoints.Load()
	target, reported, known := 0, 0, 0
	engines := 0
	for _, e := range endpoints {
		if e.Kind != qm.KindEngine || e.Group != group || e.State == qm.Leaving {
			continue
		}
		engines++
		if now.Sub(e.ReportedAt) > freshReport || e.Load.Slots == 0 {
			continue
		}
		known++
		target += e.Load.Slots * p.opts.LoadPercent / 100
		reported += e.Load.Running + e.Load.Waiting
	}
	if known == 0 {
		// Nothing is known right after a start. One request an engine keeps the router useful until the first reports arrive.
		return max(engines, 1)
	}
	// Engines that were not asked lately count as the known ones do on average.
	target, reported = target*engines/known, reported*engines/known
	return max(target-max(reported-own, 0), target/p.routers(), 1)
}

// routers returns the number of live routers.
func (p *Pool) routers() int {
	members, _ := p.opts.Board.Members.Load()
	n := 0
	for _, m := range members {
		if m.State == qm.Live {
			n++
		}
	}
	return max(n, 1)
}
