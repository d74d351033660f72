// Package duty tracks whether this router may act as the only holder of a duty, which is a leadership lease with a fencing
// token.
//
// The platform grants the duty to one holder at a time, but a holder learns that it has lost the duty only with its next
// renewal. A holder therefore acts only for a validity time after it sent its last renewal, which is shorter than the time
// after which the platform names another holder. A new holder waits until all actions of its predecessor have arrived. All
// times must come from a clock that advances while the machine is suspended. Otherwise a router would act after a
// suspension although its lease has expired.
package duty

import (
	"sync"
	"time"
)

// Options configures a Duty.
type Options struct {
	// Validity is how long the holder may act after it sent a renewal. It must be shorter than the time after which the
	// platform names another holder.
	Validity time.Duration
	// SettleTime is how long a new holder waits before it acts.
	SettleTime time.Duration
}

// Duty is the state of a duty on this router. It is safe for concurrent use.
type Duty struct {
	opts Options

	mu   sync.Mutex
	held bool
	// fence is the platform's number of the holder's term. It increases with each term and is the fencing token of actions.
	fence int64
	// renewedAt is when the last renewal that confirmed this router as the holder was sent, and heldSince when the platform
	// answered the first renewal of the current uninterrupted time as the holder.
	renewedAt, heldSince time.Duration
	// refusedFence is the highest fence with which an action was refused because a later holder has used a higher one.
	refusedFence int64
}

// New returns a duty that is not held.
func New(opts Options) *Duty { return &Duty{opts: opts} }

// RecordRenewal records the platform's answer to a renewal with the times at which the renewal was sent and answered. It
// reports whether this router gained or lost the duty.
func (d *Duty) RecordRenewal(sent, answered time.Duration, fence int64, holds bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := holds != d.held
	if holds && (!d.held || sent > d.renewedAt+d.opts.Validity) {
		// Another router may have held the duty between two renewals that are more than Validity apart.
		d.heldSince = answered
	}
	d.held, d.fence = holds, max(fence, d.fence)
	if holds {
		d.renewedAt = sent
	}
	return changed
}

// RecordRefusal records that an action with a fence was refused because a later holder has used a higher one.
func (d *Duty) RecordRefusal(fence int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusedFence = max(d.refusedFence, fence)
}

// MayAct returns the fence for an action, and false if this router must not act at time now. It must be called immediately
// before each action.
func (d *Duty) MayAct(now time.Duration) (fence int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ok = d.held && d.fence > d.refusedFence && now < d.renewedAt+d.opts.Validity && now >= d.heldSince+d.opts.SettleTime
	return d.fence, ok
}
