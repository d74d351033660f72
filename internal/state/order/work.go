package order

import (
	"context"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
)

// lease is the right to command the endpoint of a slot until a time, with fence as the fencing token.
type lease struct {
	slot     int
	endpoint qm.EndpointID
	fence    qm.Offset
	until    time.Time
}

func (l lease) isValid() bool { return time.Now().Before(l.until) }

// runSlot executes the jobs of a slot until the context is done.
func (c *Controller) runSlot(ctx context.Context, i int) {
	wait := pollInterval
	for period.Sleep(ctx, wait) {
		wait = idlePollInterval
		j, ok := c.nextJob(i)
		if !ok {
			continue
		}
		wait = pollInterval
		l, err := c.claimSlot(ctx, lease{slot: i, endpoint: j.endpoint, fence: j.base})
		if err != nil {
			continue
		}
		r := &loadRun{c: c, lease: l, isTakeover: j.isTakeover, deadline: time.Now().Add(loadTimeout)}
		err = r.load(ctx)
		settleErr := r.waitSettled(ctx)
		l = r.lease
		if err != nil {
			c.opts.Logger.Info("engine did not reach its desired state", "Endpoint", l.endpoint, "Error", err.Error())
			c.mu.Lock()
			c.failures[l.endpoint] = failure{until: time.Now().Add(failureBackoff), err: err}
			c.mu.Unlock()
		}
		if settleErr == nil && l.isValid() {
			c.releaseSlot(ctx, l)
		}
	}
}

// errLeaseLost is returned when a lease has expired or another process holds the slot.
var errLeaseLost = errors.New("lease lost")

// claimSlot appends a claim that replaces the claim at offset l.fence, waits until it is read back, and returns the new
// lease. The lease starts before the append. A successor waits for the lease time from when it reads the record, so the
// lease has expired when the successor claims the slot.
func (c *Controller) claimSlot(ctx context.Context, l lease) (lease, error) {
	id, result := newAttempt(), make(chan decision, 1)
	data, err := encode(entry{Claim: &claim{
		Attempt: id, Holder: c.opts.Holder, Slot: l.slot, Endpoint: l.endpoint, Base: l.fence,
	}})
	if err != nil {
		return l, err
	}
	c.mu.Lock()
	c.pendingClaims[id] = result
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pendingClaims, id)
		c.mu.Unlock()
	}()
	until := time.Now().Add(qm.LeaseTime)
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	if _, err := c.opts.Log.Append(ctx, Stream, [][]byte{data}); errors.Is(err, qm.ErrNotAppended) {
		return l, errors.Wrap(err, "claim")
	}
	select {
	case d := <-result:
		if !d.accepted {
			return l, errors.Wrap(errLeaseLost, "claim")
		}
		l.fence, l.until = d.offset, until
		return l, nil
	case <-ctx.Done():
		return l, errors.Wrap(errLeaseLost, "claim was not read back in time")
	}
}

// releaseSlot appends a release and waits until it is read back or the lease expires.
func (c *Controller) releaseSlot(ctx context.Context, l lease) {
	data, err := encode(entry{Release: &release{Attempt: newAttempt(), Slot: l.slot, Fence: l.fence}})
	if err != nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, l.until)
	defer cancel()
	if _, err := c.opts.Log.Append(ctx, Stream, [][]byte{data}); err != nil {
		c.opts.Logger.V(1).Info("slot not released, waiting for its lease to expire", "Slot", l.slot, "Error", err.Error())
		return
	}
	for l.isValid() && c.isHeld(l) {
		if !period.Sleep(ctx, pollInterval) {
			return
		}
	}
}

// isHeld reports whether the claim of the lease is the slot's last claim and was not released.
func (c *Controller) isHeld(l lease) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.slots[l.slot]
	return s.fence == l.fence && !s.released
}

// loadRun is the execution of a job: it commands the endpoint of a claimed slot.
type loadRun struct {
	c          *Controller
	lease      lease
	isTakeover bool
	deadline   time.Time
	// lastCommand is the last command that was sent, and accepted whether the endpoint accepted it.
	lastCommand *desiredState
	accepted    bool
	// uncertainAt is when a command last failed with an unknown result, so that it may still take effect.
	uncertainAt    time.Time
	failedCommands int
}

// load commands the endpoint until it reports its desired state. It returns an error if the endpoint refuses commands or
// does not finish the load in time, or if the lease is lost.
func (r *loadRun) load(ctx context.Context) error {
	for {
		all := r.c.desiredStates()
		d, found := findEndpoint(all, r.lease.endpoint)
		// After a takeover at least one command is sent to an engine that checks fencing tokens, so that it refuses commands of
		// the previous holder.
		finished := d.isReached() && (r.accepted || !r.isTakeover || !d.fences)
		if !found || finished || d.endpoint.State == qm.Leaving {
			return nil
		}
		if r.lastCommand == nil && !r.canTakeOut(all, d) {
			return nil // another router has claimed an engine of the group before
		}
		if time.Now().After(r.deadline) {
			return errors.Errorf("load of version %s did not finish within %s", d.version, loadTimeout)
		}
		if err := r.renew(ctx, r.lastCommand != nil && !r.lastCommand.isSameCommand(d) && (d.fences || r.delayPassed())); err != nil {
			return err
		}
		if err := r.send(ctx, d); err != nil {
			return err
		}
		if !period.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

// canTakeOut repeats the check of nextJob with the claims that precede this one in the log. If two routers claim engines of
// a group at the same time, only the first one proceeds.
func (r *loadRun) canTakeOut(all []desiredState, d desiredState) bool {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	return canTakeOut(all, d, r.c.claimedBefore(r.lease.fence))
}

// renew renews the claim when less than half of the lease remains, or at once if force is set. A changed command needs a new
// fencing token, so that the previous command cannot take effect after it.
func (r *loadRun) renew(ctx context.Context, force bool) error {
	if !force && time.Until(r.lease.until) >= qm.LeaseTime/2 {
		return nil
	}
	l, err := r.c.claimSlot(ctx, r.lease)
	if err == nil {
		r.lease = l
	}
	return err
}

// send sends the command for d unless the endpoint has accepted it. It returns the error of a command only after
// maxFailedCommands commands have failed.
func (r *loadRun) send(ctx context.Context, d desiredState) error {
	isNew := r.lastCommand == nil || !r.lastCommand.isSameCommand(d)
	if !isNew && r.accepted {
		return nil
	}
	if isNew && !d.fences && !r.delayPassed() {
		return nil // the previous command may still arrive
	}
	if !r.lease.isValid() || r.c.opts.Board.IsLeaving() {
		return errLeaseLost
	}
	r.lastCommand = &d
	err := r.c.desire(ctx, r.lease, d)
	if r.accepted = err == nil; r.accepted {
		return nil
	}
	var refused *qm.Error
	if !errors.As(err, &refused) || refused.Outcome != qm.OutcomeNotRun {
		r.uncertainAt = time.Now()
	}
	if r.failedCommands++; r.failedCommands < maxFailedCommands {
		return nil
	}
	return err
}

// waitSettled keeps the slot while a command with an unknown result may take effect and while a load that it has started
// may be running. The next holder may send another command, and such a load must count against the slots.
func (r *loadRun) waitSettled(ctx context.Context) error {
	for r.lastCommand != nil && (r.mayTakeEffect() || r.mayBeLoading()) {
		if err := r.renew(ctx, false); err != nil {
			return err
		}
		if !period.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// mayTakeEffect reports whether a command with an unknown result may still take effect. An engine that checks fencing
// tokens refuses it after it has accepted a later command.
func (r *loadRun) mayTakeEffect() bool {
	return !r.delayPassed() && !(r.lastCommand.fences && r.accepted)
}

// mayBeLoading reports whether the endpoint serves no version, possibly because of a command with an unknown result.
func (r *loadRun) mayBeLoading() bool {
	d, found := findEndpoint(r.c.desiredStates(), r.lease.endpoint)
	return found && !r.uncertainAt.IsZero() && d.endpoint.Version == "" && time.Now().Before(r.deadline)
}

// delayPassed reports whether no command with an unknown result has failed within the last MaxCommandDelay.
func (r *loadRun) delayPassed() bool {
	return r.uncertainAt.IsZero() || time.Since(r.uncertainAt) >= MaxCommandDelay
}

// desire sends a command and waits for the result, at most until the lease expires.
func (c *Controller) desire(ctx context.Context, l lease, d desiredState) error {
	ctx, cancel := context.WithDeadline(ctx, l.until)
	defer cancel()
	err := c.opts.Engines.SetDesired(ctx, d.endpoint, l.fence, d.version, d.adapters, d.role)
	return errors.Wrapf(err, "command to %s", d.endpoint.ID)
}
