package claim

import (
	"context"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// initialStatusInterval and maxStatusInterval bound the interval between status queries of a waiting call, which
	// doubles after each query.
	initialStatusInterval = time.Second
	maxStatusInterval     = 10 * time.Second
	// redispatchAfter is how long a call waits for the holder of its key before it is dispatched again, to a service that
	// supports idempotency keys.
	redispatchAfter = 5 * time.Second
)

// awaitHolder waits for the attempt that holds the key of v to finish. It returns false when the key's state changes, and
// the caller must view the key again. It returns OutcomeUnknown when the context is done. If it dispatches the call itself
// and the outcome of that is unknown, it sets *unknownOp.
func (c *Claims) awaitHolder(ctx context.Context, s *shard, op operation, call *qm.Call, v view, maybe *qm.OperationID) (qm.CallResult, bool) {
	op.attempt = v.entry.attempt
	start, interval := time.Now(), initialStatusInterval
	t := time.NewTimer(interval)
	defer t.Stop()
	for {
		select {
		case <-v.changed:
			return qm.CallResult{}, false
		case <-ctx.Done():
			return qm.CallResult{Operation: op.id(), Outcome: qm.OutcomeUnknown}, true
		case <-c.ctx.Done():
			return qm.CallResult{Operation: op.id(), Outcome: qm.OutcomeUnknown}, true
		case <-t.C:
		}
		// Processes may be silent, and the holder's result may be recorded meanwhile.
		queryCtx, cancel := whileUnchanged(ctx, v)
		r, ok := c.queryStatus(queryCtx, s, op, call)
		cancel()
		if ok {
			r.Repeated = true
			return r, true
		}
		if call.Service.SupportsIdempotencyKeys && time.Since(start) >= redispatchAfter {
			dispatchCtx, cancel := s.whileNotDone(ctx, op.key)
			status, answer, err := c.opts.Dispatch(dispatchCtx, op.id(), call)
			cancel()
			if err == nil {
				c.recordDone(s, op, status, answer)
				return qm.CallResult{Operation: op.id(), Outcome: qm.OutcomeDone, Status: status, Answer: answer, Repeated: true}, true
			}
			if !isNotRun(err) {
				*maybe = op.id()
			}
		}
		interval = min(2*interval, maxStatusInterval)
		t.Reset(interval)
	}
}

// whileUnchanged returns a context that ends when the state of the viewed key changes.
func whileUnchanged(ctx context.Context, v view) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		select {
		case <-v.changed:
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// whileNotDone returns a context that ends when the result of a key is recorded.
func (s *shard) whileNotDone(ctx context.Context, k keyID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		defer cancel()
		for {
			v := s.view(k)
			if v.entry != nil && v.entry.done {
				return
			}
			select {
			case <-v.changed:
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, cancel
}

// queryStatus asks the service for the outcome of the operation. If the service has run it, queryStatus records that
// and returns the result and true.
func (c *Claims) queryStatus(ctx context.Context, s *shard, op operation, call *qm.Call) (qm.CallResult, bool) {
	if c.opts.Status == nil {
		return qm.CallResult{}, false
	}
	r, found, err := c.opts.Status(ctx, op.id(), call)
	if err != nil || !found || r.Outcome != qm.OutcomeDone {
		return qm.CallResult{}, false
	}
	c.recordDone(s, op, r.Status, r.Answer)
	r.Operation = op.id()
	return r, true
}

// Lookup implements quetzalmount.CallRunner.
func (c *Claims) Lookup(ctx context.Context, team qm.TeamID, svc *qm.Service, id qm.OperationID) (qm.CallResult, error) {
	call := &qm.Call{Team: team, Service: svc}
	if len(id) > len(keylessPrefix) && id[:len(keylessPrefix)] == keylessPrefix {
		if c.opts.Status != nil {
			if r, found, err := c.opts.Status(ctx, id, call); err == nil && found {
				r.Operation = id
				return r, nil
			}
		}
		return qm.CallResult{Operation: id, Outcome: qm.OutcomeUnknown}, nil
	}
	op, ok := parseOperation(id)
	if !ok || op.owner != ownerOf(team, svc.ID) {
		return qm.CallResult{}, qm.Refuse(qm.CodeNotFound, "look up", "no such operation")
	}
	s := c.shards[op.key.shard()]
	r, unresolved := s.lookup(op)
	if svc.SupportsIdempotencyKeys && r.Outcome == qm.OutcomeNotRun {
		// Another router may have dispatched the operation before its attempt was voided.
		r, unresolved = qm.CallResult{Operation: id, Outcome: qm.OutcomeUnknown}, true
	}
	if r.Outcome != qm.OutcomeUnknown || !unresolved {
		return r, nil
	}
	holder, _ := parseOperation(r.Operation)
	if done, ok := c.queryStatus(ctx, s, holder, call); ok {
		return done, nil
	}
	return r, nil
}

// lookup returns the result of an operation according to the fold. unresolved reports whether the service should be asked
// for the outcome of r.Operation, which is the operation of the key's holder if there is one.
func (s *shard) lookup(op operation) (r qm.CallResult, unresolved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := qm.CallResult{Operation: op.id(), Outcome: qm.OutcomeUnknown}
	if !s.historyComplete {
		return unknown, true
	}
	e := s.fold.keys[op.key]
	if e != nil && (e.attempt == op.attempt || e.fingerprint == op.fingerprint) {
		if e.done {
			return resultOf(op, e), false
		}
		op.attempt = e.attempt
		return qm.CallResult{Operation: op.id(), Outcome: qm.OutcomeUnknown}, true
	}
	_, voided := s.fold.voids[op.attempt]
	// An attempt that does not hold its key after its window has closed never will. If it is older than the key retention,
	// it may have held the key before.
	remembered := s.fold.now < startTimeOf(op.attempt).Add(s.rules.keyRetention).UnixMilli()
	if voided || (s.fold.windowClosed(op.attempt) && remembered) {
		return qm.CallResult{Operation: op.id(), Outcome: qm.OutcomeNotRun}, false
	}
	return unknown, true
}
