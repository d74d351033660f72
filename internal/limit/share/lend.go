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

// Lend answers another instance that asks for shares. It lends nothing of teams whose home this instance is not.
func (l *Limiter) Lend(_ context.Context, q *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	cfg, ok := l.opts.Board.Table.Load()
	if !ok {
		return nil, twirp.Unavailable.Error("borrow: this router has no table yet")
	}
	for _, i := range q.GetReturns() {
		l.lendOne(cfg, qm.InstanceID(q.GetInstance()), i, true)
	}
	r := &peerpb.BorrowResponse{LeaseMs: qm.LeaseTime.Milliseconds()}
	for _, i := range q.GetWants() {
		n := l.lendOne(cfg, qm.InstanceID(q.GetInstance()), i, false)
		r.Granted = append(r.Granted, &peerpb.BorrowItem{Units: n})
	}
	return r, nil
}

// lendOne lends or takes back one item and returns the units lent.
func (l *Limiter) lendOne(cfg *qm.Config, to qm.InstanceID, i *peerpb.BorrowItem, back bool) float64 {
	id, now := qm.TeamID(i.GetTeam()), l.now()
	tc := cfg.Teams[id]
	// A comparison with NaN is false, so that a broken message cannot reach the sums.
	if tc == nil || !(i.GetUnits() >= 0) || !(i.GetInUse() >= 0) {
		return 0
	}
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, inUse := role{}, 0
	if tm := s.teams[id]; tm != nil {
		inUse, r = tm.run.Used(), tm.role
	}
	if r.seq != l.views.now().seq {
		r = l.views.role(id, l.opts.Self)
	}
	if !r.self || l.paused(now) {
		return 0
	}
	p := divide(tc.Limits, l.slots(), l.opts.FloorFraction)
	l.book.mu.Lock()
	defer l.book.mu.Unlock()
	a := l.book.open(id, &p, r.since, now, inUse)
	return a.serve(&p, l.opts.Self, to, i, back, now >= r.since+qm.LeaseTime, now)
}

// serve does the work of lendOne on an open account.
func (a *account) serve(p *plans, self, to qm.InstanceID, i *peerpb.BorrowItem, back, lending bool, now time.Duration) float64 {
	if i.GetDimension() == concurrency {
		if back || !p.bounded {
			return 0
		}
		want := int(math.Min(i.GetUnits(), float64(p.homeSlots)))
		inUse := int(math.Min(i.GetInUse(), float64(p.homeSlots)))
		return float64(a.hold(to, self, want, inUse, lending, p, now))
	}
	d := slices.Index(names[:], i.GetDimension())
	switch {
	case d < 0 || !p.dims[d].limited:
		return 0
	case back:
		a.giveBack(d, to, i.GetUnits(), p, now)
		return 0
	case lending:
		return a.lend(d, to, i.GetUnits(), p, now)
	}
	return 0
}
