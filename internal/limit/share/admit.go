package share

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// rounding is what sums of tokens may lack because of floating-point arithmetic.
const rounding = 1e-9

// unlimited is the grant of teams without limits.
type unlimited struct{}

// Release does nothing.
func (unlimited) Release(qm.Tokens) {}

// permit is the grant of one request.
type permit struct {
	l        *Limiter
	team     qm.TeamID
	reserve  float64
	floor    float64
	admitted time.Duration
	done     atomic.Bool
}

// Admit takes the cost from the team's limits or refuses. It never waits for the network.
func (l *Limiter) Admit(cfg *qm.Team, cost qm.Cost, now time.Time) (qm.Grant, error) {
	m := cfg.Limits
	m.QueueLength = 0
	if m.RequestsPerMinute <= 0 && m.PromptTokensPerMinute <= 0 && m.OutputTokensPerMinute <= 0 && m.Concurrency <= 0 {
		return unlimited{}, nil
	}
	t := l.at(now)
	s := l.shard(cfg.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	tm := s.teams[cfg.ID]
	if tm == nil {
		tm = &team{}
		s.teams[cfg.ID] = tm
	}
	tm.plan(m, l.slots(), l.opts.FloorFraction, t)
	tm.last = t
	if v := l.views.now(); v.seq != tm.role.seq {
		tm.assume(l.views.role(cfg.ID, l.opts.Self))
	}
	need := [rated]float64{requests: 1, prompt: float64(cost.PromptTokens), output: float64(cost.OutputTokens)}
	if err := oversize(cfg, tm, &need); err != nil {
		return nil, err
	}
	if l.lends(tm.role, t) {
		l.book.mu.Lock()
		defer l.book.mu.Unlock()
		return l.take(cfg, tm, l.book.open(cfg.ID, &tm.plans, tm.role.since, t, tm.run.Used()), &need, t)
	}
	return l.take(cfg, tm, nil, &need, t)
}

// AdmitWithin is Admit for callers that can wait for one answer of the team's home. The first request after a pause often
// costs more than the floor of this instance holds; it would be refused although the team is far below its limit. It
// returns the refusal at once if a loan cannot help within patience.
func (l *Limiter) AdmitWithin(ctx context.Context, cfg *qm.Team, cost qm.Cost, patience time.Duration) (qm.Grant, error) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		answered := l.lent.Changed()
		g, err := l.Admit(cfg, cost, time.Now())
		var e *qm.Error
		if err == nil || !errors.As(err, &e) || e.RetryAfter == 0 || e.RetryAfter > max(minRetry, patience) || !l.reachable(l.roleOf(cfg.ID)) {
			return g, err
		}
		select {
		case <-answered:
		case <-timer.C:
			return nil, err
		case <-ctx.Done():
			return nil, err
		}
	}
}

// roleOf returns the role of a team that has state.
func (l *Limiter) roleOf(id qm.TeamID) role {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if tm := s.teams[id]; tm != nil {
		return tm.role
	}
	return role{}
}

// lends reports whether this instance is the home by role r and older loans have run out.
func (l *Limiter) lends(r role, now time.Duration) bool {
	return r.self && now >= r.since+qm.LeaseTime && !l.paused(now)
}

// take takes need in all dimensions or in none. a is the account if this instance is the home, else nil. The caller holds
// the locks of the shard and, with an account, of the book.
func (l *Limiter) take(cfg *qm.Team, tm *team, a *account, need *[rated]float64, now time.Duration) (qm.Grant, error) {
	refusal := l.missing(cfg, tm, a, need, now)
	if tm.plans.bounded {
		tm.run.SetCapacity(l.capacity(tm, a, now))
		switch {
		case refusal == nil && tm.run.Acquire():
		case tm.run.Used() >= tm.run.Capacity():
			tm.missedSlot = now
			if refusal == nil {
				refusal = l.busy(cfg, tm, a, now)
			}
		}
	} else if refusal == nil {
		tm.run.SetCapacity(math.MaxInt)
		tm.run.Acquire()
	}
	if refusal != nil {
		l.flag(tm, a)
		return nil, refusal
	}
	p := &permit{l: l, team: cfg.ID, reserve: need[output], admitted: now}
	rtt := l.rtt(tm.role)
	for d := range need {
		if !tm.plans.dims[d].limited {
			continue
		}
		x := &tm.dims[d]
		rest := x.spend(need[d])
		if a != nil && rest > 0 {
			b := &a.pools[d].bucket
			if n := math.Min(rest, b.Level(now)); d != requests || n+rounding >= rest {
				b.Take(now, n)
				rest -= n
			}
		}
		if rest > 0 {
			// missing found enough in all sources together; what rounding leaves is less than the smallest unit.
			x.floor.Take(now, math.Min(rest, x.floor.Level(now)))
		}
		if d == output {
			p.floor = rest
		}
		x.spent += need[d]
		x.cost, x.missing = need[d], 0
		if a == nil && x.short(x.lent(now)+x.floor.Level(now), rtt) {
			l.flag(tm, a)
		}
	}
	if a != nil {
		a.selfUse = max(0, tm.run.Used()-tm.plans.floorSlots)
	} else if tm.plans.bounded && tm.run.Used() >= tm.run.Capacity() {
		l.flag(tm, a)
	}
	return p, nil
}

// flag makes the loop borrow for a team, unless this instance is its home.
func (l *Limiter) flag(tm *team, a *account) {
	if a == nil && !tm.flagged {
		tm.flagged = true
		l.want()
	}
}

// missing returns a refusal if a dimension has less than need. The caller holds the locks of take.
func (l *Limiter) missing(cfg *qm.Team, tm *team, a *account, need *[rated]float64, now time.Duration) error {
	var worst *qm.Error
	for d, n := range need {
		p := tm.plans.dims[d]
		if !p.limited {
			continue
		}
		x := &tm.dims[d]
		home := 0.0
		if a != nil {
			home = a.pools[d].bucket.Level(now)
		}
		lent := x.lent(now)
		have := reach(d, lent, home, x.floor.Level(now))
		if have+rounding >= n {
			continue
		}
		x.cost, x.missing, x.missedAt = n, n, now
		e := tooFast(cfg, d, l.wait(tm, a, d, n, lent, now))
		if worst == nil || e.RetryAfter > worst.RetryAfter {
			worst = e
		}
	}
	if worst == nil {
		return nil
	}
	return worst
}

// capacity is the number of requests that may run here now.
func (l *Limiter) capacity(tm *team, a *account, now time.Duration) int {
	n := tm.plans.floorSlots
	switch {
	case a != nil:
		n += a.free(&tm.plans, l.opts.Self, l.opts.Self)
	case now < tm.heldUntil:
		n += tm.slotsHeld
	}
	return n
}

// Release returns the slot of the request and the reserved output tokens that were not used. Later calls do nothing.
func (p *permit) Release(used qm.Tokens) {
	if p.done.Swap(true) {
		return
	}
	l, now := p.l, p.l.now()
	s := l.shard(p.team)
	s.mu.Lock()
	defer s.mu.Unlock()
	tm := s.teams[p.team]
	if tm == nil {
		return
	}
	tm.run.Release()
	const weight = 0.1
	tm.hold += weight * ((now - p.admitted).Seconds() - tm.hold)
	left := math.Max(0, p.reserve-float64(used))
	home := l.lends(tm.role, now)
	if home {
		l.book.mu.Lock()
		defer l.book.mu.Unlock()
		if a := l.book.accounts[p.team]; a != nil {
			a.selfUse = max(0, tm.run.Used()-tm.plans.floorSlots)
		}
	}
	if left == 0 || !tm.plans.dims[output].limited {
		return
	}
	x := &tm.dims[output]
	n := math.Min(left, p.floor)
	x.floor.Give(now, n)
	x.spent -= left
	left -= n
	if !home {
		x.unused += left
		return
	}
	if a := l.book.accounts[p.team]; a != nil {
		a.pools[output].bucket.Give(now, left)
	}
}
