package retry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// baseWait and maxWait bound the wait before a retry.
	baseWait = 20 * time.Millisecond
	maxWait  = 2 * time.Second
)

// Repeat says how often a call may run.
type Repeat int

const (
	// Once is a call that must not run twice.
	Once Repeat = iota
	// Deduplicated is a call with a key to a service that runs calls with the same key once.
	Deduplicated
	// Repeatable is a call that may run any number of times, such as a prompt or a status look-up.
	Repeatable
)

// RepeatOf returns how often a call to a plain service may run.
func RepeatOf(c *qm.Call) Repeat {
	switch {
	case c.Service.IsRepeatable(c.Name):
		return Repeatable
	case c.Service.Dedupes && c.Key != "":
		return Deduplicated
	}
	return Once
}

// elsewhere lists the codes of failures that another endpoint, or the same one later, may not have. A team's own limits and
// bad requests fail again, and a router that is leaving or has no table cannot do better itself.
var elsewhere = map[qm.Code]bool{
	qm.CodeEndpoint:   true,
	qm.CodeNoEndpoint: true,
	qm.CodeLogDown:    true,
	qm.CodeTimeout:    true,
	qm.CodeInternal:   true,
}

// May reports whether a request that failed with err may be sent again. A call that must not run twice is sent again only
// if it certainly did not run.
func May(err error, r Repeat) bool {
	if err == nil || errors.Is(err, context.Canceled) {
		return false
	}
	e := qm.AsError(err)
	switch e.Outcome {
	case qm.NotRun:
		return elsewhere[e.Code]
	case qm.Unknown:
		return r != Once && elsewhere[e.Code]
	}
	return false
}

// Wait returns the wait before retry number n, which counts from 0: a random time up to a bound that doubles (full jitter),
// and at least what the error asks for.
func Wait(n int, err error, rnd *rand.Rand) time.Duration {
	bound := maxWait
	if n < 10 { // more would overflow long after the bound is reached
		bound = min(baseWait<<n, maxWait)
	}
	return qm.AsError(err).RetryAfter + time.Duration(rnd.Int64N(int64(bound)))
}

// Next returns the wait before the next retry, or false if there must be none: the error may not be retried, the deadline
// would pass, or the team has spent its budget.
func (b *TeamBudget) Next(ctx context.Context, team qm.TeamID, err error, r Repeat, n int, rnd *rand.Rand) (time.Duration, bool) {
	if !May(err, r) || ctx.Err() != nil {
		return 0, false
	}
	d := Wait(n, err, rnd)
	if end, ok := ctx.Deadline(); ok && time.Until(end) <= d {
		return 0, false
	}
	return d, b.Spend(team)
}
