package share

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// tokenEpsilon is the tolerance for floating-point errors in sums of tokens.
const tokenEpsilon = 1e-9

// unlimitedGrant is the grant of teams without limits.
type unlimitedGrant struct{}

// Release implements quetzalmount.Grant.
func (unlimitedGrant) Release(qm.Tokens) {}

// grant is the grant of one request.
type grant struct {
	l              *Limiter
	team           qm.TeamID
	reservedOutput float64
	// floor is the part of reservedOutput that came from the instance's floor.
	floor    float64
	admitted time.Duration
	released atomic.Bool
}

// Admit takes the cost from the team's limits or returns a refusal. It never waits for the network.
func (l *Limiter) Admit(cfg *qm.Team, cost qm.Cost, now time.Time) (qm.Grant, error) {
	m := cfg.Limits
	m.QueueLength = 0
	if m.RequestsPerMinute <= 0 && m.PromptTokensPerMinute <= 0 && m.OutputTokensPerMinute <= 0 && m.Concurrency <= 0 {
		return unlimitedGrant{}, nil
	}
	t := l.sinceStart(now)
	s := l.shard(cfg.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	tm := s.teams[cfg.ID]
	if tm == nil {
		tm = &team{}
		s.teams[cfg.ID] = tm
	}
	tm.updateSplit(m, l.floorInstances(), l.opts.FloorFraction, t)
	tm.lastRequest = t
	if v := l.views.now(); v.seq != tm.role.seq {
		tm.setRole(l.views.role(cfg.ID, l.opts.Self))
	}
	need := [numRateDims]float64{dimRequests: 1, dimPrompt: float64(cost.PromptTokens), dimOutput: float64(cost.OutputTokens)}
	if err := refuseOversize(cfg, tm, &need); err != nil {
		return nil, err
	}
	if l.canLend(tm.role, t) {
		l.lender.mu.Lock()
		defer l.lender.mu.Unlock()
		return l.acquire(cfg, tm, l.lender.accountFor(cfg.ID, &tm.split, tm.role.since, t, tm.running.Used()), &need, t)
	}
	return l.acquire(cfg, tm, nil, &need, t)
}

// AdmitWithin is like Admit, but waits up to timeout for a loan from the team's home. The first request after a pause
// often costs more than the floor of this instance holds; Admit refuses it although the team is far below its limit.
// AdmitWithin returns the refusal at once if a loan cannot help within timeout.
func (l *Limiter) AdmitWithin(ctx context.Context, cfg *qm.Team, cost qm.Cost, timeout time.Duration) (qm.Grant, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		answered := l.answered.Changed()
		g, err := l.Admit(cfg, cost, time.Now())
		var e *qm.Error
		if err == nil || !errors.As(err, &e) || e.RetryAfter == 0 || e.RetryAfter > max(minRetry, timeout) || !l.reachable(l.roleOf(cfg.ID)) {
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

// roleOf returns the role in the state of a team, or the zero role if the team has no state.
func (l *Limiter) roleOf(id qm.TeamID) role {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if tm := s.teams[id]; tm != nil {
		return tm.role
	}
	return role{}
}

// canLend reports whether this instance is the home by role r and the loans of earlier homes have expired.
func (l *Limiter) canLend(r role, now time.Duration) bool {
	return r.self && now >= r.since+qm.LeaseTime && !l.paused(now)
}

// acquire takes need in all dimensions or in none. a is the team's account if this instance is the home, else nil. The
// caller holds the lock of the shard and, if a is not nil, that of the lender.
func (l *Limiter) acquire(cfg *qm.Team, tm *team, a *account, need *[numRateDims]float64, now time.Duration) (qm.Grant, error) {
	refusal := l.checkRates(cfg, tm, a, need, now)
	if tm.split.concurrencyLimited {
		tm.running.SetCapacity(l.slotCapacity(tm, a, now))
		switch {
		case refusal == nil && tm.running.Acquire():
		case tm.running.Used() >= tm.running.Capacity():
			tm.slotRefusedAt = now
			if refusal == nil {
				refusal = l.refuseConcurrency(cfg, tm, a, now)
			}
		}
	} else if refusal == nil {
		tm.running.SetCapacity(math.MaxInt)
		tm.running.Acquire()
	}
	if refusal != nil {
		l.requestBorrow(tm, a)
		return nil, refusal
	}
	g := &grant{l: l, team: cfg.ID, reservedOutput: need[dimOutput], admitted: now}
	rtt := l.rtt(tm.role)
	for d := range need {
		if !tm.split.dims[d].limited {
			continue
		}
		x := &tm.dims[d]
		rest := x.spend(need[d])
		if a != nil && rest > 0 {
			b := &a.pools[d].bucket
			if n := math.Min(rest, b.Level(now)); d != dimRequests || n+tokenEpsilon >= rest {
				b.Take(now, n)
				rest -= n
			}
		}
		if rest > 0 {
			// checkRates found enough in all sources together, so that the floor lacks at most a rounding error.
			x.floor.Take(now, math.Min(rest, x.floor.Level(now)))
		}
		if d == dimOutput {
			g.floor = rest
		}
		x.spent += need[d]
		x.lastCost, x.refusedCost = need[d], 0
		if a == nil && x.runningLow(x.borrowed(now)+x.floor.Level(now), rtt) {
			l.requestBorrow(tm, a)
		}
	}
	if a != nil {
		a.ownSlots = max(0, tm.running.Used()-tm.split.floorSlots)
	} else if tm.split.concurrencyLimited && tm.running.Used() >= tm.running.Capacity() {
		l.requestBorrow(tm, a)
	}
	return g, nil
}

// requestBorrow makes the loop borrow for a team, unless this instance is its home.
func (l *Limiter) requestBorrow(tm *team, a *account) {
	if a == nil && !tm.borrowPending {
		tm.borrowPending = true
		l.wakeLoop()
	}
}

// checkRates returns a refusal if any dimension has less than need: the one with the longest retry delay. The caller holds
// the same locks as for acquire.
func (l *Limiter) checkRates(cfg *qm.Team, tm *team, a *account, need *[numRateDims]float64, now time.Duration) error {
	var worst *qm.Error
	for d, n := range need {
		p := tm.split.dims[d]
		if !p.limited {
			continue
		}
		x := &tm.dims[d]
		home := 0.0
		if a != nil {
			home = a.pools[d].bucket.Level(now)
		}
		borrowed := x.borrowed(now)
		have := available(d, borrowed, home, x.floor.Level(now))
		if have+tokenEpsilon >= n {
			continue
		}
		x.lastCost, x.refusedCost, x.refusedAt = n, n, now
		e := refuseRate(cfg, d, l.retryAfter(tm, a, d, n, borrowed, now))
		if worst == nil || e.RetryAfter > worst.RetryAfter {
			worst = e
		}
	}
	if worst == nil {
		return nil
	}
	return worst
}

// slotCapacity returns the number of requests of a team that may run on this instance now.
func (l *Limiter) slotCapacity(tm *team, a *account, now time.Duration) int {
	n := tm.split.floorSlots
	switch {
	case a != nil:
		n += a.freeSlots(&tm.split, l.opts.Self, l.opts.Self)
	case now < tm.heldUntil:
		n += tm.slotsHeld
	}
	return n
}

// Release returns the concurrency slot of the request and the reserved output tokens that were not used. Later calls do
// nothing.
func (g *grant) Release(used qm.Tokens) {
	if g.released.Swap(true) {
		return
	}
	l, now := g.l, g.l.now()
	s := l.shard(g.team)
	s.mu.Lock()
	defer s.mu.Unlock()
	tm := s.teams[g.team]
	if tm == nil {
		return
	}
	tm.running.Release()
	const weight = 0.1
	tm.meanSeconds += weight * ((now - g.admitted).Seconds() - tm.meanSeconds)
	left := math.Max(0, g.reservedOutput-float64(used))
	home := l.canLend(tm.role, now)
	if home {
		l.lender.mu.Lock()
		defer l.lender.mu.Unlock()
		if a := l.lender.accounts[g.team]; a != nil {
			a.ownSlots = max(0, tm.running.Used()-tm.split.floorSlots)
		}
	}
	if left == 0 || !tm.split.dims[dimOutput].limited {
		return
	}
	x := &tm.dims[dimOutput]
	n := math.Min(left, g.floor)
	x.floor.Refund(now, n)
	x.spent -= left
	left -= n
	if !home {
		x.unusedReserve += left
		return
	}
	if a := l.lender.accounts[g.team]; a != nil {
		a.pools[dimOutput].bucket.Refund(now, left)
	}
}
