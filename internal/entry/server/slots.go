package server

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/entry/opsapi"
	"quetzalmount.dev/quetzalmount/internal/infra/conf"
	"quetzalmount.dev/quetzalmount/internal/limit/queue"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// capacityEvery is the time between two looks at the load of the engines. Reports lag by more.
const capacityEvery = 100 * time.Millisecond

// freshReport is the age up to which a load report tells how much the other routers use of an engine.
const freshReport = 3 * time.Second

// slots gives out places at the engines of each group through a weighted fair queue, so that requests wait here, in the order
// of their teams' weights, and not in the engines' own queues.
type slots struct {
	board    *board.Board
	settings *conf.Settings
	stop     context.CancelFunc
	done     sync.WaitGroup

	mu     sync.Mutex
	queues map[qm.GroupID]*queue.Queue
	loads  map[qm.TeamID]*opsapi.TeamLoad
}

func newSlots(ctx context.Context, b *board.Board, s *conf.Settings) *slots {
	sl := &slots{
		board: b, settings: s, queues: make(map[qm.GroupID]*queue.Queue), loads: make(map[qm.TeamID]*opsapi.TeamLoad),
	}
	ctx, sl.stop = context.WithCancel(ctx)
	sl.done.Go(func() {
		tick := time.NewTicker(capacityEvery)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				sl.adjust(time.Now())
			}
		}
	})
	return sl
}

func (s *slots) close() {
	s.stop()
	s.done.Wait()
}

// acquire waits for a place at the engines of a group.
func (s *slots) acquire(ctx context.Context, team *qm.Team, group qm.GroupID, cost qm.Tokens) (func(), error) {
	r := queue.Request{Team: team.ID, Weight: team.Weight, Cost: cost, Length: team.Limits.QueueLength}
	if r.Length == 0 {
		r.Length = s.settings.QueueLength
	}
	r.Deadline, _ = ctx.Deadline()
	q := s.queue(group)
	s.note(team.ID, 0, 1)
	release, err := q.Wait(ctx, r)
	if err != nil {
		s.note(team.ID, 0, -1)
		return nil, err
	}
	s.note(team.ID, 1, -1)
	return func() {
		release()
		s.note(team.ID, -1, 0)
	}, nil
}

func (s *slots) queue(group qm.GroupID) *queue.Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ok := s.queues[group]
	if !ok {
		q = queue.New(s.capacity(group, 0, time.Now()))
		s.queues[group] = q
	}
	return q
}

// note counts the requests of a team that run and wait. Teams without any have no entry.
func (s *slots) note(team qm.TeamID, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.loads[team]
	if !ok {
		l = &opsapi.TeamLoad{Team: team}
		s.loads[team] = l
	}
	l.InFlight += running
	l.Queued += waiting
	if l.InFlight == 0 && l.Queued == 0 {
		delete(s.loads, team)
	}
}

// teams returns the teams that have requests on this instance.
func (s *slots) teams() []opsapi.TeamLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []opsapi.TeamLoad
	for _, l := range s.loads {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b opsapi.TeamLoad) int { return strings.Compare(string(a.Team), string(b.Team)) })
	return out
}

// adjust sets the capacity of every queue.
func (s *slots) adjust(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for group, q := range s.queues {
		q.SetCapacity(s.capacity(group, q.Running(), now))
	}
}

// capacity returns how many requests this router may have at the engines of a group: what the other routers leave of the target,
// but at least an equal share. What the others use is what the engines report less own requests. The reports lag, so that routers
// may exceed the target together for a moment; the engines' own queues take that up.
func (s *slots) capacity(group qm.GroupID, own int, now time.Time) int {
	endpoints, _ := s.board.Endpoints.Load()
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
		target += e.Load.Slots * s.settings.EngineLoad / 100
		reported += e.Load.Running + e.Load.Waiting
	}
	if known == 0 {
		// Nothing is known right after a start. One request an engine keeps the router useful until the first reports arrive.
		return max(engines, 1)
	}
	// Engines that were not asked lately count as the known ones do on average.
	target, reported = target*engines/known, reported*engines/known
	return max(target-max(reported-own, 0), target/s.routers(), 1)
}

// routers returns the number of live routers.
func (s *slots) routers() int {
	members, _ := s.board.Members.Load()
	n := 0
	for _, m := range members {
		if m.State == qm.Live {
			n++
		}
	}
	return max(n, 1)
}
