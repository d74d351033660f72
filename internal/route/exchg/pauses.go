package exchg

import (
	"context"
	"math/rand/v2"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
	"quetzalmount.dev/quetzalmount/internal/limit/pause"
)

const (
	// stepWait is the time after which an endpoint whose pause has ended is expected to have answered one of the requests that it is
	// limited to.
	stepWait = 50 * time.Millisecond
	// pauseJitter is the maximum random addition to a wait for the end of a pause, as a fraction of the wait, so that requests and callers
	// don't come back in one instant.
	pauseJitter = 0.5
	// minPauseJitter is the lower bound of that maximum.
	minPauseJitter = 20 * time.Millisecond
	// maxPauseWait is the maximum time from the receipt of a request to the end of its wait, as a fraction of the latency objective. The rest
	// is left for the answer.
	maxPauseWait = 0.5
)

// pausedError means that endpoints could take the request, but all of them want no requests now.
type pausedError struct {
	// until is the earliest end of a pause.
	until time.Time
}

// Error implements error.
func (e *pausedError) Error() string { return "all endpoints have asked for a pause" }

// placeAfterPauses places an attempt. If all endpoints have asked for a pause, it waits for the first one to end, if the request can still be
// answered within its objective then, and otherwise refuses the request at once.
func (t *task) placeAfterPauses(ctx context.Context) (*placedAttempt, error) {
	for {
		p, err := t.placeAttempt(t.state())
		paused, ok := err.(*pausedError)
		if !ok {
			return p, err
		}
		now := time.Now()
		wait := withJitter(paused.until.Sub(now))
		if !t.mayWait(wait, now) {
			return nil, qm.Refuse(qm.CodeOverload, "place", "all endpoints of group %s have asked for a pause of at least %d ms",
				t.x.Group, paused.until.Sub(now).Milliseconds()).WithRetryAfter(min(wait, pause.MaxRetryAfter))
		}
		if !period.Sleep(ctx, wait) {
			return nil, qm.Refuse(qm.CodeTimeout, "place", "ended while all endpoints of group %s wanted no requests", t.x.Group).
				WithCause(context.Cause(ctx))
		}
	}
}

// mayWait reports whether the request can be placed after a wait and still be answered in time.
func (t *task) mayWait(wait time.Duration, now time.Time) bool {
	at := now.Add(wait)
	latest := time.Duration(maxPauseWait * float64(t.x.Route.LatencyObjective))
	return at.Sub(t.x.Received) < latest && at.Add(minAttemptTime).Before(t.x.EffectiveDeadline)
}

// withJitter returns d with a random addition.
func withJitter(d time.Duration) time.Duration {
	d = max(d, 0)
	return d + rand.N(max(minPauseJitter, time.Duration(pauseJitter*float64(d))))
}

// pauseSent records that a request is sent to an endpoint. The returned function records whether the endpoint took it.
func (r *Runner) pauseSent(e *qm.Endpoint, now time.Time) func(taken bool) {
	if r.deps.Pauses == nil {
		return func(bool) {}
	}
	return r.deps.Pauses.Sent(e.ID, e.Incarnation, now)
}
