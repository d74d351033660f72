package share

import (
	"math"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// limitOf returns the limit of a dimension and what it counts, for a sentence.
func limitOf(l *qm.Limits, d int) (float64, string) {
	switch d {
	case requests:
		return l.RequestsPerMinute, "requests"
	case prompt:
		return l.PromptTokensPerMinute, "prompt tokens"
	}
	return l.OutputTokensPerMinute, "output tokens"
}

// oversize refuses a request that could never be admitted, since its cost is above the burst. A retry does not help.
func oversize(cfg *qm.Team, tm *team, need *[rated]float64) error {
	for d, n := range need {
		p := tm.plans.dims[d]
		if !p.limited || n <= p.largest() {
			continue
		}
		limit, what := limitOf(&cfg.Limits, d)
		advice := "send a shorter prompt"
		if d == output {
			advice = "set max_tokens to at most that"
		}
		return qm.Refuse(qm.CodeTooLarge, "admit",
			"This request asks for %.0f %s, but team %s may use at most %.0f in one request (its limit is %.0f a minute): %s.",
			n, what, cfg.ID, math.Floor(p.largest()), limit, advice)
	}
	return nil
}

// tooFast refuses a request that fits later.
func tooFast(cfg *qm.Team, d int, wait time.Duration) *qm.Error {
	limit, what := limitOf(&cfg.Limits, d)
	return qm.Refuse(qm.CodeRateLimit, "admit",
		"Team %s has used up its %s for now (%.0f a minute, over all its scripts together): wait %s and send the same request again, it was not run.",
		cfg.ID, what, limit, wait).WithRetryAfter(wait)
}

// busy refuses a request because too many run. A slot is free again after about the mean time of a request divided by the
// number that run, or after an answer of the home if that was not asked lately.
func (l *Limiter) busy(cfg *qm.Team, tm *team, a *account, now time.Duration) *qm.Error {
	mean := tm.hold
	if mean == 0 {
		mean = time.Second.Seconds()
	}
	wait := clamp(mean / float64(max(1, tm.run.Used())))
	if a == nil && l.reachable(tm.role) && (tm.slotsDenied == 0 || now-tm.slotsDenied > pressing) {
		wait = minRetry
	}
	return qm.Refuse(qm.CodeConcurrency, "admit",
		"Team %s already has as many requests running as it may (%d at a time, over all its scripts together): wait %s or for one to finish and send the same request again, it was not run.",
		cfg.ID, cfg.Limits.Concurrency, wait).WithRetryAfter(wait)
}

// source is one of the places that tokens come from: what it has, what flows in a second, and the most that it holds.
type source struct{ level, rate, burst float64 }

// until returns the seconds after which a source alone has n.
func (s source) until(n float64) float64 {
	switch {
	case s.level+rounding >= n:
		return 0
	case n > s.burst+rounding || s.rate <= 0:
		return math.Inf(1)
	}
	return (n - s.level) / s.rate
}

// together returns the seconds after which two sources have n in sum.
func together(a, b source, n float64) float64 {
	fullA, fullB := a.until(a.burst), b.until(b.burst)
	// Both flow until the first is full, and then only the other.
	if t := (n - a.level - b.level) / (a.rate + b.rate); t <= math.Min(fullA, fullB) {
		return t
	}
	if fullA <= fullB {
		return b.until(n - a.burst)
	}
	return a.until(n - b.burst)
}

// wait returns the time after which need units of a dimension are there or can be borrowed. lent is what is borrowed.
func (l *Limiter) wait(tm *team, a *account, d int, need, lent float64, now time.Duration) time.Duration {
	p := tm.plans.dims[d]
	floor := source{tm.dims[d].floor.Level(now), p.floorRate, p.floorBurst}
	home, first := source{level: lent, burst: p.homeBurst}, 0.0
	switch {
	case a != nil:
		home.level, home.rate = a.pools[d].bucket.Level(now), p.homeRate
	case l.reachable(tm.role):
		home.rate = p.homeRate
		if x := &tm.dims[d]; x.denied == 0 || now-x.denied > pressing {
			// The home was not asked lately, so that its bucket may be full.
			home.level = p.homeBurst
		}
	case tm.role.self:
		home.rate = p.homeRate
		first = math.Max(0, (tm.role.since + qm.LeaseTime - now).Seconds())
	}
	t := first
	if d == requests {
		t += math.Min(floor.until(need), home.until(need))
	} else {
		t += together(floor, home, need)
	}
	if math.IsInf(t, 1) {
		// Only another home can help: it is found and has waited after about two leases.
		return 2 * qm.LeaseTime
	}
	return clamp(t)
}

func clamp(seconds float64) time.Duration {
	if !(seconds < maxRetry.Seconds()) {
		return maxRetry
	}
	return max(minRetry, time.Duration(math.Ceil(seconds*1000))*time.Millisecond)
}
