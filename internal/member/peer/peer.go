// Package peer exchanges state with the other routers by a gossip protocol.
//
// In each round a router calls Fanout random members and one suspect member. Both sides send their own state, the latest
// states that they received of other routers, and hints about endpoints. Each update is passed on in a bounded number of
// messages.
//
// An update starts a round early, at most one in each Options.UpdateInterval, so that a change spreads within a few such
// intervals although regular rounds are rare. A member that fails to answer twice becomes suspect and the other routers
// are told. They pass this on at once, but call the member themselves before they treat it as suspect, because the fault may
// be in a link that only one router uses.
//
// The messages are sent over HTTP by Twirp. Without the headers that can be left out, a call takes about 300 bytes plus
// its payload; see TestBytesPerNode for the figures.
package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// Peer runs this router's side of the peer protocol. It is safe for concurrent use.
type Peer struct {
	opts   Options
	client client
	outbox outbox
	wake   chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// startExchange exchanges state with a member in the background, unless that is in progress or the Peer is closed. A member that does
	// not answer must not hold up what the others are told.
	startExchange func(qm.Member, payload)

	// callOrder holds the rest of the current permutation, the members to call next, and permuted all of its members. Only the goroutine of
	// runRounds uses them.
	callOrder []qm.InstanceID
	permuted  map[qm.InstanceID]bool

	mu sync.Mutex
	// calls holds the members that are being called.
	calls  map[qm.InstanceID]bool
	closed bool
	// version and lastState are the version and the value of the own state that was sent last.
	version   int64
	lastState *peerpb.InstanceState
}

// New returns a Peer that runs rounds until ctx is done or Close is called.
func New(ctx context.Context, o Options) *Peer {
	o.setDefaults()
	ctx, cancel := context.WithCancel(ctx)
	p := &Peer{
		opts: o, cancel: cancel, wake: make(chan struct{}, 1), outbox: outbox{maxHints: maxHints},
		client:  client{http: transport{next: o.Client, calls: new(atomic.Uint64)}, scheme: o.Scheme, timeout: o.Timeout},
		version: time.Now().UnixMilli(), permuted: map[qm.InstanceID]bool{}, calls: map[qm.InstanceID]bool{},
	}
	p.startExchange = func(m qm.Member, with payload) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.closed || p.calls[m.Instance] {
			return
		}
		p.calls[m.Instance] = true
		p.wg.Go(func() {
			p.exchangeWith(ctx, m, with)
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.calls, m.Instance)
		})
	}
	p.wg.Go(func() { p.runRounds(ctx) })
	p.wg.Go(func() { p.announceLeaving(ctx) })
	p.wg.Go(func() { p.watchTable(ctx) })
	return p
}

// Close stops the rounds and waits for calls in progress.
func (p *Peer) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.wg.Wait()
}

// TriggerRound starts the next round early because there are updates to send.
func (p *Peer) TriggerRound() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// runRounds runs rounds until ctx is done.
func (p *Peer) runRounds(ctx context.Context) {
	extra := 0
	// The first round starts after a random delay because all routers may be restarted at the same time.
	wait := rand.N(p.opts.UpdateInterval)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.wake:
			extra = roundsPerChange - 1
			if !sleep(ctx, p.opts.UpdateInterval/2+rand.N(p.opts.UpdateInterval/2)) {
				return
			}
		}
		p.round()
		wait = p.opts.RoundInterval*3/4 + rand.N(p.opts.RoundInterval/2)
		if extra > 0 {
			extra--
			wait = p.opts.UpdateInterval/2 + rand.N(p.opts.UpdateInterval)
		}
		timer.Reset(wait)
	}
}

// sleep waits for d and reports whether it passed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// round calls Fanout random members that are not suspect and one suspect member. It does not wait for their answers.
func (p *Peer) round() {
	p.queueHints()
	for _, m := range p.selectMembers() {
		with := withUpdates
		if m.State == qm.Suspect {
			with = ownStateOnly
		}
		p.startExchange(m, with)
	}
}

// queueHints moves the hints of the roster and the reports about requests to the outbox.
func (p *Peer) queueHints() {
	for _, h := range p.opts.Roster.TakeHints() {
		p.outbox.addHint(h)
	}
	if p.opts.Reports == nil {
		return
	}
	for _, r := range p.opts.Reports.TakeReports() {
		p.outbox.addReport(r)
	}
}

// selectMembers returns the members to call in a round, without those that are being called.
func (p *Peer) selectMembers() []qm.Member {
	members, _ := p.opts.Board.Members.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	var healthy, suspect []qm.Member
	for _, m := range members {
		switch {
		case m.IsSelf || m.PeerAddress == "" || p.calls[m.Instance]:
		case m.State == qm.Suspect:
			suspect = append(suspect, m)
		default:
			healthy = append(healthy, m)
		}
	}
	return append(p.nextMembers(healthy), sample(suspect, 1)...)
}

// nextMembers returns the next Fanout members of a random permutation and starts a new permutation when it ends, so that each member is
// called once in every len(healthy)/Fanout rounds. With independent random choices, a crashed router in a system of six would go unnoticed
// for 5 s in about 1 of 500 cases.
func (p *Peer) nextMembers(healthy []qm.Member) []qm.Member {
	var out []qm.Member
	for pass := 0; pass < 2 && len(out) < min(Fanout, len(healthy)); pass++ {
		if len(p.callOrder) == 0 {
			clear(p.permuted)
		}
		p.permuteNew(healthy)
		for len(p.callOrder) > 0 && len(out) < Fanout {
			id := p.callOrder[0]
			p.callOrder = p.callOrder[1:]
			matches := func(m qm.Member) bool { return m.Instance == id }
			i := slices.IndexFunc(healthy, matches)
			if i < 0 {
				// It has a place in the permutation again once it is healthy.
				delete(p.permuted, id)
			} else if !slices.ContainsFunc(out, matches) {
				out = append(out, healthy[i])
			}
		}
	}
	return out
}

// permuteNew inserts the members that the permutation lacks into the rest of it. All routers learn of a new member at about the same time, so
// that none would call it until the permutations end, which takes 100 rounds in a system of 200.
func (p *Peer) permuteNew(healthy []qm.Member) {
	for _, m := range healthy {
		if !p.permuted[m.Instance] {
			p.permuted[m.Instance] = true
			p.callOrder = slices.Insert(p.callOrder, rand.IntN(len(p.callOrder)+1), m.Instance)
		}
	}
}

// sample shuffles m in place and returns at most n of its members.
func sample(m []qm.Member, n int) []qm.Member {
	rand.Shuffle(len(m), func(i, j int) { m[i], m[j] = m[j], m[i] })
	return m[:min(n, len(m))]
}

// payload is what a call to another router carries.
type payload int

const (
	// withUpdates carries updates about others too, whose number of copies is limited.
	withUpdates payload = iota
	// ownStateOnly is for routers that may be down. Until such a call ends without an answer, copies of updates would be missing elsewhere; a
	// router that is up gets them with its own calls.
	ownStateOnly
)

// exchangeWith exchanges state with one member. If the call fails, a member that is not yet suspect is called once more before it becomes
// suspect. The second call uses a new connection because the failed one is closed.
func (p *Peer) exchangeWith(ctx context.Context, m qm.Member, with payload) {
	var sent batch
	if with == withUpdates {
		sent = p.outbox.take(map[string]bool{string(m.Instance): true})
	}
	others, hints, reports := sent.wire()
	req := &peerpb.ExchangeRequest{Self: p.ownState(), Others: others, Hints: hints, Reports: reports}
	attempts := 2
	if m.State == qm.Suspect {
		attempts = 1
	}
	var began time.Time
	for range attempts {
		began = time.Now()
		resp, err := p.client.exchange(ctx, m, req)
		if err == nil {
			p.applyMessage(resp)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	p.outbox.giveBack(sent)
	if p.opts.Roster.MarkPeerFailed(m.Instance, began) {
		p.outbox.addHint(roster.Hint{
			Endpoint: qm.EndpointID(m.Instance), Incarnation: m.Incarnation, Kind: roster.HintFailed,
		})
		p.TriggerRound()
	}
}

// ownState returns the state of this router, with a higher version if it has changed since the last call.
func (p *Peer) ownState() *peerpb.InstanceState {
	s := &peerpb.InstanceState{
		Instance: string(p.opts.Self.Instance), Incarnation: string(p.opts.Self.Incarnation), Leaving: p.opts.Board.IsLeaving(),
	}
	if p.opts.Offset != nil {
		s.TableOffset = int64(p.opts.Offset())
	} else if t, ok := p.opts.Board.Table.Load(); ok {
		s.TableOffset = int64(t.Offset)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastState != nil && (p.lastState.TableOffset != s.TableOffset || p.lastState.Leaving != s.Leaving) {
		p.version++
	}
	s.Version = p.version
	p.lastState = s
	return s
}

// message is what both sides of an exchange send.
type message interface {
	GetSelf() *peerpb.InstanceState
	GetOthers() []*peerpb.InstanceState
	GetHints() []*peerpb.EndpointHint
	GetReports() []*peerpb.RequestReport
}

// applyMessage applies the states, hints and reports that a peer sent and queues the new ones for other routers.
func (p *Peer) applyMessage(m message) {
	isNew := false
	for _, s := range m.GetOthers() {
		isNew = p.applyState(s, false) || isNew
	}
	// The direct state is applied last because it makes the roster publish all states of the message.
	isNew = p.applyState(m.GetSelf(), true) || isNew
	for _, h := range m.GetHints() {
		isNew = p.applyHint(h) || isNew
	}
	if p.opts.Reports != nil {
		for _, r := range m.GetReports() {
			isNew = p.opts.Reports.ApplyReport(reportFromWire(r)) || isNew
		}
	}
	if isNew {
		p.TriggerRound()
	}
}

// applyState applies the state of a router and reports whether it should spread immediately. A new configuration offset alone should not:
// once this router applies that configuration, its own state changes and starts a round.
func (p *Peer) applyState(s *peerpb.InstanceState, direct bool) bool {
	if s == nil || !p.opts.Roster.ApplyPeerState(roster.PeerState{
		Instance: qm.InstanceID(s.GetInstance()), Incarnation: qm.Incarnation(s.GetIncarnation()),
		TableOffset: qm.Offset(s.GetTableOffset()), Leaving: s.GetLeaving(), Version: s.GetVersion(),
	}, direct) {
		return false
	}
	p.outbox.addState(s)
	return s.GetLeaving()
}

// applyHint applies a hint about an endpoint and reports whether it was new. A hint that a router failed is passed on before this
// router has called the failed one, since such calls, one after the other, add up.
func (p *Peer) applyHint(w *peerpb.EndpointHint) bool {
	h := roster.Hint{
		Endpoint: qm.EndpointID(w.GetEndpoint()), Incarnation: qm.Incarnation(w.GetIncarnation()),
		Kind: roster.HintFailed, Age: time.Duration(w.GetAgeMs()) * time.Millisecond,
		Model: qm.ModelID(w.GetModel()), Version: qm.VersionID(w.GetVersion()),
	}
	switch w.GetKind() {
	case peerpb.EndpointHint_LEAVING:
		h.Kind = roster.HintLeaving
	case peerpb.EndpointHint_LOADING:
		h.Kind = roster.HintLoading
	case peerpb.EndpointHint_WEIGHTS:
		h.Kind = roster.HintWeights
	}
	if m, ok := p.member(qm.InstanceID(h.Endpoint)); ok {
		if h.Kind != roster.HintFailed || h.Age >= roster.HintValidity || !p.opts.Roster.ApplyPeerFailure(m.Instance, time.Now().Add(-h.Age)) {
			return false
		}
		p.startExchange(m, ownStateOnly)
		p.outbox.addHint(h)
		return true
	}
	if !p.opts.Roster.ApplyHint(h) {
		return false
	}
	p.outbox.addHint(h)
	return true
}

// member returns the member with the given ID, and false if there is none or it is this router.
func (p *Peer) member(id qm.InstanceID) (qm.Member, bool) {
	members, _ := p.opts.Board.Members.Load()
	for _, m := range members {
		if m.Instance == id && !m.IsSelf {
			return m, true
		}
	}
	return qm.Member{}, false
}

// watchTable starts a round whenever this router has applied a configuration change.
func (p *Peer) watchTable(ctx context.Context) {
	changed := p.opts.Board.Table.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			changed = p.opts.Board.Table.Changed()
			p.TriggerRound()
		}
	}
}

// announceLeaving calls all members, at a limited rate, once this router begins to leave.
func (p *Peer) announceLeaving(ctx context.Context) {
	for !p.opts.Board.IsLeaving() {
		changed := p.opts.Board.Leaving.Changed()
		if p.opts.Board.IsLeaving() {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
	members, _ := p.opts.Board.Members.Load()
	limit := rate.NewLimiter(announcePerSecond, announceBurst)
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, m := range sample(append(qm.Members(nil), members...), len(members)) {
		if m.IsSelf || m.PeerAddress == "" {
			continue
		}
		if limit.Wait(ctx) != nil {
			return
		}
		wg.Go(func() { p.exchangeWith(ctx, m, withUpdates) })
	}
}
