package share

import (
	"context"
	"math"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// A quota differs from the limits a minute in that its burst is worth about a second of its rate. Units that each instance holds for the next
// half second would exceed it. The home therefore grants the units of one request, as a whole or not at all, and the request runs at once or
// they are returned.

const (
	// quotaWait is the longest time for which a request waits for its units. It covers several round trips within a region.
	quotaWait = 250 * time.Millisecond
	// quotaLease is the time within which units that a home granted are used or lost. A new home grants none before it has passed.
	quotaLease = 2 * quotaWait
	// quotaTimeout is the timeout of a message that asks for units. The units of an answer that comes later than quotaWait are returned.
	quotaTimeout = quotaLease
	// deniedTime is the time constant with which denied units count for the retry delay.
	deniedTime = time.Second
	// maxQuotaRetry bounds the retry delay of a request beyond a quota. The load of a team changes within seconds.
	maxQuotaRetry = 5 * time.Second
	// maxDetectionTime is about the time after which a home that has ended is suspected and the next one grants units.
	maxDetectionTime = 2 * time.Second
)

// QuotaTolerance is added to a quota: a fraction of its rate and burst, and units of its burst.
type QuotaTolerance struct{ Fraction, Units float64 }

// split returns the rate and the burst at the home of a quota.
func (t QuotaTolerance) split(q qm.Quota) rateSplit {
	return rateSplit{limited: true, homeRate: q.PerSecond * (1 + t.Fraction), homeBurst: quotaBurst(q)*(1+t.Fraction) + t.Units}
}

// quotaDim returns the dimension of a quota.
func quotaDim(q qm.Quota) int {
	if q.Unit == qm.QuotaTokens {
		return dimQuotaTokens
	}
	return dimQuotaRequests
}

// quotaBurst returns the burst of a quota: that of a second where none is set, and at least one unit.
func quotaBurst(q qm.Quota) float64 {
	if q.Burst <= 0 {
		return math.Max(1, q.PerSecond)
	}
	return math.Max(1, q.Burst)
}

// leaseOf returns the time for which units of a dimension may be spent after they were lent.
func leaseOf(d int) time.Duration {
	if d >= numRateDims {
		return quotaLease
	}
	return qm.LeaseTime
}

// quotaQueue holds the requests that wait for units of a quota from another instance.
type quotaQueue struct {
	wakeup chan struct{}

	mu sync.Mutex
	// roles caches the roles of this instance by team.
	roles map[qm.TeamID]role
	// waiting and returns hold what the next message to each home contains.
	waiting map[qm.InstanceID][]*quotaWaiter
	returns map[qm.InstanceID]map[quotaItem]float64
	homes   map[qm.InstanceID]qm.Member
}

func newQuotaQueue() quotaQueue {
	return quotaQueue{
		wakeup: make(chan struct{}, 1), roles: map[qm.TeamID]role{}, waiting: map[qm.InstanceID][]*quotaWaiter{},
		returns: map[qm.InstanceID]map[quotaItem]float64{}, homes: map[qm.InstanceID]qm.Member{},
	}
}

// quotaItem identifies the units of a team's quota.
type quotaItem struct {
	team qm.TeamID
	dim  int
}

// quotaWaiter is a request that waits for its units.
type quotaWaiter struct {
	quotaItem
	units float64
	// result receives the answer. It has room for it, so that the sender never waits.
	result chan quotaResult

	mu sync.Mutex
	// left is set once the request waits no longer, answered once the result was sent.
	left, answered bool
}

// quotaResult is the answer to a waiter. retry is the time until the units are expected if they were not granted.
type quotaResult struct {
	granted bool
	retry   time.Duration
}

// AdmitQuota charges a request against the quota of its team, at the team's home. tokens is the sum of the request's prompt and the most that it may
// generate, 0 if it states neither. The error is an *quetzalmount.Error with outcome OutcomeNotRun. If the request is not run after all, its caller
// calls refund, once.
func (l *Limiter) AdmitQuota(ctx context.Context, cfg *qm.Team, tokens qm.Tokens) (refund func(), err error) {
	q := cfg.Limits.Quota
	if !q.IsLimited() {
		return func() {}, nil
	}
	w := &quotaWaiter{quotaItem: quotaItem{cfg.ID, quotaDim(q)}, units: q.Charge(tokens), result: make(chan quotaResult, 1)}
	r := l.quotaRole(cfg.ID)
	switch {
	case !r.known || r.home.Instance == l.opts.Self && !r.self:
		return nil, refuseQuota(cfg, maxDetectionTime)
	case r.self:
		n, retry := l.handleItem(l.opts.Self, w.item(w.units), false)
		if n <= 0 {
			return nil, refuseQuota(cfg, retry)
		}
		return func() { l.handleItem(l.opts.Self, w.item(w.units), true) }, nil
	}
	if result := l.awaitQuota(ctx, w, r.home); !result.granted {
		return nil, refuseQuota(cfg, result.retry)
	}
	return func() { l.returnQuota(r.home, w.quotaItem, w.units) }, nil
}

// quotaRole returns the role of this instance for a team.
func (l *Limiter) quotaRole(id qm.TeamID) role {
	l.quotas.mu.Lock()
	defer l.quotas.mu.Unlock()
	r, ok := l.quotas.roles[id]
	if !ok || r.seq != l.views.now().seq {
		r = l.views.role(id, l.opts.Self)
		l.quotas.roles[id] = r
	}
	return r
}

// item returns the wire form of units of the waiter's quota.
func (i quotaItem) item(units float64) *peerpb.BorrowItem {
	return &peerpb.BorrowItem{Team: string(i.team), Dimension: dimNames[i.dim], Units: units}
}

// awaitQuota asks the home for the units of a request and waits for the answer. A home that doesn't answer has granted nothing.
func (l *Limiter) awaitQuota(ctx context.Context, w *quotaWaiter, home qm.Member) quotaResult {
	l.quotas.mu.Lock()
	l.quotas.homes[home.Instance] = home
	l.quotas.waiting[home.Instance] = append(l.quotas.waiting[home.Instance], w)
	l.quotas.mu.Unlock()
	l.wakeQuotas()
	timer := time.NewTimer(quotaWait)
	defer timer.Stop()
	select {
	case result := <-w.result:
		return result
	case <-timer.C:
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.answered {
		return <-w.result
	}
	w.left = true
	return quotaResult{retry: maxDetectionTime}
}

// answer sends the result to the waiter. It returns false if the waiter has left.
func (w *quotaWaiter) answer(r quotaResult) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left {
		return false
	}
	w.answered = true
	w.result <- r
	return true
}

func (l *Limiter) wakeQuotas() {
	select {
	case l.quotas.wakeup <- struct{}{}:
	default:
	}
}

// returnQuota queues units for their home. They are sent with the next message to it, at the next tick at the latest.
func (l *Limiter) returnQuota(home qm.Member, item quotaItem, units float64) {
	l.quotas.mu.Lock()
	defer l.quotas.mu.Unlock()
	l.quotas.homes[home.Instance] = home
	if l.quotas.returns[home.Instance] == nil {
		l.quotas.returns[home.Instance] = map[quotaItem]float64{}
	}
	l.quotas.returns[home.Instance][item] += units
}

// requestQuotas sends one message to each home for which requests wait or units are queued.
func (l *Limiter) requestQuotas(ctx context.Context) {
	l.quotas.mu.Lock()
	defer l.quotas.mu.Unlock()
	for id, home := range l.quotas.homes {
		waiting := l.quotas.waiting[id]
		req := &peerpb.BorrowRequest{Instance: string(l.opts.Self), Incarnation: string(l.opts.Incarnation)}
		for item, units := range l.quotas.returns[id] {
			req.Returns = append(req.Returns, item.item(units))
		}
		for _, w := range waiting {
			req.Wants = append(req.Wants, w.item(w.units))
		}
		delete(l.quotas.waiting, id)
		delete(l.quotas.returns, id)
		delete(l.quotas.homes, id)
		l.wg.Go(func() { l.sendQuotas(ctx, home, req, waiting) })
	}
}

// sendQuotas sends a message to a home and answers the requests that wait for it.
func (l *Limiter) sendQuotas(ctx context.Context, home qm.Member, req *peerpb.BorrowRequest, waiting []*quotaWaiter) {
	ctx, cancel := context.WithTimeout(ctx, quotaTimeout)
	defer cancel()
	resp, err := l.opts.Borrow(ctx, home, req)
	answered := err == nil && len(resp.GetGranted()) == len(waiting)
	for i, w := range waiting {
		result := quotaResult{retry: maxDetectionTime}
		if answered {
			g := resp.GetGranted()[i]
			result = quotaResult{granted: g.GetUnits() >= w.units, retry: time.Duration(g.GetRetryMs()) * time.Millisecond}
		}
		if !w.answer(result) && result.granted {
			l.returnQuota(home, w.quotaItem, w.units)
		}
	}
}

// applyQuota grants units of a quota for one request, all or none, or takes them back. It returns the units granted, and the time until they are
// expected if they were not. The caller has refreshed the account; this instance has been home since the given time.
func (a *account) applyQuota(d int, p *split, units float64, isReturn bool, since, now time.Duration) (float64, time.Duration) {
	q, pl := p.dims[d], &a.pools[d]
	switch {
	case !q.limited:
		// The unit has changed. The asking instance learns of it within the time that a configuration takes.
		return 0, minRetry
	case isReturn:
		units = math.Min(units, pl.granted)
		pl.granted -= units
		pl.bucket.Refund(now, units)
		return 0, 0
	case now < since+quotaLease:
		return 0, since + quotaLease - now
	}
	pl.decayDenied(now)
	// A request that costs more than the burst runs when the bucket is full and leaves it in debt. Otherwise it could never run.
	missing := math.Min(units, q.homeBurst) - pl.bucket.Level(now)
	if missing > tokenEpsilon {
		// Those denied before are taken to come back first.
		retry := time.Duration((missing + pl.denied) / q.homeRate * float64(time.Second))
		pl.denied += units
		return 0, min(retry, maxQuotaRetry)
	}
	pl.bucket.Charge(now, units)
	pl.granted += units
	return units, 0
}

// decayDenied ages the denied units.
func (pl *pool) decayDenied(now time.Duration) {
	if d := now - pl.deniedAt; d > 0 {
		pl.denied *= math.Exp(-d.Seconds() / deniedTime.Seconds())
		pl.deniedAt = now
	}
}

// refuseQuota returns a refusal for a request beyond a quota that may be admitted after wait.
func refuseQuota(cfg *qm.Team, wait time.Duration) *qm.Error {
	q, unit := cfg.Limits.Quota, "requests"
	if q.Unit == qm.QuotaTokens {
		unit = "tokens"
	}
	wait = min(max(wait, minRetry), maxQuotaRetry).Round(time.Millisecond)
	return qm.Refuse(qm.CodeRateLimit, "admit",
		"Team %s has used up its quota (%.0f %s a second over all its requests, %.0f at once): wait %s and send the same request again, it was not run.",
		cfg.ID, q.PerSecond, unit, quotaBurst(q), wait).WithRetryAfter(wait)
}
