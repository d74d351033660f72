package share

import (
	"math"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// limitOf returns the limit a minute of a dimension and the name of its unit in messages to callers.
func limitOf(l *qm.Limits, d int) (float64, string) {
	switch d {
	case dimRequests:
		return l.RequestsPerMinute, "requests"
	case dimPrompt:
		return l.PromptTokensPerMinute, "prompt tokens"
	}
	return l.OutputTokensPerMinute, "output tokens"
}

// refuseOversize returns a refusal for a request that can never be admitted, because its cost exceeds the burst. The
// refusal has no retry delay, since a retry cannot succeed.
func refuseOversize(cfg *qm.Team, tm *team, need *[numRateDims]float64) error {
	for d, n := range need {
		p := tm.split.dims[d]
		if !p.limited || n <= p.maxCost() {
			continue
		}
		limit, unit := limitOf(&cfg.Limits, d)
		advice := "send a shorter prompt"
		if d == dimOutput {
			advice = "set max_tokens to at most that"
		}
		return qm.Refuse(qm.CodeTooLarge, "admit",
			"This request asks for %.0f %s, but team %s may use at most %.0f in one request (its limit is %.0f a minute): %s.",
			n, unit, cfg.ID, math.Floor(p.maxCost()), limit, advice)
	}
	return nil
}

// refuseRate returns a refusal for a request that can be admitted after wait.
func refuseRate(cfg *qm.Team, d int, wait time.Duration) *qm.Error {
	limit, unit := limitOf(&cfg.Limits, d)
	return qm.Refuse(qm.CodeRateLimit, "admit",
		"Team %s has used up its %s for now (%.0f a minute, over all its scripts together): wait %s and send the same request again, it was not run.",
		cfg.ID, unit, limit, wait).WithRetryAfter(wait)
}

// refuseConcurrency returns a refusal because the team has no free concurrency slot. A slot becomes free after about the
// mean duration of a request divided by the number running, or with the next answer of the home if the home has not
// recently denied slots.
func (l *Limiter) refuseConcurrency(cfg *qm.Team, tm *team, a *account, now time.Duration) *qm.Error {
	mean := tm.meanSeconds
	if mean == 0 {
		mean = time.Second.Seconds()
	}
	wait := clampRetry(mean / float64(max(1, tm.running.Used())))
	if a == nil && l.reachable(tm.role) && (tm.slotsDeniedAt == 0 || now-tm.slotsDeniedAt > demandTime) {
		wait = minRetry
	}
	return qm.Refuse(qm.CodeConcurrency, "admit",
		"Team %s already has as many requests running as it may (%d at a time, over all its scripts together): wait %s or for one to finish and send the same request again, it was not run.",
		cfg.ID, cfg.Limits.Concurrency, wait).WithRetryAfter(wait)
}

// tokenSource is a source of tokens: its current level, its refill rate a second and the most that it holds.
type tokenSource struct{ level, rate, burst float64 }

// secondsUntil returns the seconds until the source alone has n tokens, or +Inf if it never does.
func (s tokenSource) secondsUntil(n float64) float64 {
	switch {
	case s.level+tokenEpsilon >= n:
		return 0
	case n > s.burst+tokenEpsilon || s.rate <= 0:
		return math.Inf(1)
	}
	return (n - s.level) / s.rate
}

// secondsUntilSum returns the seconds until two sources have n tokens in sum.
func secondsUntilSum(a, b tokenSource, n float64) float64 {
	fullA, fullB := a.secondsUntil(a.burst), b.secondsUntil(b.burst)
	// Both refill until the first is full, and then only the other.
	if t := (n - a.level - b.level) / (a.rate + b.rate); t <= math.Min(fullA, fullB) {
		return t
	}
	if fullA <= fullB {
		return b.secondsUntil(n - a.burst)
	}
	return a.secondsUntil(n - b.burst)
}

// retryAfter returns the time until need units of a dimension are available or can be borrowed. borrowed is the number of
// borrowed units that are left.
func (l *Limiter) retryAfter(tm *team, a *account, d int, need, borrowed float64, now time.Duration) time.Duration {
	p := tm.split.dims[d]
	floor := tokenSource{tm.dims[d].floor.Level(now), p.floorRate, p.floorBurst}
	home, homeDelay := tokenSource{level: borrowed, burst: p.homeBurst}, 0.0
	switch {
	case a != nil:
		home.level, home.rate = a.pools[d].bucket.Level(now), p.homeRate
	case l.reachable(tm.role):
		home.rate = p.homeRate
		if x := &tm.dims[d]; x.deniedAt == 0 || now-x.deniedAt > demandTime {
			// The home has not recently denied units, so that its bucket may be full.
			home.level = p.homeBurst
		}
	case tm.role.self:
		home.rate = p.homeRate
		homeDelay = math.Max(0, (tm.role.since + qm.LeaseTime - now).Seconds())
	}
	t := homeDelay
	if d == dimRequests {
		t += math.Min(floor.secondsUntil(need), home.secondsUntil(need))
	} else {
		t += secondsUntilSum(floor, home, need)
	}
	if math.IsInf(t, 1) {
		// Only another home can help: after about two leases it is known and has waited its lease time.
		return 2 * qm.LeaseTime
	}
	return clampRetry(t)
}

func clampRetry(seconds float64) time.Duration {
	if !(seconds < maxRetry.Seconds()) {
		return maxRetry
	}
	return max(minRetry, time.Duration(math.Ceil(seconds*1000))*time.Millisecond)
}
