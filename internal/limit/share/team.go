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
	limits qm.Limits
	slots  int
	plans  plans
	role   role
	dims   [rated]dim
	// slotsHeld are concurrency slots that the home lent until heldUntil.
	run       bucket.Slots
	slotsHeld int
	heldUntil time.Duration
	// missedSlot is when a request was last refused for concurrency.
	missedSlot time.Duration
	// slotsDenied is when the home last lent fewer slots than were asked for.
	slotsDenied time.Duration
	// hold is the mean time in seconds that a request takes.
	hold float64
	last time.Duration
	// flagged tells that the loop is to look at this team.
	flagged bool
}

// dim is one rated dimension of a team at this instance.
type dim struct {
	floor bucket.Bucket
	loans []spendable
	// spent counts since seen; use is its recent rate a second.
	spent, use float64
	seen       time.Duration
	// cost is that of the last request, missing that of the last one if it was refused.
	cost, missing float64
	missedAt      time.Duration
	// denied is when the home last lent less than was asked for.
	denied time.Duration
	// unused is reserved units that were not used, to be given back to the home.
	unused float64
}

// spendable is a loan at its borrower.
type spendable struct {
	units          float64
	taken, expires time.Duration
}

// plan brings the division of the limits up to date. A change is in force at once.
func (t *team) plan(limits qm.Limits, slots int, fraction float64, now time.Duration) {
	fresh := t.slots == 0
	if !fresh && t.limits == limits && t.slots == slots {
		return
	}
	t.limits, t.slots = limits, slots
	t.plans = divide(limits, slots, fraction)
	for d, p := range t.plans.dims {
		b := &t.dims[d].floor
		if fresh {
			// What flowed in since the start of the process, as if the team had state since then.
			*b = bucket.New(now, p.floorRate, p.floorBurst, p.floorRate*now.Seconds())
			t.dims[d].seen = now
			continue
		}
		b.Set(now, p.floorRate, p.floorBurst)
	}
}

// assume takes the role that the newest view gives to this instance. Slots of another home are lost.
func (t *team) assume(r role) {
	if t.role.known != r.known || t.role.home.Instance != r.home.Instance {
		t.slotsHeld = 0
	}
	t.role = r
}

// lent returns the borrowed units that are left.
func (d *dim) lent(now time.Duration) float64 {
	d.loans = slices.DeleteFunc(d.loans, func(s spendable) bool { return s.expires <= now || s.units <= 0 })
	return d.lasting(now)
}

// lasting returns the borrowed units that can still be spent at a time.
func (d *dim) lasting(at time.Duration) float64 {
	sum := 0.0
	for _, s := range d.loans {
		if s.expires > at {
			sum += s.units
		}
	}
	return sum
}

// spend takes n from the loans, oldest first, and returns what they did not cover.
func (d *dim) spend(n float64) float64 {
	for i := range d.loans {
		x := math.Min(n, d.loans[i].units)
		d.loans[i].units -= x
		n -= x
	}
	return n
}

// observe brings the recent use up to date.
func (d *dim) observe(now time.Duration) {
	dt := now - d.seen
	if dt < tick/5 {
		return
	}
	w := 1 - math.Exp(-dt.Seconds()/smooth.Seconds())
	// Reserves that are given back can make spent negative.
	d.use += w * (math.Max(0, d.spent)/dt.Seconds() - d.use)
	d.spent, d.seen = 0, now
}

// short reports whether the units left are too few for the next while.
func (d *dim) short(left float64, rtt time.Duration) bool {
	return left < d.cost+d.use*(low+rtt*3/2).Seconds()
}

// idle reports whether forgetting the team loses nothing.
func (t *team) idle(now time.Duration) bool {
	if t.run.Used() > 0 || now-t.last < idleAfter || t.slotsHeld > 0 && now < t.heldUntil {
		return false
	}
	for d := range t.dims {
		if t.dims[d].lent(now) > 0 || !t.dims[d].floor.Full(now) {
			return false
		}
	}
	return true
}
