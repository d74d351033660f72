package front

import (
	"context"
	"encoding/json"
	"time"
	"unicode/utf8"

	"github.com/go-faster/jx"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/logs"
	"quetzalmount.dev/quetzalmount/internal/infra/meter"
	"quetzalmount.dev/quetzalmount/internal/wire/caller"
)

// CallService implements caller.Handler. It runs a call to a plain service.
func (h *Handler) CallService(ctx context.Context, body jx.Raw, p caller.CallServiceParams) (caller.CallServiceRes, error) {
	start := time.Now()
	c, err := h.newCall(ctx, body, p)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.callTimeout(c.Service, p))
	defer cancel()
	r, err := h.admitAndRun(ctx, c)
	teamMetrics := h.deps.Meter.Team(c.Team)
	if err != nil {
		e := qm.AsError(err)
		teamMetrics.Request(meter.PlainCall, e.Outcome, e.Code, time.Since(start))
		h.deps.Log.Info("call failed", logs.RequestID, c.Request, logs.Team, c.Team, logs.Step, e.Step, logs.Peer, e.Peer,
			logs.Outcome, e.Outcome, logs.Code, e.Code, "Cause", e.Error())
		return nil, e
	}
	teamMetrics.Request(meter.PlainCall, r.Outcome, "", time.Since(start))
	op := newOperation(r)
	if r.Outcome == qm.OutcomeUnknown {
		res := caller.CallServiceAccepted(op)
		return &res, nil
	}
	res := caller.CallServiceOK(op)
	return &res, nil
}

func (h *Handler) newCall(ctx context.Context, body jx.Raw, p caller.CallServiceParams) (*qm.Call, error) {
	t, err := teamFromContext(ctx)
	if err != nil {
		return nil, err
	}
	svc, err := h.service(p.Service)
	if err != nil {
		return nil, err
	}
	if !utf8.Valid(body) {
		return nil, errNotUTF8()
	}
	return &qm.Call{
		Team: t.ID, Service: svc, Name: p.Call, Key: p.IdempotencyKey.Or(""), Body: json.RawMessage(body),
		Request: requestIDFromContext(ctx),
	}, nil
}

func (h *Handler) service(name string) (*qm.Service, error) {
	config, err := h.config()
	if err != nil {
		return nil, err
	}
	svc, ok := config.Services[qm.ServiceID(name)]
	if !ok {
		return nil, qm.Refuse(qm.CodeNotFound, "find service", "There is no service %q; check its name.", name)
	}
	return svc, nil
}

// admitAndRun charges a call against the limits of its team and runs it.
func (h *Handler) admitAndRun(ctx context.Context, c *qm.Call) (qm.CallResult, error) {
	t, err := teamFromContext(ctx)
	if err != nil {
		return qm.CallResult{}, err
	}
	grant, err := h.deps.Admit(ctx, t, qm.Cost{})
	if err != nil {
		return qm.CallResult{}, err
	}
	defer grant.Release(0)
	return h.runCall(ctx, c)
}

// runCall sends repeatable calls directly to the service. All others are claimed in the log first, so that they run at most once.
func (h *Handler) runCall(ctx context.Context, c *qm.Call) (qm.CallResult, error) {
	if c.Service.IsRepeatable(c.Name) {
		return h.deps.RunRepeatable(ctx, c)
	}
	return h.deps.Calls.Run(ctx, c)
}

// callTimeout returns the shortest of the timeouts of the caller, the service and the options.
func (h *Handler) callTimeout(svc *qm.Service, p caller.CallServiceParams) time.Duration {
	d := h.opts.RequestTimeout
	if svc.Timeout > 0 {
		d = min(d, svc.Timeout)
	}
	if ms, ok := p.XTimeoutMs.Get(); ok {
		d = min(d, time.Duration(ms)*time.Millisecond)
	}
	return d
}

// GetOperation implements caller.Handler. It looks up a call by its operation ID.
func (h *Handler) GetOperation(ctx context.Context, p caller.GetOperationParams) (*caller.Operation, error) {
	t, err := teamFromContext(ctx)
	if err != nil {
		return nil, err
	}
	svc, err := h.service(p.Service)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, h.opts.RequestTimeout)
	defer cancel()
	r, err := h.deps.Calls.Lookup(ctx, t.ID, svc, qm.OperationID(p.Operation))
	if err != nil {
		return nil, err
	}
	op := newOperation(r)
	return &op, nil
}

func newOperation(r qm.CallResult) caller.Operation {
	op := caller.Operation{Operation: string(r.Operation), Outcome: caller.Outcome(r.Outcome), Answer: jx.Raw(r.Answer)}
	if r.Status != 0 {
		op.Status = caller.NewOptInt(r.Status)
	}
	if r.Repeated {
		op.Repeated = caller.NewOptBool(true)
	}
	if r.AnswerDropped {
		op.AnswerDropped = caller.NewOptBool(true)
	}
	return op
}

func errNotUTF8() *qm.Error {
	return qm.Refuse(qm.CodeBadRequest, "read body", "The body is not valid UTF-8; encode it as UTF-8.")
}
