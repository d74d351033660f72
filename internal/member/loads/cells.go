package loads

import (
	"cmp"
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
func collectors(live []qm.Member) []qm.Member {
	n := int(math.Round(math.Sqrt(float64(len(live)))))
	out := slices.Clone(live)
	slices.SortFunc(out, func(a, b qm.Member) int {
		return cmp.Compare(advice.Score(collectorKey, string(b.Instance)), advice.Score(collectorKey, string(a.Instance)))
	})
	return out[:n]
}

// collectorKey is the key under which routers are ranked as collectors.
const collectorKey = "loads"

// collectorsOf ranks the collectors for a router, its own first.
func collectorsOf(id qm.InstanceID, all []qm.Member) []qm.Member {
	out := slices.Clone(all)
	slices.SortFunc(out, func(a, b qm.Member) int {
		return cmp.Compare(advice.Score(string(id), string(b.Instance)), advice.Score(string(id), string(a.Instance)))
	})
	return out
}

// collectorTries is the number of collectors that a router tries in a round.
const collectorTries = 2

// cellRound trades as a member or as a collector of a cell. live are all routers that are live, this one among them.
//
// Each router reports its work to the collector of its cell and gets that of all other routers in return, and the collectors trade the sums
// of their cells. So every router knows the work of all others within a few rounds, at the cost of one trade a round; a collector has as
// many as it has members and fellow collectors, both about the square root of the number of routers. A sample of a few routers in place of
// this, scaled up, tells next to nothing: an engine has few requests, each at another router.
func (b *Book) cellRound(ctx context.Context, live []qm.Member) {
	all := collectors(live)
	collects := slices.ContainsFunc(all, func(m qm.Member) bool { return m.Self })
	b.mu.Lock()
	b.collects = collects
	b.mu.Unlock()
	if !collects {
		for _, m := range collectorsOf(b.opts.Self, all)[:min(collectorTries, len(all))] {
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
		if m.Self || m.Instance < b.opts.Self {
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

// sumOf returns the fresh work of a number of routers, and their number. The caller holds mu.
func sumOf(from map[qm.InstanceID]heard, now time.Time, except qm.InstanceID) (map[qm.EndpointID]count, int) {
	sums, n := map[qm.EndpointID]count{}, 0
	for id, h := range from {
		if now.Sub(h.at) > fresh {
			delete(from, id)
			continue
		}
		if id == except {
			continue
		}
		n += h.routers
		for e, c := range h.counts {
			sums[e] = sums[e].plus(c)
		}
	}
	return sums, n
}

// cellSum returns the work of the cell of this router, its own included, but for one member.
func (b *Book) cellSum(now time.Time, except qm.InstanceID) (map[qm.EndpointID]count, int) {
	sums, n := sumOf(b.others, now, except)
	for e, c := range b.own {
		sums[e] = sums[e].plus(c)
	}
	return sums, n + 1
}

// allBut returns the work of all routers but one member of the cell.
func (b *Book) allBut(now time.Time, member qm.InstanceID) (map[qm.EndpointID]count, int) {
	sums, n := b.cellSum(now, member)
	cells, m := sumOf(b.cells, now, "")
	for e, c := range cells {
		sums[e] = sums[e].plus(c)
	}
	return sums, n + m
}
