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

// addRecent adds the reports that are at most maxReportAge old to l, except that of one router, and deletes older reports. It returns the
// number of routers whose load it added.
func (l loadByEndpoint) addRecent(from map[qm.InstanceID]report, now time.Time, except qm.InstanceID) int {
	n := 0
	for id, r := range from {
		if now.Sub(r.receivedAt) > maxReportAge {
			delete(from, id)
			continue
		}
		if id != except {
			n += r.routers
			l.add(r.loads)
		}
	}
	return n
}

// loadsExcept returns the load that a collector knows of other routers, except one member of its cell, and the number of those routers.
// The caller holds mu.
func (t *Tracker) loadsExcept(now time.Time, except qm.InstanceID) (loadByEndpoint, int) {
	l := loadByEndpoint{}
	n := l.addRecent(t.fromRouters, now, except) + l.addRecent(t.fromCells, now, "")
	return l, n
}
