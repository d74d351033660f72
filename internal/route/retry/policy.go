package retry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// baseDelay is the upper bound of the delay before the first retry, which doubles with each retry up to maxDelay.
	baseDelay = 20 * time.Millisecond
	maxDelay  = 2 * time.Second
)

// Repeatability says whether a call may run more than once.
type Repeatability int

const (
	// Once marks a call that must not run twice.
	Once Repeatability = iota
	// Deduplicated marks a call with an idempotency key to a service that runs calls with the same key only once.
	Deduplicated
	// Repeatable marks a call that may run any number of times, such as a prompt or a status query.
	Repeatable
)

// RepeatabilityOf returns the repeatability of a call to a plain service.
func RepeatabilityOf(c *qm.Call) Repeatability {
	switch {
	case c.Service.IsRepeatable(c.Name):
		return Repeatable
	case c.Service.SupportsIdempotencyKeys && c.Key != "":
		return Deduplicated
	}
	return Once
}

// retryableCodes lists the codes of failures that another attempt, at another endpoint or later, may avoid. Requests over the limits of
// their team and invalid requests would fail again, and a router that is leaving or has no table cannot succeed itself.
var retryableCodes = map[qm.Code]bool{
	qm.CodeEndpointFailed: true,
	qm.CodeNoEndpoint:     true,
	qm.CodeLogUnavailable: true,
	qm.CodeTimeout:        true,
	qm.CodeInternal:       true,
}

// Retryable reports whether a request that failed with err may be sent again. A call that must not run twice is retryable only if it
// certainly did not run.
func Retryable(err error, r Repeatability) bool {
	if err == nil || errors.Is(err, context.Canceled) {
		return false
	}
	e := qm.AsError(err)
	switch e.Outcome {
	case qm.OutcomeNotRun:
		return retryableCodes[e.Code]
	case qm.OutcomeUnknown:
		return r != Once && retryableCodes[e.Code]
	}
	return false
}

// Backoff returns the delay before retry number n, counted from 0. It is the error's RetryAfter plus a random time below an exponentially
// growing bound (full jitter).
func Backoff(n int, err error, rnd *rand.Rand) time.Duration {
	bound := maxDelay
	if n < 10 { // avoids an overflow of the shift; maxDelay is reached before
		bound = min(baseDelay<<n, maxDelay)
	}
	return qm.AsError(err).RetryAfter + time.Duration(rnd.Int64N(int64(bound)))
}

// NextDelay returns the delay before retry number n and takes the retry from the team's budget. It reports false if there must be no retry:
// the error is not retryable, the deadline would pass, or the budget is spent.
func (b *TeamBudget) NextDelay(ctx context.Context, team qm.TeamID, err error, r Repeatability, n int, rnd *rand.Rand) (time.Duration, bool) {
	if !Retryable(err, r) || ctx.Err() != nil {
		return 0, false
	}
	d := Backoff(n, err, rnd)
	if end, ok := ctx.Deadline(); ok && time.Until(end) <= d {
		return 0, false
	}
	return d, b.TakeRetry(team)
}
