package exchg

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// step is what happens after an attempt.
type step int

const (
	// finish ends the exchange with the outcome of the attempt.
	finish step = iota
	// again tries another endpoint.
	again
)

const (
	// maxOffers bounds the endpoints that one exchange is offered to, whatever they answer. Three refusals in a row mean that
	// the group is full.
	maxOffers = 4
	// maxUnreached bounds the endpoints of one exchange that no connection could be made to. A lost data centre takes a quarter
	// to a third of a group.
	maxUnreached = 6
	// leastTime is the time below which another attempt is not worth its cost: connecting, queueing and an answer take longer.
	leastTime = 20 * time.Millisecond
)

// tally counts the attempts of one exchange.
type tally struct {
	// runs counts the offers that an endpoint may have run, arrivals those that reached one, unreached those that reached none.
	runs, arrivals, unreached int
}

// add counts an attempt that ended with err, or with an answer if err is nil.
func (t *tally) add(err error) {
	if err == nil {
		t.runs++
		t.arrivals++
		return
	}
	switch e := qm.AsError(err); {
	case e.Outcome != qm.NotRun:
		t.runs++
		t.arrivals++
	case e.Code == qm.CodeUnreached:
		t.unreached++
	default:
		t.arrivals++
	}
}

// situation is what the decision after a failed attempt looks at.
type situation struct {
	kind     qm.Kind
	attempts int
	tally    tally
	// err is the outcome of the attempt.
	err *qm.Error
	// left is the time until the exchange is given up.
	left time.Duration
}

// next decides what follows a failed attempt. A second return value tells that the next attempt needs a repeat from the budget,
// since an endpoint was reached before.
func next(s situation) (step, bool) {
	switch {
	case s.left < leastTime:
		return finish, false
	case s.err.Outcome != qm.NotRun && !s.kind.Repeats():
		return finish, false
	case s.err.Outcome != qm.NotRun && s.tally.runs >= max(s.attempts, 1):
		return finish, false
	case s.tally.arrivals >= maxOffers || s.tally.unreached >= maxUnreached:
		return finish, false
	}
	switch s.err.Code {
	case qm.CodeUnreached, qm.CodeEndpointFull, qm.CodeMisdirected, qm.CodeEndpoint, qm.CodeAnsweredError, qm.CodeTimeout:
		return again, s.tally.arrivals > 0
	}
	return finish, false
}

// patience returns how long an attempt may show no progress before another endpoint is tried, 0 for as long as the exchange has.
// begun tells that the answer has begun, expected is when its beginning was expected. The last attempt that is allowed, and one that may
// not be repeated, is never given up, since its answer may be on its way.
func patience(x *qm.Exchange, t tally, begun bool, expected, left time.Duration) time.Duration {
	if !x.Route.Kind.Repeats() || t.runs+1 >= x.Route.Attempts {
		return 0
	}
	limit := max(stallFactor*x.Route.Objective, leastStall) + expected
	if begun {
		limit = max(stallFactor*x.Route.Pause, leastStall)
	}
	if limit > left*2/3 {
		// What is left would not do for another attempt.
		return 0
	}
	return limit
}

const (
	// stallFactor times the objective without a sign of progress, beside the time that was expected, is the time after which an
	// endpoint counts as stalled. An answer that is a little late is still worth more than one that starts anew.
	stallFactor = 2
	// leastStall is the least such time: several round trips and a retransmission.
	leastStall = 300 * time.Millisecond
)

const (
	// tokenTime is the time between two tokens of an engine that also reads prompts, with some room.
	tokenTime = 30 * time.Millisecond
	// plainTime is the time in which nearly all answers of plain services are whole.
	plainTime = 500 * time.Millisecond
)

// Length returns how long an exchange is expected to take at most, so that a router that stops can tell which it still finishes.
func EstimateDuration(x *qm.Exchange) time.Duration {
	d := plainTime
	if x.Route.Kind.Streams() {
		d = 2*x.Route.Objective + time.Duration(x.OutputTokens)*tokenTime
	}
	if x.Route.Timeout > 0 {
		d = min(d, x.Route.Timeout)
	}
	return d
}
