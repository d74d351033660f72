// Package slot limits the requests that this router runs at the engines of each group. Requests above the limit wait in a
// weighted fair queue, in the order of their teams' weights, and not in the engines' own queues.
//
// All routers together aim at a target, a multiple of the engines' batch sizes. The slots of a router are the part of the
// target that the other routers do not use, but at least an equal share of the target. The use of the others is the load that
// the engines report minus the router's own requests. Reports lag, so that the routers together may exceed the target for a
// short time; the engines' own queues absorb the excess.
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

// capacityInterval is the time between two updates of the capacities. Load reports lag by more than that.
const capacityInterval = 100 * time.Millisecond

// maxReportAge is the age above which a load report of an engine is ignored.
const maxReportAge = 3 * time.Second

// Options configures a Pool.
type Options struct {
	Board *board.Board
	// LoadPercent is the target for the requests of all routers together, in percent of the engines' batch sizes.
	LoadPercent int
	// QueueLength is the maximum number of waiting requests of a team without a limit of its own.
	QueueLength int
}

// Load is the number of requests of one team on this router that run at engines (InFlight) and that wait (Queued).
type Load struct {
	Team             qm.TeamID
	InFlight, Queued int
}

// Pool assigns slots at engines to requests. It is safe for concurrent use.
type Pool struct {
	opts Options
	loop *period.Loop

	mu     sync.Mutex
	queues map[qm.GroupID]*queue.Queue
	loads  map[qm.TeamID]*Load
}

// New returns a Pool that updates its capacities until the context ends or Close is called.
func New(ctx context.Context, opts Options) *Pool {
	p := &Pool{opts: opts, queues: make(map[qm.GroupID]*queue.Queue), loads: make(map[qm.TeamID]*Load)}
	p.loop = period.New(ctx, capacityInterval, func(context.Context) { p.updateCapacities(time.Now()) })
	return p
}

// Close stops the updates of the capacities and waits for the current one.
func (p *Pool) Close() { p.loop.Close() }

// Acquire waits for a slot at the engines of a group and returns a function that releases it, to be called once the request
// has left its engine. The errors are those of queue.Queue.Wait; the deadline is that of ctx.
func (p *Pool) Acquire(ctx context.Context, team *qm.Team, group qm.GroupID, cost qm.Tokens) (func(), error) {
	r := queue.Request{Team: team.ID, Weight: team.Weight, Cost: cost, Length: team.Limits.QueueLength}
	if r.Length == 0 {
		r.Length = p.opts.QueueLength
	}
	r.Deadline, _ = ctx.Deadline()
	q := p.queue(group)
	p.addLoad(team.ID, 0, 1)
	release, err := q.Wait(ctx, r)
	if err != nil {
		p.addLoad(team.ID, 0, -1)
		return nil, err
	}
	p.addLoad(team.ID, 1, -1)
	return func() {
		release()
		p.addLoad(team.ID, -1, 0)
	}, nil
}

// queue returns the queue of a group and creates it if it does not exist.
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

// addLoad adds to the numbers of running and waiting requests of a team. Teams without requests have no entry.
func (p *Pool) addLoad(team qm.TeamID, running, waiting int) {
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

// Teams returns the loads of the teams that have requests on this instance, ordered by team.
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

// updateCapacities sets the capacity of every queue.
func (p *Pool) updateCapacities(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for group, q := range p.queues {
		q.SetCapacity(p.capacity(group, q.Running(), now))
	}
}

// capacity returns the number of requests that this router may run at the engines of a group, of which ownRunning are
// running.
func (p *Pool) capacity(group qm.GroupID, ownRunning int, now time.Time) int {
	endpoints, _ := p.opts.Board.Endpoints.Load()
	target, reported, reporting := 0, 0, 0
	engines := 0
	for _, e := range endpoints {
		if e.Kind != qm.KindEngine || e.Group != group || e.State == qm.Leaving {
			continue
		}
		engines++
		if now.Sub(e.ReportedAt) > maxReportAge || e.Load.Slots == 0 {
			continue
		}
		reporting++
		target += e.Load.Slots * p.opts.LoadPercent / 100
		reported += e.Load.Running + e.Load.Waiting
	}
	if reporting == 0 {
		// No load is known right after a start. One request for each engine is admitted until the first reports arrive.
		return max(engines, 1)
	}
	// Engines without a recent report are assumed to have the average load of the others.
	target, reported = target*engines/reporting, reported*engines/reporting
	return max(target-max(reported-ownRunning, 0), target/p.liveRouters(), 1)
}

// liveRouters returns the number of live routers, at least 1.
func (p *Pool) liveRouters() int {
	members, _ := p.opts.Board.Members.Load()
	n := 0
	for _, m := range members {
		if m.State == qm.Live {
			n++
		}
	}
	return max(n, 1)
}
