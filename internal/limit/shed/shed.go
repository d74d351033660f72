// Package shed implements load shedding: it decides whether to start a request now or to refuse it with a retry delay.
//
// It applies when a group of engines has less capacity than the load needs, after a burst or a loss of engines. If every request
// is started, the queue grows until all answers are late. A request is therefore started while its first token is expected within
// the objective. A request that would be late is refused at once, with the time until the queue is expected to be short again as
// the retry delay; while its caller waits, the request takes neither a slot nor memory. A request that is already late, or too
// large to meet the objective, is started only while the queue is short, so that it does not delay requests that can still meet
// the objective.
package shed

import (
	"math/rand/v2"
	"time"
)

const (
	// maxLateWaitFraction times the objective is the maximum queue wait at which a request that cannot meet the objective is
	// started.
	maxLateWaitFraction = 0.4
	// minRetry is the minimum retry delay. In less time, a queue does not become noticeably shorter.
	minRetry = 300 * time.Millisecond
	// maxRetryFraction is the maximum retry delay, as a fraction of the time until the caller gives up. Callers ignore longer
	// delays; the user documentation states a third.
	maxRetryFraction = 0.3
	// jitterFraction is the maximum random increase of the retry delay, as a fraction of it, so that callers do not retry
	// together.
	jitterFraction = 0.5
	// minAnswerTime is the minimum time from the first token to the end of an answer.
	minAnswerTime = 50 * time.Millisecond
)

// Request describes a request for which an endpoint has been chosen.
type Request struct {
	// ExpectedTTFT is the expected time to first token at the best endpoint. QueueDelay is the part of it spent waiting for other
	// requests.
	ExpectedTTFT, QueueDelay time.Duration
	// Objective is the objective for the time to first token; 0 or less means none. Elapsed is the time since the request
	// arrived.
	Objective, Elapsed time.Duration
	// Remaining is the time until the caller gives up.
	Remaining time.Duration
}

// Refuse reports whether the request should be refused, and after what time its caller should retry; the time is 0 if a retry
// could not succeed before the caller gives up.
func Refuse(s Request, rnd *rand.Rand) (after time.Duration, refuse bool) {
	switch {
	case s.ExpectedTTFT+minAnswerTime > s.Remaining:
		return retryDelay(s, rnd), true
	case s.Objective <= 0, s.ExpectedTTFT <= s.Objective-s.Elapsed, s.QueueDelay <= time.Duration(maxLateWaitFraction*float64(s.Objective)):
		return 0, false
	}
	return retryDelay(s, rnd), true
}

// retryDelay returns the time after which the queue is expected to be short enough, with jitter, or 0 if too little time remains.
func retryDelay(s Request, rnd *rand.Rand) time.Duration {
	maxDelay := time.Duration(maxRetryFraction * float64(s.Remaining))
	if maxDelay < minRetry {
		return 0
	}
	d := max(s.QueueDelay, minRetry)
	d += time.Duration(rnd.Float64() * jitterFraction * float64(d))
	return min(d, maxDelay)
}
