package exchg

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// action is what follows a failed attempt.
type action int

const (
	// finish ends the exchange with the error of the attempt.
	finish action = iota
	// tryNext makes another attempt at another endpoint.
	tryNext
)

const (
	// maxReached bounds the endpoints that one exchange reaches. After three refusals in a row the group can be assumed to be full.
	maxReached = 4
	// maxUnreached bounds the failed connection attempts of one exchange. The loss of a data centre removes a quarter to a third of a
	// group's endpoints.
	maxUnreached = 6
	// minAttemptTime is the minimum remaining time for another attempt. Connecting, queueing and answering take longer than this.
	minAttemptTime = 20 * time.Millisecond
)

// attemptCounts counts the attempts of one exchange.
type attemptCounts struct {
	// possibleRuns counts the attempts that an endpoint may have run, reached those that reached an endpoint, and unreached those that
	// did not.
	possibleRuns, reached, unreached int
}

// add counts an attempt that ended with err, which is nil if it succeeded.
func (c *attemptCounts) add(err error) {
	if err == nil {
		c.possibleRuns++
		c.reached++
		return
	}
	switch e := qm.AsError(err); {
	case e.Outcome != qm.OutcomeNotRun:
		c.possibleRuns++
		c.reached++
	case e.Code == qm.CodeEndpointUnreached:
		c.unreached++
	default:
		c.reached++
	}
}

// failedAttempt is the input of nextAction.
type failedAttempt struct {
	kind    qm.ExchangeKind
	maxRuns int
	counts  attemptCounts
	// rounds counts the waits after which another endpoint is asked; see mayAskAgain.
	rounds int
	// err is the error of the attempt.
	err *qm.Error
	// left is the time until the deadline of the exchange.
	left time.Duration
}

// nextAction decides what follows a failed attempt. The second result reports whether the next attempt must take a retry from the budget,
// as it must once an endpoint was reached.
func nextAction(a failedAttempt) (action, bool) {
	switch {
	case a.left < minAttemptTime:
		return finish, false
	case a.err.Outcome != qm.OutcomeNotRun && !a.kind.IsRepeatable():
		return finish, false
	case a.err.Outcome != qm.OutcomeNotRun && a.counts.possibleRuns >= max(a.maxRuns, 1):
		return finish, false
	case a.counts.reached >= maxReached+a.rounds || a.counts.unreached >= maxUnreached+a.rounds:
		return finish, false
	}
	if isEndpointsFault(a.err.Code) {
		return tryNext, a.counts.reached > 0
	}
	return finish, false
}

// isEndpointsFault reports whether another endpoint may do better after an attempt that ended with the code.
func isEndpointsFault(c qm.Code) bool {
	switch c {
	case qm.CodeEndpointUnreached, qm.CodeEndpointFull, qm.CodeMisdirected, qm.CodeEndpointFailed, qm.CodeEndpointAnsweredError, qm.CodeTimeout:
		return true
	}
	return false
}

// askAgainInterval is the time after which a stream that is broken off otherwise asks another endpoint.
const askAgainInterval = 200 * time.Millisecond

// mayAskAgain reports whether a stream that has begun waits for askAgainInterval and asks another endpoint then, after an attempt for which
// nextAction has nothing left or the retry budget has no unit. Endpoints that refuse, and the budget, may have room later. idle is the time
// since the last event.
func mayAskAgain(a failedAttempt, r *qm.Route, idle time.Duration) bool {
	return r.Kind == qm.Resumable && (isEndpointsFault(a.err.Code) || a.err.Code == qm.CodeNoEndpoint) &&
		a.counts.possibleRuns < max(a.maxRuns, 1) && a.left >= askAgainInterval+minAttemptTime && idle+askAgainInterval < abandonTime(r)
}

// abandonTime returns the pause within a stream after which callers abandon it.
func abandonTime(r *qm.Route) time.Duration {
	return max(2*time.Second, 4*r.LatencyObjective, 8*r.MaxEventGap)
}

// mayTakeOver reports whether another endpoint may be tried beside the attempts in progress. c counts those that have ended; refusals and endpoints
// that were not reached count since the start of the round, since a group that is full may have room later.
func mayTakeOver(x *qm.Exchange, c attemptCounts, inProgress int, left time.Duration) bool {
	return x.Route.Kind.IsRepeatable() && c.possibleRuns+inProgress < x.Route.MaxAttempts && c.reached+inProgress < maxReached &&
		c.unreached < maxUnreached && left >= minAttemptTime
}

// stallTimeout returns how long an attempt may make no progress before other endpoints are tried beside it, 0 for no limit.
// started reports whether the response has started; expected is the predicted time to its start. There is no limit for an attempt that may
// not be repeated, or after which none is allowed.
func stallTimeout(x *qm.Exchange, c attemptCounts, started bool, expected, left time.Duration) time.Duration {
	if !x.Route.Kind.IsRepeatable() || c.possibleRuns+1 >= x.Route.MaxAttempts {
		return 0
	}
	limit := startTimeout(x, expected)
	if started {
		limit = max(stallFactor*x.Route.MaxEventGap, minStallTimeout)
	}
	if limit > left*2/3 {
		// The remaining time would not suffice for another attempt.
		return 0
	}
	return limit
}

// startTimeout returns how long an endpoint may be silent before its response starts; expected is the predicted time to that.
func startTimeout(x *qm.Exchange, expected time.Duration) time.Duration {
	return max(stallFactor*x.Route.LatencyObjective, minStallTimeout) + expected
}

const (
	// stallFactor multiplies the objective, or the longest pause between events, to give the time without progress after which an
	// endpoint counts as stalled and a takeover begins. Before the response has started, the expected time to its start is added. A response that is slightly
	// late is better than one that starts again elsewhere.
	stallFactor = 2
	// minStallTimeout covers several round trips and a retransmission.
	minStallTimeout = 300 * time.Millisecond
)

const (
	// interTokenTime is an upper estimate of the time between two tokens of an engine that also processes prompts.
	interTokenTime = 30 * time.Millisecond
	// plainResponseTime is the time within which nearly all responses of plain services are complete, where objectiveMultiple times the
	// objective of their route is less.
	plainResponseTime = 500 * time.Millisecond
	// objectiveMultiple times the objective of a route is the time to the first event, or to the whole response, of nearly all exchanges.
	objectiveMultiple = 2
)

// EstimateDuration returns an upper estimate of the duration of an exchange. A router that is shutting down uses it to refuse exchanges
// that it could not finish.
func EstimateDuration(x *qm.Exchange) time.Duration {
	d := max(plainResponseTime, objectiveMultiple*x.Route.LatencyObjective)
	if x.Route.Kind.IsStreamed() {
		d = objectiveMultiple*x.Route.LatencyObjective + time.Duration(x.OutputTokens)*interTokenTime
	}
	if x.Route.Timeout > 0 {
		d = min(d, x.Route.Timeout)
	}
	return d
}
