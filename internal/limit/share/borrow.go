package share

import (
	"context"
	"math"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// link is what is known of a home instance as a lender.
type link struct {
	busy   bool
	failed bool
	// after is the time before which no other message is sent.
	after time.Duration
	rtt   time.Duration
}

// batch is one message to a home.
type batch struct {
	home qm.Member
	req  *peerpb.BorrowRequest
	// urgent tells that the message has more than small returns.
	urgent bool
	// warm tells that the message may be sent only to keep loans of quiet teams, once asked is set.
	warm, asked bool
}

func (l *Limiter) link(id qm.InstanceID) *link {
	k := l.homes[id]
	if k == nil {
		k = &link{}
		l.homes[id] = k
	}
	return k
}

func (l *Limiter) rtt(r role) time.Duration {
	if !r.known || r.self {
		return 0
	}
	l.homesMu.Lock()
	defer l.homesMu.Unlock()
	if k := l.homes[r.home.Instance]; k != nil {
		return k.rtt
	}
	return 0
}

// reachable reports whether another instance is home and its last answer came.
func (l *Limiter) reachable(r role) bool {
	if !r.known || r.home.Instance == l.opts.Self {
		return false
	}
	l.homesMu.Lock()
	defer l.homesMu.Unlock()
	k := l.homes[r.home.Instance]
	return k == nil || !k.failed
}

// borrow sends one message to each home of which teams need something. all tells to look at every team, not only at those
// that are flagged.
func (l *Limiter) borrow(ctx context.Context, all bool) {
	now, batches := l.now(), map[qm.InstanceID]*batch{}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for id, tm := range s.teams {
			if all && tm.idle(now) {
				delete(s.teams, id)
			} else if all || tm.flagged {
				l.collect(id, tm, batches, now)
			}
		}
		s.mu.Unlock()
	}
	for _, b := range batches {
		if b.urgent {
			l.wg.Go(func() { l.send(ctx, b) })
		}
	}
}

// collect adds the needs of a team to the message for its home. If a message to the home is under way or was just answered, the team
// waits for the next tick.
// The caller holds the shard.
func (l *Limiter) collect(id qm.TeamID, tm *team, batches map[qm.InstanceID]*batch, now time.Duration) {
	if v := l.views.now(); v.seq != tm.role.seq {
		tm.assume(l.views.role(id, l.opts.Self))
	}
	r := tm.role
	if !r.known || r.home.Instance == l.opts.Self {
		tm.flagged = false
		return
	}
	l.homesMu.Lock()
	k := l.link(r.home.Instance)
	skip, rtt := k.busy || now < k.after, k.rtt
	l.homesMu.Unlock()
	if skip {
		return
	}
	tm.flagged = false
	b := batches[r.home.Instance]
	if b == nil {
		b = &batch{home: r.home, req: &peerpb.BorrowRequest{
			Instance: string(l.opts.Self), Incarnation: string(l.opts.Incarnation),
		}}
		batches[r.home.Instance] = b
	}
	for d := range tm.dims {
		if tm.plans.dims[d].limited {
			x := &tm.dims[d]
			x.observe(now)
			if want := x.needs(tm.plans.dims[d], now, now-tm.last, rtt, func() bool { return l.keepWarm(b) }); want > 0 {
				b.urgent = true
				b.req.Wants = append(b.req.Wants, &peerpb.BorrowItem{Team: string(id), Dimension: names[d], Units: want})
			}
			x.giveUnused(b, id, names[d], tm.plans.dims[d], now)
		}
	}
	tm.askSlots(b, id, now)
}

// keepWarm reports whether a message to a home may be sent for quiet teams.
func (l *Limiter) keepWarm(b *batch) bool {
	if !b.asked {
		b.asked, b.warm = true, b.urgent || l.warm.Allow()
	}
	return b.warm
}

// needs returns the units of one dimension to borrow. warm is asked before a loan is kept for a quiet team.
func (x *dim) needs(p plan, now, quiet, rtt time.Duration, warm func() bool) float64 {
	floor, lent := x.floor.Level(now), x.lent(now)
	if x.missing > 0 && now-x.missedAt < pressing {
		return wanted(math.Max(x.missing, x.cost)+x.use*(ahead+2*rtt).Seconds()-lent-floor, p, lent)
	}
	left := x.lasting(now+renewAt+rtt) + floor
	if quiet <= pressing {
		if !x.short(left, rtt) {
			return 0
		}
		return wanted(x.cost+x.use*(ahead+2*rtt).Seconds()-left, p, lent)
	}
	if quiet > warmFor || left >= x.cost || x.cost > p.homeBurst*warmPart || !warm() {
		return 0
	}
	return wanted(x.cost, p, 0)
}

// wanted rounds units up and keeps them within what the home can lend at once.
func wanted(units float64, p plan, lent float64) float64 {
	return math.Max(0, math.Ceil(math.Min(units, p.homeBurst-lent)))
}

// giveUnused gives back loans that were not spent for a while and reserves that were not used.
func (x *dim) giveUnused(b *batch, id qm.TeamID, name string, p plan, now time.Duration) {
	back := x.unused
	for i := range x.loans {
		if s := &x.loans[i]; now-s.taken >= returnAfter && x.use*(s.expires-now).Seconds() < s.units {
			back += s.units
			s.units = 0
		}
	}
	x.unused = 0
	if back <= 0 {
		return
	}
	b.req.Returns = append(b.req.Returns, &peerpb.BorrowItem{Team: string(id), Dimension: name, Units: back})
	b.urgent = b.urgent || back >= p.homeBurst*worthReturn
}

// askSlots renews concurrency slots and asks for more before they are used up.
func (tm *team) askSlots(b *batch, id qm.TeamID, now time.Duration) {
	if !tm.plans.bounded {
		return
	}
	beyond := max(0, tm.run.Used()-tm.plans.floorSlots)
	want := 0
	if beyond > 0 || tm.missedSlot > 0 && now-tm.missedSlot < pressing || tm.run.Used() > 0 && tm.run.Used() >= tm.plans.floorSlots {
		// A quarter more than what runs, so that a rising load finds slots.
		want = beyond + 1 + beyond/4
	}
	valid := now < tm.heldUntil
	held := tm.slotsHeld
	if !valid {
		held = 0
	}
	renew := valid && held > 0 && tm.heldUntil-now < qm.LeaseTime/2
	if want > held || renew && want > 0 || held > 0 && want == 0 {
		b.urgent = true
		b.req.Wants = append(b.req.Wants, &peerpb.BorrowItem{
			Team: string(id), Dimension: concurrency, Units: float64(want), InUse: float64(beyond),
		})
	}
}

// send asks a home and takes what it lends.
func (l *Limiter) send(ctx context.Context, b *batch) {
	l.homesMu.Lock()
	k := l.link(b.home.Instance)
	if k.busy {
		l.homesMu.Unlock()
		return
	}
	k.busy = true
	l.homesMu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := l.now()
	resp, err := l.opts.Borrow(cctx, b.home, b.req)
	took := l.now() - sent
	l.homesMu.Lock()
	k.busy, k.failed, k.after = false, err != nil, sent+took+pace
	if err == nil {
		k.rtt = took
	}
	l.homesMu.Unlock()
	if err != nil || len(resp.GetGranted()) != len(b.req.GetWants()) {
		return
	}
	until := sent + min(qm.LeaseTime, time.Duration(resp.GetLeaseMs())*time.Millisecond)
	for i, g := range resp.GetGranted() {
		l.receive(b.req.GetWants()[i], g.GetUnits(), b.home.Instance, sent, until)
	}
	l.lent.Store(until)
}

// receive takes one item that a home lent.
func (l *Limiter) receive(want *peerpb.BorrowItem, units float64, from qm.InstanceID, sent, until time.Duration) {
	id := qm.TeamID(want.GetTeam())
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	tm := s.teams[id]
	if tm == nil || units < 0 {
		return
	}
	if want.GetDimension() == concurrency {
		if tm.role.home.Instance == from {
			tm.slotsHeld, tm.heldUntil = int(units), until
		}
		if units < want.GetUnits() {
			tm.slotsDenied = l.now()
		}
		return
	}
	for d := range names {
		if names[d] != want.GetDimension() {
			continue
		}
		if units > 0 {
			tm.dims[d].loans = append(tm.dims[d].loans, spendable{math.Min(units, want.GetUnits()), sent, until})
		}
		if units < want.GetUnits() {
			tm.dims[d].denied = l.now()
		}
	}
}
