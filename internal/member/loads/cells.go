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

// collectors returns the routers that collect: as many as the square root of the number of routers, chosen by hash so that all routers with
// the same list choose the same ones.
func collectors(live qm.Members) qm.Members {
	return advice.Rank(collectorKey, live)[:int(math.Round(math.Sqrt(float64(len(live)))))]
}

// collectorKey is the key under which routers are ranked as collectors.
const collectorKey = "loads"

// collectorTries is the number of collectors that a router tries in a round.
const collectorTries = 2

// cellRound trades as a member or as a collector of a cell. live are all routers that are live, this one among them.
//
// Each router reports its work to the collector of its cell and gets that of all other routers in return, and the collectors trade the sums
// of their cells. So every router knows the work of all others within a few rounds, at the cost of one trade a round; a collector has as
// many as it has members and fellow collectors, both about the square root of the number of routers. A sample of a few routers in place of
// this, scaled up, tells next to nothing: an engine has few requests, each at another router.
func (b *Book) cellRound(ctx context.Context, live qm.Members) {
	all := collectors(live)
	collects := slices.ContainsFunc(all, func(m qm.Member) bool { return m.IsSelf })
	b.mu.Lock()
	b.collects = collects
	b.mu.Unlock()
	if !collects {
		for _, m := range advice.Rank(qm.TeamID(b.opts.Self), all)[:min(collectorTries, len(all))] {
			if theirs, err := b.trade(ctx, m, b.share(peerpb.LoadScope_LOAD_SCOPE_MEMBER)); err == nil {
				b.take(theirs)
				return
			}
		}
		return
	}
	var wg sync.WaitGroup
	for _, m := range all {
		// A trade tells both sides, so that one of two collectors begins it.
		if m.IsSelf || m.Instance < b.opts.Self {
			continue
		}
		wg.Go(func() {
			if theirs, err := b.trade(ctx, m, b.share(peerpb.LoadScope_LOAD_SCOPE_CELL)); err == nil {
				b.take(theirs)
			}
		})
	}
	wg.Wait()
}

// work is the work at each endpoint.
type work map[qm.EndpointID]count

// add adds more work.
func (w work) add(more work) {
	for e, c := range more {
		w[e] = w[e].plus(c)
	}
}

// fresh adds to w what was heard lately, but for one router, and returns the number of routers whose work that is.
func (w work) fresh(from map[qm.InstanceID]heard, now time.Time, except qm.InstanceID) int {
	n := 0
	for id, h := range from {
		if now.Sub(h.at) > freshTime {
			delete(from, id)
			continue
		}
		if id != except {
			n += h.routers
			w.add(h.work)
		}
	}
	return n
}

// elsewhere returns what a collector heard of other routers, but for one member of its cell, and the number of those routers. The caller
// holds mu.
func (b *Book) elsewhere(now time.Time, except qm.InstanceID) (work, int) {
	w := work{}
	n := w.fresh(b.others, now, except) + w.fresh(b.cells, now, "")
	return w, n
}
