// Package invoke sends calls to the processes of plain services.
//
// A call of which no byte was sent may go to another process. Any other failure ends the call, unless it may be repeated. Whether a call
// that must not run twice may be sent at all is decided by package claim; this package only sends it.
package invoke

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/retry"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// MaxAttempts bounds the processes to which one call is sent.
const MaxAttempts = 3

// Deps are the dependencies of an Invoker.
type Deps struct {
	Board  *board.Board
	Client qm.ServiceClient
	Health qm.Health
	// TakeRetry takes one retry from the team's budget and reports whether there was one.
	TakeRetry func(qm.TeamID) bool
}

// Invoker sends calls. It is safe for concurrent use.
type Invoker struct{ deps Deps }

// New returns an Invoker.
func New(deps Deps) *Invoker { return &Invoker{deps: deps} }

// Dispatch implements quetzalmount.DispatchFunc. It sends the call to one process and tries another one only if no byte was sent.
func (i *Invoker) Dispatch(ctx context.Context, op qm.OperationID, c *qm.Call) (int, json.RawMessage, error) {
	return i.send(ctx, op, c, retry.Once)
}

// CallRepeatable sends a call that may run more than once. It retries the call even if an earlier attempt may have run.
func (i *Invoker) CallRepeatable(ctx context.Context, c *qm.Call) (qm.CallResult, error) {
	op := qm.OperationID(c.Request)
	status, answer, err := i.send(ctx, op, c, retry.Repeatable)
	if err != nil {
		return qm.CallResult{}, err
	}
	return qm.CallResult{Operation: op, Outcome: qm.OutcomeDone, Status: status, Answer: answer}, nil
}

// send sends a call to up to MaxAttempts processes and returns the HTTP status and body of the answer.
func (i *Invoker) send(ctx context.Context, op qm.OperationID, c *qm.Call, repeatability retry.Repeatability) (int, json.RawMessage, error) {
	var last error
	for n, e := range i.candidates(c.Service.ID) {
		if n == MaxAttempts || (n > 0 && !i.awaitRetry(ctx, c.Team, n-1, last)) {
			break
		}
		attempt := i.deps.Health.Begin(e.ID)
		status, answer, err := i.deps.Client.Call(ctx, e, op, c)
		if err == nil {
			attempt.Succeeded()
			return status, answer, nil
		}
		endFailed(ctx, attempt, err)
		last = err
		if ctx.Err() != nil || !retry.Retryable(err, repeatability) {
			break
		}
	}
	if last == nil {
		return 0, nil, qm.Refuse(qm.CodeNoEndpoint, "dispatch",
			"No process of service %s takes calls now; nothing was run, try again later.", c.Service.ID).WithRetryAfter(time.Second)
	}
	return 0, nil, last
}

// endFailed ends an attempt that got no answer. A caller who left says nothing about the process.
func endFailed(ctx context.Context, attempt qm.Attempt, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		attempt.Abandoned()
		return
	}
	attempt.Failed(err)
}

// awaitRetry takes a retry from the team's budget and waits for the backoff of retry number n, counted from 0, after err. It reports false
// if the budget is spent or ctx is done.
func (i *Invoker) awaitRetry(ctx context.Context, team qm.TeamID, n int, err error) bool {
	if !i.deps.TakeRetry(team) {
		return false
	}
	t := time.NewTimer(retry.Backoff(n, err, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// statusAnswer is the answer of one process to a status query.
type statusAnswer struct {
	result qm.CallResult
	found  bool
	err    error
}

// Status implements quetzalmount.StatusFunc. It queries all processes of the service at the same time, including leaving ones, since any of them
// may have run the operation and others may be silent. It returns the first result that is found, and else waits for all answers.
func (i *Invoker) Status(ctx context.Context, op qm.OperationID, c *qm.Call) (qm.CallResult, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	processes := i.processes(c.Service.ID)
	answers := make(chan statusAnswer, len(processes))
	for _, e := range processes {
		go func() { answers <- i.status(ctx, e, op) }()
	}
	var last error
	for range processes {
		switch a := <-answers; {
		case a.err != nil:
			last = a.err
		case a.found:
			return a.result, true, nil
		}
	}
	return qm.CallResult{}, false, last
}

// status queries one process.
func (i *Invoker) status(ctx context.Context, e *qm.Endpoint, op qm.OperationID) statusAnswer {
	attempt := i.deps.Health.Begin(e.ID)
	r, found, err := i.deps.Client.Status(ctx, e, op)
	if err != nil {
		endFailed(ctx, attempt, err)
		return statusAnswer{err: err}
	}
	attempt.Succeeded()
	return statusAnswer{result: r, found: found}
}

// processes returns all processes of a service, including leaving ones.
func (i *Invoker) processes(id qm.ServiceID) []*qm.Endpoint {
	all, _ := i.deps.Board.Endpoints.Load()
	var out []*qm.Endpoint
	for _, e := range all {
		if e.Kind == qm.KindService && e.Group == qm.GroupID(id) {
			out = append(out, e)
		}
	}
	return out
}

// candidates returns the processes that take new calls: first the live ones whose circuit breaker allows requests, then the others, each
// in random order.
func (i *Invoker) candidates(id qm.ServiceID) []*qm.Endpoint {
	var live, rest []*qm.Endpoint
	for _, e := range i.processes(id) {
		switch {
		case e.State == qm.Leaving:
		case e.State == qm.Live && i.deps.Health.Ready(e.ID):
			live = append(live, e)
		default:
			rest = append(rest, e)
		}
	}
	shuffle(live)
	shuffle(rest)
	return append(live, rest...)
}

func shuffle(s []*qm.Endpoint) { rand.Shuffle(len(s), func(a, b int) { s[a], s[b] = s[b], s[a] }) }
