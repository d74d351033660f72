package share

import (
	"context"
	"math"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// homeState is the state of the exchange with another instance that is a home.
type homeState struct {
	// busy reports whether a message is in flight, failed whether the last one failed.
	busy   bool
	failed bool
	// nextMessage is the earliest time for the next message.
	nextMessage time.Duration
	rtt         time.Duration
}

// batch is one message to a home.
type batch struct {
	home qm.Member
	req  *peerpb.BorrowRequest
	// mustSend reports whether the message has more than small returns.
	mustSend bool
	// idleRefresh reports whether the message may be sent only to refresh the loans of idle teams. It is valid once
	// idleRefreshChecked is set.
	idleRefresh, idleRefreshChecked bool
}

// homeState returns the state of a home. The caller holds homesMu.
func (l *Limiter) homeState(id qm.InstanceID) *homeState {
	h := l.homes[id]
	if h == nil {
		h = &homeState{}
		l.homes[id] = h
	}
	return h
}

// rtt returns the last measured round trip to the home, or 0 if this instance is the home or no home is known.
func (l *Limiter) rtt(r role) time.Duration {
	if !r.known || r.self {
		return 0
	}
	l.homesMu.Lock()
	defer l.homesMu.Unlock()
	if h := l.homes[r.home.Instance]; h != nil {
		return h.rtt
	}
	return 0
}

// reachable reports whether another instance is home and the last message to it did not fail.
func (l *Limiter) reachable(r role) bool {
	if !r.known || r.home.Instance == l.opts.Self {
		return false
	}
	l.homesMu.Lock()
	defer l.homesMu.Unlock()
	h := l.homes[r.home.Instance]
	return h == nil || !h.failed
}

// borrow sends one message to each home from which teams need units. With all, it checks every team and evicts idle ones;
// otherwise it checks only the teams with a pending borrow.
func (l *Limiter) borrow(ctx context.Context, all bool) {
	now, batches := l.now(), map[qm.InstanceID]*batch{}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for id, tm := range s.teams {
			if all && tm.evictable(now) {
				delete(s.teams, id)
			} else if all || tm.borrowPending {
				l.addNeeds(id, tm, batches, now)
			}
		}
		s.mu.Unlock()
	}
	for _, b := range batches {
		if b.mustSend {
			l.wg.Go(func() { l.sendBatch(ctx, b) })
		}
	}
}

// addNeeds adds the needs of a team to the message for its home. If a message to the home is in flight or was just
// answered, the team waits for the next tick. The caller holds the lock of the shard.
func (l *Limiter) addNeeds(id qm.TeamID, tm *team, batches map[qm.InstanceID]*batch, now time.Duration) {
	if v := l.views.now(); v.seq != tm.role.seq {
		tm.setRole(l.views.role(id, l.opts.Self))
	}
	r := tm.role
	if !r.known || r.home.Instance == l.opts.Self {
		tm.borrowPending = false
		return
	}
	l.homesMu.Lock()
	h := l.homeState(r.home.Instance)
	skip, rtt := h.busy || now < h.nextMessage, h.rtt
	l.homesMu.Unlock()
	if skip {
		return
	}
	tm.borrowPending = false
	b := batches[r.home.Instance]
	if b == nil {
		b = &batch{home: r.home, req: &peerpb.BorrowRequest{
			Instance: string(l.opts.Self), Incarnation: string(l.opts.Incarnation),
		}}
		batches[r.home.Instance] = b
	}
	for d := range tm.dims {
		if tm.split.dims[d].limited {
			x := &tm.dims[d]
			x.updateUseRate(now)
			if want := x.unitsToBorrow(tm.split.dims[d], now, now-tm.lastRequest, rtt, func() bool { return l.allowIdleRefresh(b) }); want > 0 {
				b.mustSend = true
				b.req.Wants = append(b.req.Wants, &peerpb.BorrowItem{Team: string(id), Dimension: dimNames[d], Units: want})
			}
			x.returnUnused(b, id, dimNames[d], tm.split.dims[d], now)
		}
	}
	tm.requestSlots(b, id, now)
}

// allowIdleRefresh reports whether a message may carry refreshes of the loans of idle teams. A batch is charged to the rate
// limit at most once, and not if it is sent anyway.
func (l *Limiter) allowIdleRefresh(b *batch) bool {
	if !b.idleRefreshChecked {
		b.idleRefreshChecked, b.idleRefresh = true, b.mustSend || l.idleRefresh.Allow()
	}
	return b.idleRefresh
}

// unitsToBorrow returns the units of one dimension to borrow. idleRefresh is called before a loan of an idle team is
// refreshed.
func (r *rateState) unitsToBorrow(p rateSplit, now, sinceRequest, rtt time.Duration, idleRefresh func() bool) float64 {
	floor, borrowed := r.floor.Level(now), r.borrowed(now)
	if r.refusedCost > 0 && now-r.refusedAt < demandTime {
		return boundUnits(math.Max(r.refusedCost, r.lastCost)+r.useRate*(loanHorizon+2*rtt).Seconds()-borrowed-floor, p, borrowed)
	}
	left := r.validAt(now+renewBefore+rtt) + floor
	if sinceRequest <= demandTime {
		if !r.runningLow(left, rtt) {
			return 0
		}
		return boundUnits(r.lastCost+r.useRate*(loanHorizon+2*rtt).Seconds()-left, p, borrowed)
	}
	if sinceRequest > idleRefreshTime || left >= r.lastCost || r.lastCost > p.homeBurst*idleRefreshMaxFraction || !idleRefresh() {
		return 0
	}
	return boundUnits(r.lastCost, p, 0)
}

// boundUnits rounds units up and limits them to what the home can lend at once.
func boundUnits(units float64, p rateSplit, borrowed float64) float64 {
	return math.Max(0, math.Ceil(math.Min(units, p.homeBurst-borrowed)))
}

// returnUnused adds the returns of one dimension to a message: loans that are older than returnAfter and that the recent use
// would not spend before they expire, and reserved units that were not used.
func (r *rateState) returnUnused(b *batch, id qm.TeamID, name string, p rateSplit, now time.Duration) {
	units := r.unusedReserve
	var unspent []*borrowedLoan
	for i := range r.loans {
		if s := &r.loans[i]; now-s.requestedAt >= returnAfter && r.useRate*(s.expires-now).Seconds() < s.units {
			units += s.units
			unspent = append(unspent, s)
		}
	}
	// Units that are too few for a message of their own stay here until there is one.
	b.mustSend = b.mustSend || units > 0 && units >= p.homeBurst*minReturnFraction
	if units <= 0 || !b.mustSend {
		return
	}
	for _, s := range unspent {
		s.units = 0
	}
	r.unusedReserve = 0
	b.req.Returns = append(b.req.Returns, &peerpb.BorrowItem{Team: string(id), Dimension: name, Units: units})
}

// requestSlots adds the request for concurrency slots to a message: it renews slots, requests more before they are used up
// and returns all of them once none is needed.
func (tm *team) requestSlots(b *batch, id qm.TeamID, now time.Duration) {
	if !tm.split.concurrencyLimited {
		return
	}
	aboveFloor := max(0, tm.running.Used()-tm.split.floorSlots)
	want := 0
	if aboveFloor > 0 || tm.slotRefusedAt > 0 && now-tm.slotRefusedAt < demandTime || tm.running.Used() > 0 && tm.running.Used() >= tm.split.floorSlots {
		// A quarter more than are in use, so that a rising load finds free slots.
		want = aboveFloor + 1 + aboveFloor/4
	}
	valid := now < tm.heldUntil
	held := tm.slotsHeld
	if !valid {
		held = 0
	}
	renew := valid && held > 0 && tm.heldUntil-now < qm.LeaseTime/2
	if want > held || renew && want > 0 || held > 0 && want == 0 {
		b.mustSend = true
		b.req.Wants = append(b.req.Wants, &peerpb.BorrowItem{
			Team: string(id), Dimension: concurrency, Units: float64(want), InUse: float64(aboveFloor),
		})
	}
}

// sendBatch sends a message to a home and applies the grants in its answer.
func (l *Limiter) sendBatch(ctx context.Context, b *batch) {
	l.homesMu.Lock()
	h := l.homeState(b.home.Instance)
	if h.busy {
		l.homesMu.Unlock()
		return
	}
	h.busy = true
	l.homesMu.Unlock()
	cctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	sent := l.now()
	resp, err := l.opts.Borrow(cctx, b.home, b.req)
	took := l.now() - sent
	l.homesMu.Lock()
	h.busy, h.failed, h.nextMessage = false, err != nil, sent+took+minMessageInterval
	if err == nil {
		h.rtt = took
	}
	l.homesMu.Unlock()
	if err != nil || len(resp.GetGranted()) != len(b.req.GetWants()) {
		return
	}
	until := sent + min(qm.LeaseTime, time.Duration(resp.GetLeaseMs())*time.Millisecond)
	for i, g := range resp.GetGranted() {
		l.applyGrant(b.req.GetWants()[i], g.GetUnits(), b.home.Instance, sent, until)
	}
	l.answered.Store(until)
}

// applyGrant adds one item that a home lent to the state of its team.
func (l *Limiter) applyGrant(want *peerpb.BorrowItem, units float64, from qm.InstanceID, sent, until time.Duration) {
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
			tm.slotsDeniedAt = l.now()
		}
		return
	}
	for d := range tm.dims {
		if dimNames[d] != want.GetDimension() {
			continue
		}
		if units > 0 {
			tm.dims[d].loans = append(tm.dims[d].loans, borrowedLoan{math.Min(units, want.GetUnits()), sent, until})
		}
		if units < want.GetUnits() {
			tm.dims[d].deniedAt = l.now()
		}
	}
}
