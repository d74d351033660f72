// Package peer trades state with the other routers.
//
// In each round a router calls Fanout random members and one suspect member. Both sides send their own state, the newest
// states of others that they heard lately, and hints about endpoints; each piece of news is passed on in a bounded number of
// messages.
// News starts a round at once, at most one in each Options.Gap, so that a change spreads in a few gaps while rounds
// without news can be rare. A member that does not answer twice is suspect, and others are told; they call it
// themselves before they believe it, because the fault may be a link that only one router uses.
//
// The messages are sent over HTTP by twirp. With the headers that can be left out a call takes about 300 bytes and what
// it carries; see TestBytesPerNode for the figures.
package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// Peer is the side of this router in the exchange.
type Peer struct {
	opts   Options
	client client
	news   news
	wake   chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// check runs an extra call to a member, unless too many are under way.
	check func(qm.Member)

	// order is the members to call next. Only the loop of rounds uses it.
	order []qm.InstanceID

	mu      sync.Mutex
	version int64
	last    *peerpb.InstanceState
}

// New starts the rounds. They end with the context or with Close.
func New(ctx context.Context, o Options) *Peer {
	o.fill()
	ctx, cancel := context.WithCancel(ctx)
	p := &Peer{
		opts: o, cancel: cancel, wake: make(chan struct{}, 1), news: news{maxHints: o.Hints},
		client:  client{http: slim{o.Client}, scheme: o.Scheme, timeout: o.Timeout},
		version: time.Now().UnixMilli(),
	}
	checks := make(chan qm.Member, Fanout)
	p.check = func(m qm.Member) {
		select {
		case checks <- m:
		default:
		}
	}
	p.wg.Go(func() { p.rounds(ctx) })
	p.wg.Go(func() { p.announce(ctx) })
	p.wg.Go(func() { p.followTable(ctx) })
	p.wg.Go(func() { p.checkAll(ctx, checks) })
	return p
}

// Close ends the rounds and waits for calls under way.
func (p *Peer) Close() {
	p.cancel()
	p.wg.Wait()
}

// Changed tells that there is news, so that the next round does not wait.
func (p *Peer) Changed() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// rounds calls random members until the context ends.
func (p *Peer) rounds(ctx context.Context) {
	extra := 0
	// The first round is spread over a gap, because routers may be restarted together.
	wait := rand.N(p.opts.Gap)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.wake:
			extra = roundsPerChange - 1
			if !sleep(ctx, p.opts.Gap/2+rand.N(p.opts.Gap/2)) {
				return
			}
		}
		p.round(ctx)
		wait = p.opts.Round*3/4 + rand.N(p.opts.Round/2)
		if extra > 0 {
			extra--
			wait = p.opts.Gap/2 + rand.N(p.opts.Gap)
		}
		timer.Reset(wait)
	}
}

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

// round calls Fanout random members that are not suspect, and one that is.
func (p *Peer) round(ctx context.Context) {
	p.collect()
	var wg sync.WaitGroup
	for _, m := range p.targets() {
		wg.Go(func() { p.call(ctx, m) })
	}
	wg.Wait()
}

// collect takes the roster's own evidence into the news.
func (p *Peer) collect() {
	for _, h := range p.opts.Roster.TakeHints() {
		p.news.addHint(h)
	}
}

func (p *Peer) targets() []qm.Member {
	members, _ := p.opts.Board.Members.Load()
	var good, suspect []qm.Member
	for _, m := range members {
		switch {
		case m.IsSelf || m.PeerAddress == "":
		case m.State == qm.Suspect:
			suspect = append(suspect, m)
		default:
			good = append(good, m)
		}
	}
	return append(p.next(good), sample(suspect, 1)...)
}

// next returns the next Fanout members of a random order. When the order ends a new one begins, so that each member is
// called once in every len(members)/Fanout rounds; independent draws leave a crashed router of six unnoticed for 5 s in
// about 1 of 500 cases.
func (p *Peer) next(good []qm.Member) []qm.Member {
	var out []qm.Member
	for pass := 0; pass < 2 && len(out) < min(Fanout, len(good)); pass++ {
		if len(p.order) == 0 {
			for _, m := range sample(good, len(good)) {
				p.order = append(p.order, m.Instance)
			}
		}
		for len(p.order) > 0 && len(out) < Fanout {
			id := p.order[0]
			p.order = p.order[1:]
			at := func(m qm.Member) bool { return m.Instance == id }
			if i := slices.IndexFunc(good, at); i >= 0 && !slices.ContainsFunc(out, at) {
				out = append(out, good[i])
			}
		}
	}
	return out
}

func sample(m []qm.Member, n int) []qm.Member {
	rand.Shuffle(len(m), func(i, j int) { m[i], m[j] = m[j], m[i] })
	return m[:min(n, len(m))]
}

// call trades state with one member. A failure is tried once more, over a new connection because the failed one is
// closed, before the member is suspect.
func (p *Peer) call(ctx context.Context, m qm.Member) {
	others, hints := p.news.take(map[string]bool{string(m.Instance): true})
	req := &peerpb.ExchangeRequest{Self: p.self(), Others: others, Hints: hints}
	tries := 2
	if m.State == qm.Suspect {
		tries = 1
	}
	var began time.Time
	for range tries {
		began = time.Now()
		resp, err := p.client.exchange(ctx, m, req)
		if err == nil {
			p.take(resp.GetSelf(), resp.GetOthers(), resp.GetHints())
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
	if p.opts.Roster.PeerFailed(m.Instance, began) {
		p.news.addHint(roster.Hint{
			Endpoint: qm.EndpointID(m.Instance), Incarnation: m.Incarnation, Kind: roster.HintFailed,
		})
		p.Changed()
	}
}

// self returns the own state, with a higher version if it changed.
func (p *Peer) self() *peerpb.InstanceState {
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
	if p.last != nil && (p.last.TableOffset != s.TableOffset || p.last.Leaving != s.Leaving) {
		p.version++
	}
	s.Version = p.version
	p.last = s
	return s
}

// take merges what a peer sent and keeps the news for others.
func (p *Peer) take(from *peerpb.InstanceState, others []*peerpb.InstanceState, hints []*peerpb.EndpointHint) {
	fresh := false
	for _, s := range others {
		fresh = p.takeState(s, false) || fresh
	}
	// The direct state comes last because it makes the roster publish what the others said.
	fresh = p.takeState(from, true) || fresh
	for _, h := range hints {
		fresh = p.takeHint(h) || fresh
	}
	if fresh {
		p.Changed()
	}
}

// takeState reports whether the state is news that should spread at once. A configuration offset alone is not: the
// router that applies it has news of its own then.
func (p *Peer) takeState(s *peerpb.InstanceState, direct bool) bool {
	if s == nil || !p.opts.Roster.PeerSaid(roster.PeerState{
		Instance: qm.InstanceID(s.GetInstance()), Incarnation: qm.Incarnation(s.GetIncarnation()),
		TableOffset: qm.Offset(s.GetTableOffset()), Leaving: s.GetLeaving(), Version: s.GetVersion(),
	}, direct) {
		return false
	}
	p.news.addState(s)
	return s.GetLeaving()
}

func (p *Peer) takeHint(w *peerpb.EndpointHint) bool {
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
		if h.Kind == roster.HintFailed && m.State != qm.Suspect && h.Age < roster.HintValidity {
			p.check(m)
		}
		return false
	}
	if !p.opts.Roster.Hinted(h) {
		return false
	}
	p.news.addHint(h)
	return true
}

func (p *Peer) member(id qm.InstanceID) (qm.Member, bool) {
	members, _ := p.opts.Board.Members.Load()
	for _, m := range members {
		if m.Instance == id && !m.IsSelf {
			return m, true
		}
	}
	return qm.Member{}, false
}

// followTable starts a round whenever this router applied a configuration change.
func (p *Peer) followTable(ctx context.Context) {
	changed := p.opts.Board.Table.Changed()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			changed = p.opts.Board.Table.Changed()
			p.Changed()
		}
	}
}

// checkAll calls the members that others could not reach.
func (p *Peer) checkAll(ctx context.Context, checks <-chan qm.Member) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-checks:
			if now, ok := p.member(m.Instance); ok && now.State != qm.Suspect {
				p.call(ctx, now)
			}
		}
	}
}

// announce tells all members, at a bounded rate, when this router starts to leave.
func (p *Peer) announce(ctx context.Context) {
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
		wg.Go(func() { p.call(ctx, m) })
	}
}
