package share

import (
	"math"
	"slices"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/bucket"
)

// lender holds the accounts of the teams whose home this instance is. Its lock is taken after that of a shard.
type lender struct {
	mu       sync.Mutex
	accounts map[qm.TeamID]*account
}

// account is the leasable part of one team's limits.
type account struct {
	pools [numPools]pool
	// slotLeases are the concurrency slots lent to other instances; ownSlots is the number that this instance uses above
	// its floor.
	slotLeases map[qm.InstanceID]slotLease
	ownSlots   int
	// lastAccess is the time of the last access as home.
	lastAccess time.Duration
}

// pool is the token bucket of one dimension and the loans from it. Level and loans together never exceed the burst.
type pool struct {
	bucket bucket.Bucket
	loans  []lentLoan
	// limited reports whether the dimension was limited at the last access.
	limited bool
	// granted is the number of units of a quota that were granted and may still be returned.
	granted float64
	// denied counts the units of a quota that were denied lately, as of deniedAt.
	denied   float64
	deniedAt time.Duration
}

// lentLoan is a number of units that another instance may spend until they expire. The home does not know how many of
// them are spent.
type lentLoan struct {
	to      qm.InstanceID
	units   float64
	expires time.Duration
}

// slotLease is a number of concurrency slots lent to another instance.
type slotLease struct {
	slots   int
	expires time.Duration
}

// accountFor returns the account of a team, refreshed to now; this instance has been the team's home since the given time
// and runs inUse requests of the team itself. The caller holds mu.
func (l *lender) accountFor(team qm.TeamID, p *split, since, now time.Duration, inUse int) *account {
	a := l.accounts[team]
	if a == nil || a.lastAccess < since {
		// The account is new, or another instance was home since its last access and used the refill of that time.
		a = &account{slotLeases: map[qm.InstanceID]slotLease{}}
		for d, q := range p.dims {
			flowed := math.Max(0, (now-since-leaseOf(d)).Seconds()) * q.homeRate
			a.pools[d].bucket, a.pools[d].limited = bucket.New(now, q.homeRate, q.homeBurst, flowed), q.limited
		}
		l.accounts[team] = a
	}
	a.lastAccess = now
	a.ownSlots = max(0, inUse-p.floorSlots)
	a.refresh(p, now)
	for d := range a.pools {
		if now < since+leaseOf(d) {
			// Loans of an earlier home may still be spent, so that the bucket must not fill yet.
			a.pools[d].bucket.Clear(now)
		}
	}
	return a
}

// refresh drops expired loans and slots and applies the current limits.
func (a *account) refresh(p *split, now time.Duration) {
	for d := range a.pools {
		if q := p.dims[d]; d >= numRateDims && q.limited && !a.pools[d].limited {
			// The unit of the quota has changed, or it is new. Nothing of it is used.
			a.pools[d].bucket = bucket.New(now, q.homeRate, q.homeBurst, q.homeBurst)
		}
		a.pools[d].limited = p.dims[d].limited
		a.pools[d].refresh(p.dims[d], now)
	}
	for i, h := range a.slotLeases {
		if h.expires <= now {
			delete(a.slotLeases, i)
		}
	}
}

func (pl *pool) refresh(q rateSplit, now time.Duration) {
	pl.loans = slices.DeleteFunc(pl.loans, func(x lentLoan) bool { return x.expires <= now })
	lent := 0.0
	for _, x := range pl.loans {
		lent += x.units
	}
	pl.bucket.Set(now, q.homeRate, math.Max(0, q.homeBurst-lent))
}

// lend lends up to want units of a dimension and returns the number lent.
func (a *account) lend(d int, to qm.InstanceID, want float64, p *split, now time.Duration) float64 {
	pl := &a.pools[d]
	give := math.Min(want, pl.bucket.Level(now))
	if d == dimRequests {
		give = math.Floor(give)
	}
	if give <= 0 || !pl.bucket.Take(now, give) {
		return 0
	}
	pl.loans = append(pl.loans, lentLoan{to, give, now + qm.LeaseTime})
	pl.refresh(p.dims[d], now)
	return give
}

// acceptReturn takes back unspent units. Units of expired loans are not taken back, because they were counted as lost.
// Reservations of output tokens outlive loans, so that their unused part is taken back up to the burst.
func (a *account) acceptReturn(d int, from qm.InstanceID, units float64, p *split, now time.Duration) {
	pl := &a.pools[d]
	returned := 0.0
	for i := len(pl.loans) - 1; i >= 0 && returned < units; i-- {
		if x := &pl.loans[i]; x.to == from {
			n := math.Min(x.units, units-returned)
			x.units -= n
			returned += n
		}
	}
	pl.loans = slices.DeleteFunc(pl.loans, func(x lentLoan) bool { return x.units <= 0 })
	pl.refresh(p.dims[d], now)
	if d == dimOutput {
		returned = units
	}
	pl.bucket.Refund(now, returned)
}

// freeSlots returns the number of leasable concurrency slots that no instance other than to holds.
func (a *account) freeSlots(p *split, to qm.InstanceID, self qm.InstanceID) int {
	n := p.homeSlots
	for i, h := range a.slotLeases {
		if i != to {
			n -= h.slots
		}
	}
	if to != self {
		n -= a.ownSlots
	}
	return max(0, n)
}

// leaseSlots sets the slots leased to an instance to want, or to fewer if fewer are free, and returns their number. The
// requests inUse always count, and no slot above them is lent if mayLend is false.
func (a *account) leaseSlots(to, self qm.InstanceID, want, inUse int, mayLend bool, p *split, now time.Duration) int {
	n := 0
	if mayLend {
		n = min(want, a.freeSlots(p, to, self))
	}
	n = max(n, inUse)
	if n <= 0 {
		delete(a.slotLeases, to)
		return 0
	}
	a.slotLeases[to] = slotLease{n, now + qm.LeaseTime}
	return n
}

// evictIdle drops the accounts that accountFor would create again with the same state.
func (l *lender) evictIdle(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, a := range l.accounts {
		if now-a.lastAccess < evictAfter+qm.LeaseTime || a.ownSlots > 0 {
			continue
		}
		full := true
		for d := range a.pools {
			full = full && a.pools[d].bucket.Full(now)
		}
		if full {
			delete(l.accounts, id)
		}
	}
}
