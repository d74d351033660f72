package share

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// Lend answers a borrow request of another instance. It grants 0 units for teams whose home this instance is not. The error
// is twirp.Unavailable if this instance has no table yet.
func (l *Limiter) Lend(_ context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	if _, ok := l.opts.Team(""); !ok {
		return nil, twirp.Unavailable.Error("borrow: this router has no table yet")
	}
	for _, i := range request.GetReturns() {
		l.handleItem(qm.InstanceID(request.GetInstance()), i, true)
	}
	response := &peerpb.BorrowResponse{LeaseMs: qm.LeaseTime.Milliseconds()}
	for _, i := range request.GetWants() {
		n, retry := l.handleItem(qm.InstanceID(request.GetInstance()), i, false)
		response.Granted = append(response.Granted, &peerpb.BorrowItem{Units: n, RetryMs: retry.Milliseconds()})
	}
	return response, nil
}

// handleItem lends or takes back one item. It returns the units lent, and for units of a quota that were not lent the time until they are
// expected.
func (l *Limiter) handleItem(to qm.InstanceID, item *peerpb.BorrowItem, isReturn bool) (float64, time.Duration) {
	id, now := qm.TeamID(item.GetTeam()), l.now()
	tc, _ := l.opts.Team(id)
	// A comparison with NaN is false, so that a NaN in a malformed message never enters the sums.
	if tc == nil || !(item.GetUnits() >= 0) || !(item.GetInUse() >= 0) {
		return 0, 0
	}
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, inUse := role{}, 0
	if tm := s.teams[id]; tm != nil {
		inUse, r = tm.running.Used(), tm.role
	}
	if r.seq != l.views.now().seq {
		r = l.views.role(id, l.opts.Self)
	}
	if !r.self || l.paused(now) {
		return 0, maxDetectionTime
	}
	p := splitWithQuota(tc.Limits, l.floorInstances(), l.opts.FloorFraction, l.opts.QuotaTolerance)
	l.lender.mu.Lock()
	defer l.lender.mu.Unlock()
	a := l.lender.accountFor(id, &p, r.since, now, inUse)
	if d := slices.Index(dimNames[:], item.GetDimension()); d >= numRateDims {
		return a.applyQuota(d, &p, item.GetUnits(), isReturn, r.since, now)
	}
	return a.apply(&p, l.opts.Self, to, item, isReturn, now >= r.since+qm.LeaseTime, now), 0
}

// apply lends or takes back one item and returns the units lent. The caller has refreshed the account.
func (a *account) apply(p *split, self, to qm.InstanceID, item *peerpb.BorrowItem, isReturn, mayLend bool, now time.Duration) float64 {
	if item.GetDimension() == concurrency {
		if isReturn || !p.concurrencyLimited {
			return 0
		}
		want := int(math.Min(item.GetUnits(), float64(p.homeSlots)))
		inUse := int(math.Min(item.GetInUse(), float64(p.homeSlots)))
		return float64(a.leaseSlots(to, self, want, inUse, mayLend, p, now))
	}
	d := slices.Index(dimNames[:], item.GetDimension())
	switch {
	case d < 0 || !p.dims[d].limited:
		return 0
	case isReturn:
		a.acceptReturn(d, to, item.GetUnits(), p, now)
		return 0
	case mayLend:
		return a.lend(d, to, item.GetUnits(), p, now)
	}
	return 0
}
