// Package duty decides whether this router may act as the only holder of a duty.
//
// The arbiter is the platform: it names one holder at a time, but a holder learns of its loss only when it asks again. So a holder
// acts only for a time after it last asked, less than the platform waits before it names another, and a new holder waits until every
// act of the one before has arrived. All times are those of a clock that goes on while the machine is suspended; with one that stops,
// a router that was suspended would wake up believing that its time has not passed.
package duty

import (
	"sync"
	"time"
)

// Options are the times of a duty.
type Options struct {
	// Validity is how long after a renewal was sent the holder may act. It is shorter than the time after which the platform names
	// another holder.
	Validity time.Duration
	// Settle is how long a new holder waits before it acts.
	SettleTime time.Duration
}

// Duty is the state of one duty at this router. It is safe for concurrent use.
type Duty struct {
	opts Options

	mu   sync.Mutex
	held bool
	// fence is the platform's number for the term of the holder; a later term has a higher one.
	fence int64
	// sent is when the last renewal that named this router was sent, since when the duty is held without a break.
	renewedAt, heldSince time.Duration
	// refused is the highest fence that was refused because another holder has a higher one.
	refusedFence int64
}

// New returns a duty that is not held.
func New(opts Options) *Duty { return &Duty{opts: opts} }

// RecordRenewal takes the platform's answer to a renewal that was sent at a time and answered at another. It reports whether the duty was
// taken or lost by it.
func (d *Duty) RecordRenewal(sent, answered time.Duration, fence int64, holds bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := holds != d.held
	if holds && (!d.held || sent > d.renewedAt+d.opts.Validity) {
		// A holder that did not renew in time may have been replaced in between.
		d.heldSince = answered
	}
	d.held, d.fence = holds, max(fence, d.fence)
	if holds {
		d.renewedAt = sent
	}
	return changed
}

// RecordRefusal tells that an act with a fence was refused because another holder has a higher one.
func (d *Duty) RecordRefusal(fence int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusedFence = max(d.refusedFence, fence)
}

// MayAct returns the fence to act with, and false if this router must not act now. Call it right before each act.
func (d *Duty) MayAct(now time.Duration) (fence int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ok = d.held && d.fence > d.refusedFence && now < d.renewedAt+d.opts.Validity && now >= d.heldSince+d.opts.SettleTime
	return d.fence, ok
}
