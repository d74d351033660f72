// Package shed decides whether a request is worth starting now, or better refused so that its caller comes back.
//
// The load that it answers is a group of engines with less capacity than is asked for, after a burst or with engines lost. If every
// request is started, the queue grows until all answers are late. So a request is started while its first token is expected in time.
// One that would be late is refused at once, with the time until the queue is expected to be short again; its caller then waits
// outside, where it takes neither a slot nor memory. A request that is late already, or that is too large to be in time, is started
// only while the queue is short, since it must not make those late that are still in time.
package shed

import (
	"math/rand/v2"
	"time"
)

const (
	// lateWait times the objective is the longest wait of a request that cannot be in time any more, or that is too large to be.
	lateWait = 0.4
	// leastRetry is the least time after which a caller is asked to come back: it takes as long to empty a queue noticeably.
	leastRetry = 300 * time.Millisecond
	// returnShare is the part of the time left within which callers come back; they ignore longer times. The users' pages say a
	// third.
	returnShare = 0.3
	// spread is the part of the time by which callers are spread, so that they do not return together.
	spread = 0.5
	// leastLeft is the time that an answer takes after its first token at least.
	leastLeft = 50 * time.Millisecond
)

// Situation is what is known of a request when it has been placed.
type Request struct {
	// Expected is the expected time to the first token at the best endpoint, Wait the part of it that others cause.
	Expected, Wait time.Duration
	// Objective is the time to the first token that the caller is promised, Spent what of it has passed.
	Objective, Elapsed time.Duration
	// Left is the time until the caller gives up.
	Remaining time.Duration
}

// Refuse reports whether the request is better refused, and after what time its caller should come back; 0 if there is no use in it.
func Refuse(s Request, rnd *rand.Rand) (after time.Duration, refuse bool) {
	switch {
	case s.Expected+leastLeft > s.Remaining:
		return comeBack(s, rnd), true
	case s.Objective <= 0, s.Expected <= s.Objective-s.Elapsed, s.Wait <= time.Duration(lateWait*float64(s.Objective)):
		return 0, false
	}
	return comeBack(s, rnd), true
}

// comeBack returns the time after which the queue is expected to be short enough.
func comeBack(s Request, rnd *rand.Rand) time.Duration {
	longest := time.Duration(returnShare * float64(s.Remaining))
	if longest < leastRetry {
		return 0
	}
	d := max(s.Wait, leastRetry)
	d += time.Duration(rnd.Float64() * spread * float64(d))
	return min(d, longest)
}
