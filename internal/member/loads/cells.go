package loads

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// collectors returns the collectors among the live routers: one per cell, with as many cells as the square root of the number of routers.
// They are chosen by rendezvous hashing, so that all routers with the same member list choose the same ones.
func collectors(live qm.Members) qm.Members {
	return advice.Rank(collectorKey, live)[:int(math.Round(math.Sqrt(float64(len(live)))))]
}

// collectorKey is the rendezvous hashing key that ranks routers as collectors.
const collectorKey = "loads"

// collectorAttempts is the maximum number of collectors that a router calls in a round until one answers.
const collectorAttempts = 2

// cellRound exchanges loads as a member or as the collector of a cell. live holds all live routers, including this one.
//
// Each router reports its load to the collector of its cell and receives the load of all other routers in return; collectors exchange the
// sums of their cells. Every router thus knows the load of all others within a few rounds, at the cost of one exchange per round. A
// collector has one exchange for each member of its cell and for each other collector, both about the square root of the number of
// routers. Extrapolating from a sample of routers is not an alternative: an engine has few requests, each sent by a different router, so
// that a sample says almost nothing about its load.
func (t *Tracker) cellRound(ctx context.Context, live qm.Members) {
	all := collectors(live)
	isCollector := slices.ContainsFunc(all, func(m qm.Member) bool { return m.IsSelf })
	t.mu.Lock()
	t.isCollector = isCollector
	t.mu.Unlock()
	if !isCollector {
		for _, m := range advice.Rank(qm.TeamID(t.opts.Self), all)[:min(collectorAttempts, len(all))] {
			if theirs, err := t.exchange(ctx, m, t.localShare(peerpb.LoadScope_LOAD_SCOPE_MEMBER)); err == nil {
				t.storeAnswer(theirs)
				return
			}
		}
		return
	}
	var wg sync.WaitGroup
	for _, m := range all {
		// One exchange informs both sides, so only the collector with the lower ID starts it.
		if m.IsSelf || m.Instance < t.opts.Self {
			continue
		}
		wg.Go(func() {
			if theirs, err := t.exchange(ctx, m, t.localShare(peerpb.LoadScope_LOAD_SCOPE_CELL)); err == nil {
				t.storeAnswer(theirs)
			}
		})
	}
	wg.Wait()
}

// loadByEndpoint is the load at each endpoint.
type loadByEndpoint map[qm.EndpointID]load

// add adds the loads in more to l.
func (l loadByEndpoint) add(more loadByEndpoint) {
	for e, c := range more {
		l[e] = l[e].plus(c)
	}
}

// sum is the load and the demand of a number of routers.
type sum struct {
	routers int
	loads   loadByEndpoint
	demands demandByGroup
}

func newSum() *sum { return &sum{loads: loadByEndpoint{}, demands: demandByGroup{}} }

// scale returns the factor that turns the sum into that of a larger number of routers.
func (s *sum) scale(routers int) float64 {
	if s.routers == 0 {
		return 0
	}
	return math.Max(1, float64(routers)/float64(s.routers))
}

// addOwn adds the load and the demand of the tracker's router. The caller holds its lock.
func (s *sum) addOwn(t *Tracker, now time.Time) {
	s.routers++
	s.loads.add(t.own)
	if t.opts.Demand != nil {
		s.demands.add(t.opts.Demand(now), 1)
	}
}

// addRecent adds the reports that are at most maxReportAge old, except that of one router, and deletes older reports.
func (s *sum) addRecent(from map[qm.InstanceID]report, now time.Time, except qm.InstanceID) {
	for id, r := range from {
		if now.Sub(r.receivedAt) > maxReportAge {
			delete(from, id)
			continue
		}
		if id != except {
			s.routers += r.routers
			s.loads.add(r.loads)
			s.demands.add(r.demands, 1)
		}
	}
}

// loadsExcept returns the load that a collector knows of other routers, except one member of its cell. The caller holds mu.
func (t *Tracker) loadsExcept(now time.Time, except qm.InstanceID) *sum {
	s := newSum()
	s.addRecent(t.fromRouters, now, except)
	s.addRecent(t.fromCells, now, "")
	return s
}
