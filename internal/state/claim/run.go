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
	// unconfirmedTimeout is how long an attempt waits to read its claim after the result of the append was lost. Then it
	// is voided.
	unconfirmedTimeout = time.Second
	// The last 1/voidTimeDivisor of the time to the deadline, at most maxVoidTime, is reserved for appending a void, so that
	// the caller gets NotRun instead of Unknown.
	voidTimeDivisor = 5
	maxVoidTime     = 2 * time.Second
	// maxAttempts is the maximum number of claims that one call of Run appends.
	maxAttempts = 3
	// suggestedRetry is the Retry-After time of refused calls.
	suggestedRetry = time.Second
)

// attemptResult is the result of an attempt, which drive sends to wait.
type attemptResult struct {
	res qm.CallResult
	err error
	// retry is set if the attempt has ended without a result and Run should view the key again.
	retry bool
	// unknownOp is set if the attempt was dispatched and its outcome is unknown.
	unknownOp qm.OperationID
}

// Run implements quetzalmount.CallRunner. An error with OutcomeNotRun refers to this request only: an earlier request with
// the same key may have been run if this router has not read its claim.
func (c *Claims) Run(ctx context.Context, call *qm.Call) (qm.CallResult, error) {
	if call.Key == "" || call.Service.IsRepeatable(call.Name) {
		return c.runKeyless(ctx, call)
	}
	op := operation{key: keyOf(call.Team, call.Service.ID, call.Key), fingerprint: fingerprintOf(call.Name, call.Body),
		owner: ownerOf(call.Team, call.Service.ID)}
	s := c.shards[op.key.shard()]
	return c.runKeyed(ctx, s, op, call)
}

// runKeyed claims the key of a call, waits for its holder or refuses the call, until there is a result or the context is
// done.
func (c *Claims) runKeyed(ctx context.Context, s *shard, op operation, call *qm.Call) (qm.CallResult, error) {
	// unknownOp is the operation that this request has dispatched with an unknown outcome. If it is set, the request must
	// not return NotRun.
	var unknownOp qm.OperationID
	for n := 0; ; {
		v := s.view(op.key)
		if v.entry != nil && v.entry.fingerprint == op.fingerprint {
			if v.entry.done {
				return resultOf(op, v.entry), nil
			}
			if r, ok := c.awaitHolder(ctx, s, op, call, v, &unknownOp); ok {
				return r, nil
			}
			continue
		}
		if unknownOp != "" {
			return qm.CallResult{Operation: unknownOp, Outcome: qm.OutcomeUnknown}, nil
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
		o := c.claimAndDispatch(ctx, s, op, call)
		if !o.retry {
			return o.res, o.err
		}
		unknownOp = o.unknownOp
	}
}

// refusal returns an error if the request must not claim its key. claims is the number of claims of this request so far.
func (c *Claims) refusal(ctx context.Context, s *shard, op operation, v view, claims int) error {
	switch {
	case !v.historyComplete:
		return qm.Refuse(qm.CodeLogUnavailable, "claim",
			"the history of keys is not complete, so a repeated call could run twice; retry later").WithPeer(string(s.stream)).WithRetryAfter(suggestedRetry)
	case v.entry != nil, v.own != nil && v.own.op.fingerprint != op.fingerprint:
		return qm.Refuse(qm.CodeConflict, "claim", "the key was used before with another call or body")
	case ctx.Err() != nil:
		return qm.Refuse(qm.CodeTimeout, "claim", "the deadline passed before the call was claimed").WithPeer(string(s.stream)).WithRetryAfter(suggestedRetry)
	case claims >= maxAttempts:
		return qm.Refuse(qm.CodeLogUnavailable, "claim", "no result after %d claims; retry later", claims).WithPeer(string(s.stream)).WithRetryAfter(suggestedRetry)
	}
	return nil
}

// resultOf returns the recorded result of a key that is done.
func resultOf(op operation, e *entry) qm.CallResult {
	op.attempt = e.attempt
	return qm.CallResult{Operation: op.id(), Outcome: qm.OutcomeDone, Status: int(e.status), Answer: e.answer, Repeated: true,
		AnswerDropped: e.noAnswer}
}

// claimAndDispatch claims the key and dispatches the call if the claim wins.
func (c *Claims) claimAndDispatch(ctx context.Context, s *shard, op operation, call *qm.Call) attemptResult {
	if err := c.beginAttempt(); err != nil {
		return attemptResult{err: err}
	}
	id, err := newAttempt()
	if err != nil {
		c.endAttempt()
		return attemptResult{err: qm.Refuse(qm.CodeInternal, "claim", "%v", err)}
	}
	op.attempt = id
	t := &attempt{op: op, deadline: deadlineOf(ctx, call), status: make(chan claimStatus, 1), unconfirmed: make(chan struct{}),
		voided: make(chan struct{}), result: make(chan attemptResult, 1)}
	data, err := encode(&record{Kind: kindClaim, Attempt: id, Key: op.key[:], Print: op.fingerprint[:], Instance: c.opts.Instance,
		Service: call.Service.ID})
	if err != nil || !s.register(t, &pendingRecord{data: data, attempt: t}) {
		c.endAttempt()
		return attemptResult{retry: true}
	}
	go func() {
		defer c.endAttempt()
		c.drive(s, t, call)
		s.unregister(t)
	}()
	return c.wait(ctx, s, t)
}

// deadlineOf returns the time after which the call must not be dispatched.
func deadlineOf(ctx context.Context, call *qm.Call) time.Time {
	d := DefaultCallTimeout
	if call.Service.Timeout > 0 {
		d = call.Service.Timeout
	}
	at := time.Now().Add(d)
	if end, ok := ctx.Deadline(); ok && end.Before(at) {
		return end
	}
	return at
}

// wait returns the result of the attempt. It abandons the attempt if it has not been dispatched shortly before its
// deadline, or unconfirmedTimeout after the result of the append was lost. It returns OutcomeUnknown when the context is
// done.
func (c *Claims) wait(ctx context.Context, s *shard, t *attempt) attemptResult {
	remaining := time.Until(t.deadline)
	abandonTimer := time.NewTimer(remaining - min(remaining/voidTimeDivisor, maxVoidTime))
	defer abandonTimer.Stop()
	unconfirmedTimer := time.NewTimer(remaining)
	defer unconfirmedTimer.Stop()
	unconfirmed := t.unconfirmed
	for {
		select {
		case o := <-t.result:
			return o
		case <-unconfirmed:
			unconfirmed = nil
			unconfirmedTimer.Reset(unconfirmedTimeout)
			continue
		case <-abandonTimer.C:
		case <-unconfirmedTimer.C:
		case <-ctx.Done():
			c.abandon(s, t)
			return attemptResult{res: qm.CallResult{Operation: t.op.id(), Outcome: qm.OutcomeUnknown}}
		case <-c.ctx.Done():
			return attemptResult{res: qm.CallResult{Operation: t.op.id(), Outcome: qm.OutcomeUnknown}}
		}
		c.abandon(s, t)
	}
}

// abandon abandons the attempt unless it was dispatched. Then drive sends its result.
func (c *Claims) abandon(s *shard, t *attempt) {
	if ok, needVoid := s.markAbandoned(t); !ok {
		return
	} else if needVoid {
		c.sendVoid(s, t)
	} else {
		t.setStatus(claimNotSent)
	}
}

// sendVoid queues the void record of an attempt that will not be dispatched or was not run. It is sent until the log
// has it [SendVoid].
func (c *Claims) sendVoid(s *shard, t *attempt) {
	data, err := encode(&record{Kind: kindVoid, Attempt: t.op.attempt, Key: t.op.key[:], Instance: c.opts.Instance})
	if err != nil {
		c.logger.Error(err, "cannot encode void record", "stream", s.stream)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueue(&pendingRecord{data: data, isNeeded: func() bool { return !isClosed(t.voided) }, onAppended: t.confirmVoid})
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// drive waits for the status of the claim, dispatches the call if the claim has won, and sends the result of the attempt.
func (c *Claims) drive(s *shard, t *attempt, call *qm.Call) {
	select {
	case <-c.ctx.Done(): // [Crash]
	case <-t.voided:
		t.result <- attemptResult{retry: true}
	case f := <-t.status:
		switch f {
		case claimWon:
			c.dispatch(s, t, call)
		case claimLost:
			t.result <- attemptResult{retry: true}
		case claimShardFull:
			t.result <- attemptResult{err: qm.Refuse(qm.CodeQueueFull, "claim", "too many keys are stored; retry later").WithPeer(string(s.stream)).WithRetryAfter(time.Minute)}
		case claimNotSent:
			t.result <- attemptResult{err: qm.Refuse(qm.CodeLogUnavailable, "claim",
				"the log does not accept claims; this request was not executed, retry with the same key").WithPeer(string(s.stream)).WithRetryAfter(suggestedRetry)}
		}
	}
}

// dispatch dispatches the call if the attempt still holds its key [Dispatch].
func (c *Claims) dispatch(s *shard, t *attempt, call *qm.Call) {
	if !s.startDispatch(t) {
		c.abandon(s, t)
		c.awaitVoid(t, attemptResult{retry: true})
		return
	}
	ctx, cancel := context.WithDeadline(c.ctx, t.deadline)
	defer cancel()
	status, answer, err := c.opts.Dispatch(ctx, t.op.id(), call)
	switch {
	case err == nil:
		c.recordDone(s, t.op, status, answer)
		t.result <- attemptResult{res: qm.CallResult{Operation: t.op.id(), Outcome: qm.OutcomeDone, Status: status, Answer: answer}}
	case isNotRun(err):
		// No data reached an endpoint and this was the only dispatch of the attempt, so it may be voided.
		c.sendVoid(s, t)
		c.awaitVoid(t, attemptResult{err: err})
	default:
		c.logger.Info("call dispatched with unknown outcome", "operation", t.op.id(), "service", call.Service.ID, "error", err.Error())
		t.result <- attemptResult{retry: true, unknownOp: t.op.id()} // the attempt holds the key, so Run waits for its outcome
	}
}

// awaitVoid sends o as the result once the log has the attempt's void record [AnswerNotRun].
func (c *Claims) awaitVoid(t *attempt, o attemptResult) {
	select {
	case <-t.voided:
		t.result <- o
	case <-c.ctx.Done():
	}
}

// recordDone queues the record that marks the key as done [RecordDone].
func (c *Claims) recordDone(s *shard, op operation, status int, answer json.RawMessage) {
	r := &record{Kind: kindDone, Attempt: op.attempt, Key: op.key[:], Status: status}
	if len(answer) > c.opts.MaxAnswer || !json.Valid(answer) {
		r.NoAnswer = len(answer) > 0
	} else {
		r.Answer = answer
	}
	data, err := encode(r)
	if err != nil {
		c.logger.Error(err, "cannot encode done record", "operation", op.id())
		return
	}
	needed := func() bool { e := s.fold.keys[op.key]; return e == nil || !e.done }
	s.mu.Lock()
	defer s.mu.Unlock()
	s.enqueue(&pendingRecord{data: data, isNeeded: needed})
}

// runKeyless dispatches a call that has no key or may be repeated. It dispatches the call at most once and appends no
// records.
func (c *Claims) runKeyless(ctx context.Context, call *qm.Call) (qm.CallResult, error) {
	if err := c.beginAttempt(); err != nil {
		return qm.CallResult{}, err
	}
	defer c.endAttempt()
	id, err := uuid.NewRandom()
	if err != nil {
		return qm.CallResult{}, qm.Refuse(qm.CodeInternal, "dispatch", "generate operation ID: %v", err)
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

// isNotRun reports whether the error of a dispatch means that the call was certainly not run.
func isNotRun(err error) bool {
	var e *qm.Error
	return errors.As(err, &e) && e.Outcome == qm.OutcomeNotRun
}
