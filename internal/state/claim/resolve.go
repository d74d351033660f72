package claim

import (
	"context"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// firstLook and maxLook bound the pause between status look-ups of one waiting caller, which doubles.
	firstLook = time.Second
	maxLook   = 10 * time.Second
	// redispatchAfter is how long a caller waits for the holder before it dispatches a call to a service that
	// deduplicates by key.
	redispatchAfter = 5 * time.Second
)

// await waits for the holder of the key of v. It reports false when the key's state changed, so that the caller looks
// again, and Unknown when the context ends. It sets maybe if it dispatched the call itself without an answer.
func (c *Claims) await(ctx context.Context, s *shard, op operation, call *qm.Call, v view, maybe *qm.OperationID) (qm.Result, bool) {
	op.attempt = v.entry.attempt
	began, look := time.Now(), firstLook
	t := time.NewTimer(look)
	defer t.Stop()
	for {
		select {
		case <-v.changed:
			return qm.Result{}, false
		case <-ctx.Done():
			return qm.Result{Operation: op.id(), Outcome: qm.Unknown}, true
		case <-c.ctx.Done():
			return qm.Result{Operation: op.id(), Outcome: qm.Unknown}, true
		case <-t.C:
		}
		if r, ok := c.lookUp(ctx, s, op, call); ok {
			r.Repeated = true
			return r, true
		}
		if call.Service.Dedupes && time.Since(began) >= redispatchAfter {
			status, answer, err := c.opts.Dispatch(ctx, op.id(), call)
			if err == nil {
				c.recordDone(s, op, status, answer)
				return qm.Result{Operation: op.id(), Outcome: qm.Done, Status: status, Answer: answer, Repeated: true}, true
			}
			if !isNotRun(err) {
				*maybe = op.id()
			}
		}
		look = min(2*look, maxLook)
		t.Reset(look)
	}
}

// lookUp asks the service about the operation, and closes the key if the service ran it.
func (c *Claims) lookUp(ctx context.Context, s *shard, op operation, call *qm.Call) (qm.Result, bool) {
	if c.opts.Status == nil {
		return qm.Result{}, false
	}
	r, found, err := c.opts.Status(ctx, op.id(), call)
	if err != nil || !found || r.Outcome != qm.Done {
		return qm.Result{}, false
	}
	c.recordDone(s, op, r.Status, r.Answer)
	r.Operation = op.id()
	return r, true
}

// Lookup implements quetzalmount.Claims.
func (c *Claims) Lookup(ctx context.Context, team qm.TeamID, svc *qm.Service, id qm.OperationID) (qm.Result, error) {
	call := &qm.Call{Team: team, Service: svc}
	if len(id) > len(keylessPrefix) && id[:len(keylessPrefix)] == keylessPrefix {
		if c.opts.Status != nil {
			if r, found, err := c.opts.Status(ctx, id, call); err == nil && found {
				r.Operation = id
				return r, nil
			}
		}
		return qm.Result{Operation: id, Outcome: qm.Unknown}, nil
	}
	op, ok := parseOperation(id)
	if !ok || op.owner != ownerOf(team, svc.ID) {
		return qm.Result{}, qm.Refuse(qm.CodeNotFound, "look up", "no such operation")
	}
	s := c.shards[op.key.shard()]
	r, open := s.known(op)
	if svc.Dedupes && r.Outcome == qm.NotRun {
		// Another router may have dispatched the operation before its attempt was voided.
		r, open = qm.Result{Operation: id, Outcome: qm.Unknown}, true
	}
	if r.Outcome != qm.Unknown || !open {
		return r, nil
	}
	holder, _ := parseOperation(r.Operation)
	if done, ok := c.lookUp(ctx, s, holder, call); ok {
		return done, nil
	}
	return r, nil
}

// known returns what the fold says about an operation, and whether the service should be asked about the operation of r.
func (s *shard) known(op operation) (r qm.Result, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unknown := qm.Result{Operation: op.id(), Outcome: qm.Unknown}
	if !s.complete {
		return unknown, true
	}
	e := s.fold.keys[op.key]
	if e != nil && (e.attempt == op.attempt || e.print == op.print) {
		if e.done {
			return resultOf(op, e), false
		}
		op.attempt = e.attempt
		return qm.Result{Operation: op.id(), Outcome: qm.Unknown}, true
	}
	_, voided := s.fold.voids[op.attempt]
	// An attempt that does not hold its key after its window never will. Older than the key time, it may be forgotten.
	remembered := s.fold.now < begunAt(op.attempt).Add(s.rules.keyTime).UnixMilli()
	if voided || (s.fold.closed(op.attempt) && remembered) {
		return qm.Result{Operation: op.id(), Outcome: qm.NotRun}, false
	}
	return unknown, true
}
