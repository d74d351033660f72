package share

import (
	"math"
	"slices"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/bucket"
)

// team is the state of a team that sends requests through this instance.
type team struct {
	limits    qm.Limits
	instances int
	split     split
	role      role
	dims      [numRateDims]rateState
	running   bucket.Slots
	// slotsHeld is the number of concurrency slots that the home lent until heldUntil.
	slotsHeld int
	heldUntil time.Duration
	// slotRefusedAt is when a request was last refused for concurrency.
	slotRefusedAt time.Duration
	// slotsDeniedAt is when the home last lent fewer slots than requested.
	slotsDeniedAt time.Duration
	// meanSeconds is the exponential average of the duration of a request, in seconds.
	meanSeconds float64
	lastRequest time.Duration
	// borrowPending reports that the loop should check whether this team needs to borrow.
	borrowPending bool
}

// rateState is the state of one rate dimension of a team at this instance.
type rateState struct {
	floor bucket.Bucket
	loans []borrowedLoan
	// spent is the number of units spent since observedAt; useRate is the recent use in units a second.
	spent, useRate float64
	observedAt     time.Duration
	// lastCost is the cost of the last request; refusedCost is the same if that request was refused, else 0.
	lastCost, refusedCost float64
	refusedAt             time.Duration
	// deniedAt is when the home last lent fewer units than requested.
	deniedAt time.Duration
	// unusedReserve is the number of reserved units that were not used and are to be returned to the home.
	unusedReserve float64
}

// borrowedLoan is a loan at its borrower.
type borrowedLoan struct {
	units                float64
	requestedAt, expires time.Duration
}

// updateSplit divides the limits again if they or the number of instances changed. A change takes effect at once.
func (tm *team) updateSplit(limits qm.Limits, instances int, fraction float64, now time.Duration) {
	fresh := tm.instances == 0
	if !fresh && tm.limits == limits && tm.instances == instances {
		return
	}
	tm.limits, tm.instances = limits, instances
	tm.split = splitLimits(limits, instances, fraction)
	for d, p := range tm.split.dims[:numRateDims] {
		b := &tm.dims[d].floor
		if fresh {
			// The level is that of a bucket that was created empty at the start of the process.
			*b = bucket.New(now, p.floorRate, p.floorBurst, p.floorRate*now.Seconds())
			tm.dims[d].observedAt = now
			continue
		}
		b.Set(now, p.floorRate, p.floorBurst)
	}
}

// setRole sets the role according to the newest view. Slots lent by another home are dropped.
func (tm *team) setRole(r role) {
	if tm.role.known != r.known || tm.role.home.Instance != r.home.Instance {
		tm.slotsHeld = 0
	}
	tm.role = r
}

// borrowed drops the loans that are spent or expired and returns the borrowed units that are left.
func (r *rateState) borrowed(now time.Duration) float64 {
	r.loans = slices.DeleteFunc(r.loans, func(s borrowedLoan) bool { return s.expires <= now || s.units <= 0 })
	return r.validAt(now)
}

// validAt returns the borrowed units that can still be spent at the given time.
func (r *rateState) validAt(at time.Duration) float64 {
	sum := 0.0
	for _, s := range r.loans {
		if s.expires > at {
			sum += s.units
		}
	}
	return sum
}

// spend takes n units from the loans, oldest first, and returns the units that they did not cover.
func (r *rateState) spend(n float64) float64 {
	for i := range r.loans {
		x := math.Min(n, r.loans[i].units)
		r.loans[i].units -= x
		n -= x
	}
	return n
}

// updateUseRate adds the units spent since the last update to the average of recent use. Calls within a fifth of a tick have
// no effect.
func (r *rateState) updateUseRate(now time.Duration) {
	dt := now - r.observedAt
	if dt < tickPeriod/5 {
		return
	}
	weight := 1 - math.Exp(-dt.Seconds()/useRateTimeConstant.Seconds())
	// Returned reservations can make spent negative.
	r.useRate += weight * (math.Max(0, r.spent)/dt.Seconds() - r.useRate)
	r.spent, r.observedAt = 0, now
}

// runningLow reports whether the units left are too few for one more request and the recent use during borrowThreshold and
// 1.5 round trips.
func (r *rateState) runningLow(left float64, rtt time.Duration) bool {
	return left < r.lastCost+r.useRate*(borrowThreshold+rtt*3/2).Seconds()
}

// evictable reports whether the state of the team can be dropped without loss.
func (tm *team) evictable(now time.Duration) bool {
	if tm.running.Used() > 0 || now-tm.lastRequest < evictAfter || tm.slotsHeld > 0 && now < tm.heldUntil {
		return false
	}
	for d := range tm.dims {
		if tm.dims[d].borrowed(now) > 0 || !tm.dims[d].floor.Full(now) {
			return false
		}
	}
	return true
}
