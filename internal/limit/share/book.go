package share

import (
	"math"
	"slices"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/bucket"
)

// book is what this instance lends as the home of teams. Its lock is taken after that of a shard.
type book struct {
	mu       sync.Mutex
	accounts map[qm.TeamID]*account
}

// account is the leasable part of one team's limits.
type account struct {
	pools [rated]pool
	// holders are the concurrency slots of other instances, selfUse those that this one uses beyond its floor.
	holders map[qm.InstanceID]holding
	selfUse int
	// last is the time of the last access as home.
	last time.Duration
}

// pool is the bucket of one dimension and its loans. Level and loans together never exceed the burst.
type pool struct {
	bucket bucket.Bucket
	loans  []loan
}

// loan is what one instance may spend until a time. What it has spent is not known here.
type loan struct {
	to      qm.InstanceID
	units   float64
	expires time.Duration
}

type holding struct {
	slots   int
	expires time.Duration
}

// open returns the account of a team whose home this instance is since a time, brought up to now. The caller holds mu.
func (b *book) open(team qm.TeamID, p *plans, since, now time.Duration, inUse int) *account {
	a := b.accounts[team]
	if a == nil || a.last < since {
		// The account is new, or another instance was home since its last use and spent what would have flowed in.
		a = &account{holders: map[qm.InstanceID]holding{}}
		for d, q := range p.dims {
			flowed := math.Max(0, (now-since-qm.LeaseTime).Seconds()) * q.homeRate
			a.pools[d].bucket = bucket.New(now, q.homeRate, q.homeBurst, flowed)
		}
		b.accounts[team] = a
	}
	a.last = now
	a.selfUse = max(0, inUse-p.floorSlots)
	a.settle(p, now)
	if now < since+qm.LeaseTime {
		// Loans of another home may still be spent, so that nothing may flow in beside them yet.
		for d := range a.pools {
			a.pools[d].bucket.Empty(now)
		}
	}
	return a
}

// settle drops what has expired and applies the limits in force.
func (a *account) settle(p *plans, now time.Duration) {
	for d := range a.pools {
		a.pools[d].settle(p.dims[d], now)
	}
	for i, h := range a.holders {
		if h.expires <= now {
			delete(a.holders, i)
		}
	}
}

func (l *pool) settle(q plan, now time.Duration) {
	l.loans = slices.DeleteFunc(l.loans, func(x loan) bool { return x.expires <= now })
	lent := 0.0
	for _, x := range l.loans {
		lent += x.units
	}
	l.bucket.Set(now, q.homeRate, math.Max(0, q.homeBurst-lent))
}

// lend lends at most want units of a dimension.
func (a *account) lend(d int, to qm.InstanceID, want float64, p *plans, now time.Duration) float64 {
	l := &a.pools[d]
	give := math.Min(want, l.bucket.Level(now))
	if d == requests {
		give = math.Floor(give)
	}
	if give <= 0 || !l.bucket.Take(now, give) {
		return 0
	}
	l.loans = append(l.loans, loan{to, give, now + qm.LeaseTime})
	l.settle(p.dims[d], now)
	return give
}

// giveBack takes unspent units. Those of loans that ended are not taken, because they were counted as lost; reserves of
// output tokens outlive loans and are taken up to the burst.
func (a *account) giveBack(d int, from qm.InstanceID, units float64, p *plans, now time.Duration) {
	l := &a.pools[d]
	open := 0.0
	for i := len(l.loans) - 1; i >= 0 && open < units; i-- {
		if x := &l.loans[i]; x.to == from {
			n := math.Min(x.units, units-open)
			x.units -= n
			open += n
		}
	}
	l.loans = slices.DeleteFunc(l.loans, func(x loan) bool { return x.units <= 0 })
	l.settle(p.dims[d], now)
	if d == output {
		open = units
	}
	l.bucket.Give(now, open)
}

// free is the number of concurrency slots that nobody but to holds.
func (a *account) free(p *plans, to qm.InstanceID, self qm.InstanceID) int {
	n := p.homeSlots
	for i, h := range a.holders {
		if i != to {
			n -= h.slots
		}
	}
	if to != self {
		n -= a.selfUse
	}
	return max(0, n)
}

// hold sets the slots of an instance to want, or fewer if there are not as many. Running requests always count, and
// nothing beyond them is lent if lending is false.
func (a *account) hold(to, self qm.InstanceID, want, inUse int, lending bool, p *plans, now time.Duration) int {
	n := 0
	if lending {
		n = min(want, a.free(p, to, self))
	}
	n = max(n, inUse)
	if n <= 0 {
		delete(a.holders, to)
		return 0
	}
	a.holders[to] = holding{n, now + qm.LeaseTime}
	return n
}

// forget drops the accounts that would be the same if they were opened again.
func (b *book) forget(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, a := range b.accounts {
		if now-a.last < idleAfter+qm.LeaseTime || a.selfUse > 0 {
			continue
		}
		full := true
		for d := range a.pools {
			full = full && a.pools[d].bucket.Full(now)
		}
		if full {
			delete(b.accounts, id)
		}
	}
}
