// Package invoke sends calls to the processes of plain services.
//
// A call that no byte of was sent may go to another process; any other failure ends it, unless the call may be repeated. The
// claims decide whether a call that must not run twice may be sent at all; this package sends it.
package invoke

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/retry"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// MaxTries bounds the processes that one call is offered to.
const MaxTries = 3

// Deps are the parts that an Invoker works with.
type Deps struct {
	Board  *board.Board
	Client qm.ServiceClient
	Health qm.Health
	// Retry takes one retry of the team's budget and reports whether there was one.
	TakeRetry func(qm.TeamID) bool
}

// Invoker sends calls. It is safe for concurrent use.
type Invoker struct{ deps Deps }

// New returns an Invoker.
func New(deps Deps) *Invoker { return &Invoker{deps: deps} }

// Dispatch implements quetzalmount.Dispatch: it sends the call to one process. Only if no byte was sent does it try another.
func (i *Invoker) Dispatch(ctx context.Context, op qm.OperationID, c *qm.Call) (int, json.RawMessage, error) {
	return i.send(ctx, op, c, retry.Once)
}

// Repeat sends a call that may be repeated, also again after it may have run.
func (i *Invoker) CallRepeatable(ctx context.Context, c *qm.Call) (qm.Result, error) {
	op := qm.OperationID(c.Request)
	status, answer, err := i.send(ctx, op, c, retry.Repeatable)
	if err != nil {
		return qm.Result{}, err
	}
	return qm.Result{Operation: op, Outcome: qm.Done, Status: status, Answer: answer}, nil
}

func (i *Invoker) send(ctx context.Context, op qm.OperationID, c *qm.Call, repeat retry.Repeatability) (int, json.RawMessage, error) {
	var last error
	for try, e := range i.candidates(c.Service.ID) {
		if try == MaxTries || (try > 0 && !i.again(ctx, c.Team, try-1, last)) {
			break
		}
		attempt := i.deps.Health.Begin(e.ID)
		status, answer, err := i.deps.Client.Call(ctx, e, op, c)
		if err == nil {
			attempt.Succeeded()
			return status, answer, nil
		}
		attempt.Failed(err)
		last = err
		if ctx.Err() != nil || !retry.Retryable(err, repeat) {
			break
		}
	}
	if last == nil {
		return 0, nil, qm.Refuse(qm.CodeNoEndpoint, "dispatch",
			"No process of service %s takes calls now; nothing was run, try again later.", c.Service.ID).After(time.Second)
	}
	return 0, nil, last
}

// again takes a retry from the budget and waits before it. It reports false if there must be none.
func (i *Invoker) again(ctx context.Context, team qm.TeamID, n int, err error) bool {
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

// Status implements quetzalmount.Status: it asks all processes of the service, because each may have run the operation.
func (i *Invoker) Status(ctx context.Context, op qm.OperationID, c *qm.Call) (qm.Result, bool, error) {
	var last error
	for _, e := range i.processes(c.Service.ID) {
		attempt := i.deps.Health.Begin(e.ID)
		r, found, err := i.deps.Client.Status(ctx, e, op)
		if err != nil {
			attempt.Failed(err)
			last = err
			continue
		}
		attempt.Succeeded()
		if found {
			return r, true, nil
		}
	}
	return qm.Result{}, false, last
}

// processes returns all processes of a service, those that are leaving too.
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

// candidates returns the processes that take new calls in random order: live ones first, then suspect ones.
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
