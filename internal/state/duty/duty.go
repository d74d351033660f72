// Package duty tracks whether this router may act as the only holder of a leadership lease with a fencing token.
//
// The platform grants the lease to one holder at a time, but a holder learns that it has lost the lease only with its next
// renewal. A holder therefore acts only for a validity time after it sent its last renewal, which is shorter than the time
// after which the platform grants the lease to another holder. A new holder waits until all actions of its predecessor have
// arrived. All times must come from a clock that advances while the machine is suspended. Otherwise a router would act after
// a suspension although its lease has expired.
package duty

import (
	"sync"
	"time"
)

// Options configures a Lease.
type Options struct {
	// Validity is how long the holder may act after it sent a renewal. It must be shorter than the time after which the
	// platform grants the lease to another holder.
	Validity time.Duration
	// SettleTime is how long a new holder waits before it acts.
	SettleTime time.Duration
}

// Lease is the state of the lease on this router. It is safe for concurrent use.
type Lease struct {
	opts Options

	mu   sync.Mutex
	held bool
	// fence is the platform's number of the holder's term. It increases with each term and is the fencing token of actions.
	fence int64
	// renewedAt is when the last renewal that confirmed this router as the holder was sent, and heldSince when the platform
	// answered the first renewal of the current uninterrupted time as the holder.
	renewedAt, heldSince time.Duration
	// refusedFence is the highest fencing token with which an action was refused because a later holder has used a higher one.
	refusedFence int64
}

// New returns a lease that is not held.
func New(opts Options) *Lease { return &Lease{opts: opts} }

// RecordRenewal records the platform's answer to a renewal: the times at which the renewal was sent and answered, the fencing
// token, and whether this router holds the lease. It reports whether this router gained or lost the lease.
func (l *Lease) RecordRenewal(sent, answered time.Duration, fence int64, holds bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := holds != l.held
	if holds && (!l.held || sent > l.renewedAt+l.opts.Validity) {
		// Another router may have held the lease between two renewals that are more than Validity apart.
		l.heldSince = answered
	}
	l.held, l.fence = holds, max(fence, l.fence)
	if holds {
		l.renewedAt = sent
	}
	return changed
}

// RecordRefusal records that an action with a fencing token was refused because a later holder has used a higher one.
func (l *Lease) RecordRefusal(fence int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedFence = max(l.refusedFence, fence)
}

// MayAct returns the fencing token for an action, and false if this router must not act at time now. It must be called immediately
// before each action.
func (l *Lease) MayAct(now time.Duration) (fence int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok = l.held && l.fence > l.refusedFence && now < l.renewedAt+l.opts.Validity && now >= l.heldSince+l.opts.SettleTime
	return l.fence, ok
}
