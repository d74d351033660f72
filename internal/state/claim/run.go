package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// settleTime is how long an attempt waits for its claim after the answer to the append was lost, before it is voided.
	settleTime = time.Second
	// voidShare of the time to the deadline, at most voidTime, is kept for the void, so that the caller hears NotRun.
	voidShare = 5
	voidTime  = 2 * time.Second
	// maxAttempts bounds the claims that one call of Run may append.
	maxAttempts = 3
	retryHint   = time.Second
)

// outcome is what the driver of an attempt reports.
type outcome struct {
	res qm.CallResult
	err error
	// again tells that the attempt is over and that Run should look at the key again.
	again bool
	// maybe is set if the attempt was dispatched and its outcome is unknown.
	maybe qm.OperationID
}

// Run implements quetzalmount.Claims. An error's outcome NotRun speaks about this request: an earlier request with the same
// key may have run, if this router cannot see its claim.
func (c *Claims) Run(ctx context.Context, call *qm.Call) (qm.CallResult, error) {
	if call.Key == "" || call.Service.IsRepeatable(call.Name) {
		return c.runOnce(ctx, call)
	}
	op := operation{key: keyOf(call.Team, call.Service.ID, call.Key), print: printOf(call.Name, call.Body),
		owner: ownerOf(call.Team, call.Service.ID)}
	s := c.shards[op.key.shard()]
	return c.settle(ctx, s, op, call)
}

// settle claims, waits or refuses until the outcome is known or the context ends.
func (c *Claims) settle(ctx context.Context, s *shard, op operation, call *qm.Call) (qm.CallResult, error) {
	// maybe is the operation of a dispatch by this request whose outcome is unknown. NotRun would be false from then on.
	var maybe qm.OperationID
	for n := 0; ; {
		v := s.view(op.key)
		if v.entry != nil && v.entry.print == op.print {
			if v.entry.done {
				return resultOf(op, v.entry), nil
			}
			if r, ok := c.await(ctx, s, op, call, v, &maybe); ok {
				return r, nil
			}
			continue
		}
		if maybe != "" {
			return qm.CallResult{Operation: maybe, Outcome: qm.OutcomeUnknown}, nil
		}
		if err := c.refusal(ctx, s, op, v, n); err != nil {
			return qm.CallResult{}, err
		}
		if v.own != nil {
			select {
			case <-v.changed:
				continue
			case <-ctx.Done():
				return qm.CallResult{Operation: v.own.op.id(), Outcome: qm.OutcomeUnknown}, nil
			}
		}
		n++
		o := c.attempt(ctx, s, op, call)
		if !o.again {
			return o.res, o.err
		}
		maybe = o.maybe
	}
}

// refusal returns why the request must not claim its key, or nil.
func (c *Claims) refusal(ctx context.Context, s *shard, op operation, v view, claims int) error {
	switch {
	case !v.complete:
		return qm.Refuse(qm.CodeLogUnavailable, "claim",
			"the history of keys is not complete, so a repeated call could run twice; retry later").WithPeer(string(s.stream)).WithRetryAfter(retryHint)
	case v.entry != nil, v.own != nil && v.own.op.print != op.print:
		return qm.Refuse(qm.CodeConflict, "claim", "the key was used before with another call or body")
	case ctx.Err() != nil:
		return qm.Refuse(qm.CodeTimeout, "claim", "the deadline passed before the call was claimed").WithPeer(string(s.stream)).WithRetryAfter(retryHint)
	case claims >= maxAttempts:
		return qm.Refuse(qm.CodeLogUnavailable, "claim", "%d claims did not settle; retry later", claims).WithPeer(string(s.stream)).WithRetryAfter(retryHint)
	}
	return nil
}

// resultOf returns the result of a key that is done.
func resultOf(op operation, e *entry) qm.CallResult {
	op.attempt = e.attempt
	return qm.CallResult{Operation: op.id(), Outcome: qm.OutcomeDone, Status: int(e.status), Answer: e.answer, Repeated: true,
		AnswerDropped: e.noAnswer}
}

// attempt claims the key, and dispatches the call if the claim wins.
func (c *Claims) attempt(ctx context.Context, s *shard, op operation, call *qm.Call) outcome {
	if err := c.enter(); err != nil {
		return outcome{err: err}
	}
	id, err := newAttempt()
	if err != nil {
		c.leave()
		return outcome{err: qm.Refuse(qm.CodeInternal, "claim", "%v", err)}
	}
	op.attempt = id
	t := &try{op: op, deadline: deadlineOf(ctx, call), fate: make(chan fate, 1), unclear: make(chan struct{}),
		voided: make(chan struct{}), result: make(chan outcome, 1)}
	data, err := encode(&record{Kind: kindClaim, Attempt: id, Key: op.key[:], Print: op.print[:], Instance: c.opts.Instance,
		Service: call.Service.ID})
	if err != nil || !s.begin(t, &item{data: data, claim: t}) {
		c.leave()
		return outcome{again: true}
	}
	go func() {
		defer c.leave()
		c.drive(s, t, call)
		s.end(t)
	}()
	return c.wait(ctx, s, t)
}

// deadlineOf returns when the call must not be dispatched any more.
func deadlineOf(ctx context.Context, call *qm.Call) time.Time {
	d := CallTime
	if call.Service.Timeout > 0 {
		d = call.Service.Timeout
	}
	at := time.Now().Add(d)
	if end, ok := ctx.Deadline(); ok && end.Before(at) {
		return end
	}
	return at
}

// wait returns what the driver reports, gives up when the deadline is near, and answers Unknown when the context ends.
func (c *Claims) wait(ctx context.Context, s *shard, t *try) outcome {
	left := time.Until(t.deadline)
	near := time.NewTimer(left - min(left/voidShare, voidTime))
	defer near.Stop()
	settle := time.NewTimer(left)
	defer settle.Stop()
	unclear := t.unclear
	for {
		select {
		case o := <-t.result:
			return o
		case <-unclear:
			unclear = nil
			settle.Reset(settleTime)
			continue
		case <-near.C:
		case <-settle.C:
		case <-ctx.Done():
			c.abandon(s, t)
			return outcome{res: qm.CallResult{Operation: t.op.id(), Outcome: qm.OutcomeUnknown}}
		case <-c.ctx.Done():
			return outcome{res: qm.CallResult{Operation: t.op.id(), Outcome: qm.OutcomeUnknown}}
		}
		c.abandon(s, t)
	}
}

// abandon gives the attempt up if it was not dispatched. The driver reports the rest.
func (c *Claims) abandon(s *shard, t *try) {
	if ok, needVoid := s.giveUp(t); !ok {
		return
	} else if needVoid {
		c.sendVoid(s, t)
	} else {
		t.learn(fateUnsent)
	}
}

// sendVoid queues the void of an attempt that will not be dispatched, until the log has it [SendVoid].
func (c *Claims) sendVoid(s *shard, t *try) {
	data, err := encode(&record{Kind: kindVoid, Attempt: t.op.attempt, Key: t.op.key[:], Instance: c.opts.Instance})
	if err != nil {
		c.alerts.Error(err, "void failed", "stream", s.stream)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.push(&item{data: data, needed: func() bool { return !isClosed(t.voided) }, confirmed: t.confirmVoid})
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// drive waits for the attempt's fate and acts on it.
func (c *Claims) drive(s *shard, t *try, call *qm.Call) {
	select {
	case <-c.ctx.Done(): // [Crash]
	case <-t.voided:
		t.result <- outcome{again: true}
	case f := <-t.fate:
		switch f {
		case fateWon:
			c.dispatch(s, t, call)
		case fateLost:
			t.result <- outcome{again: true}
		case fateFull:
			t.result <- outcome{err: qm.Refuse(qm.CodeQueueFull, "claim", "too many keys are remembered; retry later").WithPeer(string(s.stream)).WithRetryAfter(time.Minute)}
		case fateUnsent:
			t.result <- outcome{err: qm.Refuse(qm.CodeLogUnavailable, "claim",
				"the log does not take claims; this request was not run, retry with the same key").WithPeer(string(s.stream)).WithRetryAfter(retryHint)}
		}
	}
}

// dispatch sends the call if the attempt still holds its key [Dispatch].
func (c *Claims) dispatch(s *shard, t *try, call *qm.Call) {
	if !s.startDispatch(t) {
		c.abandon(s, t)
		c.awaitVoid(t, outcome{again: true})
		return
	}
	ctx, cancel := context.WithDeadline(c.ctx, t.deadline)
	defer cancel()
	status, answer, err := c.opts.Dispatch(ctx, t.op.id(), call)
	switch {
	case err == nil:
		c.recordDone(s, t.op, status, answer)
		t.result <- outcome{res: qm.CallResult{Operation: t.op.id(), Outcome: qm.OutcomeDone, Status: status, Answer: answer}}
	case isNotRun(err):
		// No byte reached an endpoint, and this was the only dispatch of the attempt, so it may be voided.
		c.sendVoid(s, t)
		c.awaitVoid(t, outcome{err: err})
	default:
		c.alerts.Info("outcome of a call is unknown", "operation", t.op.id(), "service", call.Service.ID, "error", err.Error())
		t.result <- outcome{again: true, maybe: t.op.id()} // the key is held, so Run waits for its resolution
	}
}

// awaitVoid reports o once the log has the attempt's void [AnswerNotRun].
func (c *Claims) awaitVoid(t *try, o outcome) {
	select {
	case <-t.voided:
		t.result <- o
	case <-c.ctx.Done():
	}
}

// recordDone queues the record that closes the key [RecordDone].
func (c *Claims) recordDone(s *shard, op operation, status int, answer json.RawMessage) {
	r := &record{Kind: kindDone, Attempt: op.attempt, Key: op.key[:], Status: status}
	if len(answer) > c.opts.MaxAnswer || !json.Valid(answer) {
		r.NoAnswer = len(answer) > 0
	} else {
		r.Answer = answer
	}
	data, err := encode(r)
	if err != nil {
		c.alerts.Error(err, "record of an answer failed", "operation", op.id())
		return
	}
	needed := func() bool { e := s.fold.keys[op.key]; return e == nil || !e.done }
	s.mu.Lock()
	defer s.mu.Unlock()
	s.push(&item{data: data, needed: needed})
}

// runOnce dispatches a call that the log does not know, at most once.
func (c *Claims) runOnce(ctx context.Context, call *qm.Call) (qm.CallResult, error) {
	if err := c.enter(); err != nil {
		return qm.CallResult{}, err
	}
	defer c.leave()
	id, err := uuid.NewRandom()
	if err != nil {
		return qm.CallResult{}, qm.Refuse(qm.CodeInternal, "dispatch", "no random numbers: %v", err)
	}
	op := qm.OperationID(keylessPrefix + id.String())
	ctx, cancel := context.WithDeadline(ctx, deadlineOf(ctx, call))
	defer cancel()
	if ctx.Err() != nil {
		return qm.CallResult{}, qm.Refuse(qm.CodeTimeout, "dispatch", "the deadline passed before the call was sent")
	}
	status, answer, err := c.opts.Dispatch(ctx, op, call)
	switch {
	case err == nil:
		return qm.CallResult{Operation: op, Outcome: qm.OutcomeDone, Status: status, Answer: answer}, nil
	case isNotRun(err):
		return qm.CallResult{}, err
	}
	return qm.CallResult{Operation: op, Outcome: qm.OutcomeUnknown}, nil
}

// isNotRun reports whether a dispatch certainly reached no endpoint.
func isNotRun(err error) bool {
	var e *qm.Error
	return errors.As(err, &e) && e.Outcome == qm.OutcomeNotRun
}
