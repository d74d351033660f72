package order

import (
	"context"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
)

// lease is the right to command the endpoint of a slot.
type lease struct {
	slot     int
	endpoint qm.EndpointID
	fence    qm.Offset
	until    time.Time
}

func (l lease) isValid() bool { return time.Now().Before(l.until) }

// serve works on one slot for as long as the controller runs.
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
			c.opts.Logger.Info("engine not changed", "Endpoint", l.endpoint, "Error", err.Error())
			c.mu.Lock()
			c.failures[l.endpoint] = failure{until: time.Now().Add(failureBackoff), err: err}
			c.mu.Unlock()
		}
		if settleErr == nil && l.isValid() {
			c.releaseSlot(ctx, l)
		}
	}
}

// errLost is returned when a lease ended or went to another holder.
var errLeaseLost = errors.New("lease lost")

// claim appends a claim that replaces the one with l's fence and waits until it was read back. The lease counts from before
// the append, so it ends before any successor's waiting time, which counts from when the successor read the record.
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

func (c *Controller) releaseSlot(ctx context.Context, l lease) {
	data, err := encode(entry{Release: &release{Attempt: newAttempt(), Slot: l.slot, Fence: l.fence}})
	if err != nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, l.until)
	defer cancel()
	if _, err := c.opts.Log.Append(ctx, Stream, [][]byte{data}); err != nil {
		c.opts.Logger.V(1).Info("slot not released, its lease runs out", "Slot", l.slot, "Error", err.Error())
		return
	}
	for l.isValid() && c.isHeld(l) {
		if !period.Sleep(ctx, pollInterval) {
			return
		}
	}
}

func (c *Controller) isHeld(l lease) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.slots[l.slot]
	return s.fence == l.fence && !s.released
}

// run is the work on one claimed endpoint.
type loadRun struct {
	c          *Controller
	lease      lease
	isTakeover bool
	deadline   time.Time
	// tried is the last command that was sent, and done tells that the endpoint took it.
	lastCommand *desiredState
	accepted    bool
	// failed is when a command was sent whose effect is not known.
	uncertainAt time.Time
	refusals    int
}

// load commands the endpoint until it reports what the table says.
func (r *loadRun) load(ctx context.Context) error {
	for {
		all := r.c.desiredStates()
		w, found := findEndpoint(all, r.lease.endpoint)
		// After a takeover one command is sent in any case, so that the engine refuses those of the last holder.
		finished := w.isReached() && (r.accepted || !r.isTakeover || !w.fences)
		if !found || finished || w.endpoint.State == qm.Leaving {
			return nil
		}
		if r.lastCommand == nil && !r.canTakeOut(all, w) {
			return nil // another router was faster with an engine of the group
		}
		if time.Now().After(r.deadline) {
			return errors.Errorf("load of %s did not end within %s", w.version, loadTimeout)
		}
		if err := r.renew(ctx, r.lastCommand != nil && !r.lastCommand.isSameCommand(w) && (w.fences || r.delayPassed())); err != nil {
			return err
		}
		if err := r.send(ctx, w); err != nil {
			return err
		}
		if !period.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
}

// spare repeats the check of pick with the claims that came before this one in the log, so that of two routers that claim
// engines of one group at the same time only the first goes on.
func (r *loadRun) canTakeOut(all []desiredState, w desiredState) bool {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	return canTakeOut(all, w, r.c.claimedBefore(r.lease.fence))
}

// renew claims the slot again when half of the lease is over, or when another command needs another fencing token, so that
// the one before cannot take effect after it.
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

// send sends a command if the endpoint has not taken it yet.
func (r *loadRun) send(ctx context.Context, w desiredState) error {
	isNew := r.lastCommand == nil || !r.lastCommand.isSameCommand(w)
	if !isNew && r.accepted {
		return nil
	}
	if isNew && !w.fences && !r.delayPassed() {
		return nil // the command before may still arrive
	}
	if !r.lease.isValid() || r.c.opts.Board.IsLeaving() {
		return errLeaseLost
	}
	r.lastCommand = &w
	err := r.c.desire(ctx, r.lease, w)
	if r.accepted = err == nil; r.accepted {
		return nil
	}
	var refused *qm.Error
	if !errors.As(err, &refused) || refused.Outcome != qm.OutcomeNotRun {
		r.uncertainAt = time.Now()
	}
	if r.refusals++; r.refusals < maxRefusals {
		return nil
	}
	return err
}

// hold keeps the slot while a command of unknown effect can still arrive and while the load that it started goes on. The
// next holder may command something else, and the slots must count that load.
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

// unsettled reports whether a command of unknown effect can still take effect. An engine that checks fencing tokens refuses
// it once it took a later one.
func (r *loadRun) mayTakeEffect() bool {
	return !r.delayPassed() && !(r.lastCommand.fences && r.accepted)
}

// loading reports whether the endpoint serves nothing because of a command of unknown effect.
func (r *loadRun) mayBeLoading() bool {
	w, found := findEndpoint(r.c.desiredStates(), r.lease.endpoint)
	return found && !r.uncertainAt.IsZero() && w.endpoint.Version == "" && time.Now().Before(r.deadline)
}

func (r *loadRun) delayPassed() bool {
	return r.uncertainAt.IsZero() || time.Since(r.uncertainAt) >= MaxCommandDelay
}

// desire sends one command. It ends with the lease at the latest.
func (c *Controller) desire(ctx context.Context, l lease, w desiredState) error {
	ctx, cancel := context.WithDeadline(ctx, l.until)
	defer cancel()
	err := c.opts.Engines.Desire(ctx, w.endpoint, l.fence, w.version, w.adapters, w.role)
	return errors.Wrapf(err, "command to %s", w.endpoint.ID)
}
