// Package loads estimates the load that all routers together put on each endpoint.
//
// Each router counts its own requests and exchanges the counts several times a second: in a small system directly with the other routers,
// in a large one with the collector of its cell. Routers without a recent report are assumed to have the average load of those with one.
package loads

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

const (
	// DefaultInterval is the time between two rounds of exchanges. It is about the time that a request waits for its first token.
	DefaultInterval = 100 * time.Millisecond
	// Fanout is the number of routers that a router calls in a direct round. Since an exchange informs both sides, a router receives the
	// loads of twice as many routers, which covers all of them in a system of six.
	Fanout = 3
	// maxReportAge is the age up to which the report of another router is used.
	maxReportAge = 400 * time.Millisecond
	// exchangeTimeout bounds one exchange; a later answer would be out of date.
	exchangeTimeout = 200 * time.Millisecond
)

// ExchangeFunc sends the own loads to router m and returns the loads that it answers with.
type ExchangeFunc func(ctx context.Context, m qm.Member, own *peerpb.LoadShare) (*peerpb.LoadShare, error)

// PublishFunc receives the estimated load of all routers, including this one, at each endpoint.
type PublishFunc func(map[qm.EndpointID]qm.Load)

// Options are the settings of a Tracker.
type Options struct {
	Board    *board.Board
	Self     qm.InstanceID
	Exchange ExchangeFunc
	Publish  PublishFunc
	// Demand returns the demand at this router, and PublishDemand receives the estimated one at all routers; nil for none.
	Demand        func(now time.Time) map[qm.GroupID]qm.LaneDemand
	PublishDemand func(map[qm.GroupID]qm.LaneDemand)
	Interval      time.Duration
	// MaxDirect is the number of routers, including this one, up to which they exchange loads directly; larger systems form cells. 0 means
	// no limit.
	MaxDirect int
	// Log receives a line when the loads of other routers become known or unknown. The zero value discards it.
	Log logr.Logger
}

// load is the load at one endpoint.
type load struct {
	// nonResumable counts the requests that can't be continued at another endpoint.
	requests, nonResumable int
	// pendingTokens counts the prompt tokens that wait for prefill.
	pendingTokens qm.Tokens
}

func (l load) plus(m load) load {
	return load{l.requests + m.requests, l.nonResumable + m.nonResumable, l.pendingTokens + m.pendingTokens}
}

func (l load) negated() load {
	return load{-l.requests, -l.nonResumable, -l.pendingTokens}
}

// report is the load of one or several routers as received from another router.
type report struct {
	receivedAt time.Time
	routers    int
	loads      loadByEndpoint
	demands    demandByGroup
}

// demandByGroup is the demand for each group of engines.
type demandByGroup map[qm.GroupID]qm.LaneDemand

// add adds f times the demand in more to d.
func (d demandByGroup) add(more demandByGroup, f float64) {
	for g, m := range more {
		d[g] = d[g].Plus(m, f)
	}
}

// Tracker counts the load of this router and estimates that of all routers. It is safe for concurrent use.
type Tracker struct {
	opts Options
	loop *period.Loop

	mu  sync.Mutex
	own loadByEndpoint
	// active holds the requests of this router that are in progress.
	active map[*qm.PlaceRequest]activeRequest
	// fromRouters holds the reports of other routers about themselves, fromCells the reports of collectors about their cells, fromCollector
	// the last answer of this router's collector about all other routers. Each is keyed by the sender.
	fromRouters, fromCells, fromCollector map[qm.InstanceID]report
	isCollector                           bool
	speeds                                *speeds
	// othersKnown is set while the load of at least one other router is known; lastErr is the error of the last exchange that failed.
	othersKnown bool
	lastErr     error
}

// New returns a Tracker that exchanges loads until ctx is done or Close is called.
func New(ctx context.Context, opts Options) *Tracker {
	if opts.Interval <= 0 {
		opts.Interval = DefaultInterval
	}
	t := &Tracker{
		opts: opts, own: loadByEndpoint{}, active: make(map[*qm.PlaceRequest]activeRequest),
		fromRouters: make(map[qm.InstanceID]report), fromCells: make(map[qm.InstanceID]report), fromCollector: make(map[qm.InstanceID]report),
		speeds: newSpeeds(),
	}
	t.loop = period.New(ctx, opts.Interval, t.round)
	return t
}

// Close stops the exchanges.
func (t *Tracker) Close() { t.loop.Close() }

// activeRequest is a request in progress at an endpoint.
type activeRequest struct {
	endpoint qm.EndpointID
	load     load
}

// begin counts a request that was sent to an endpoint.
func (t *Tracker) begin(r *qm.PlaceRequest, id qm.EndpointID, pending qm.Tokens) {
	l := load{requests: 1, pendingTokens: pending}
	if r.NonResumable {
		l.nonResumable = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active[r] = activeRequest{id, l}
	t.add(id, l)
}

// firstToken stops counting the prompt tokens of a request as pending.
func (t *Tracker) firstToken(r *qm.PlaceRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.active[r]; ok {
		t.add(a.endpoint, load{pendingTokens: -a.load.pendingTokens})
		a.load.pendingTokens = 0
		t.active[r] = a
	}
}

// end stops counting a request. It does nothing for a request that has already ended.
func (t *Tracker) end(r *qm.PlaceRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a, ok := t.active[r]; ok {
		delete(t.active, r)
		t.add(a.endpoint, a.load.negated())
	}
}

// add adds to the own load at an endpoint. The caller holds mu.
func (t *Tracker) add(id qm.EndpointID, l load) {
	sum := t.own[id].plus(l)
	if sum.requests == 0 {
		delete(t.own, id)
		return
	}
	t.own[id] = sum
}

// round exchanges loads with other routers and publishes the estimate.
func (t *Tracker) round(ctx context.Context) {
	t.mu.Lock()
	t.speeds.round++
	t.mu.Unlock()
	members, _ := t.opts.Board.Members.Load()
	var live, peers qm.Members
	for _, m := range members {
		if !m.IsSelf && (m.State != qm.Live || m.PeerAddress == "") {
			continue
		}
		live = append(live, m)
		if !m.IsSelf {
			peers = append(peers, m)
		}
	}
	if t.usesCells(len(peers)) {
		t.cellRound(ctx, live)
	} else {
		t.directRound(ctx, peers)
	}
	if ctx.Err() == nil {
		loads, n := t.estimate(len(peers), time.Now())
		t.opts.Publish(loads)
		if t.opts.PublishDemand != nil {
			t.opts.PublishDemand(t.estimateDemand(len(peers), time.Now()))
		}
		t.logAvailability(len(peers), n)
	}
}

// usesCells reports whether this router and the given number of others form cells.
func (t *Tracker) usesCells(others int) bool {
	return t.opts.MaxDirect > 0 && others >= t.opts.MaxDirect
}

// logAvailability logs when the loads of other routers become known or unknown. n of the others have a recent report.
func (t *Tracker) logAvailability(others, n int) {
	t.mu.Lock()
	known, lastErr := n > 0, t.lastErr
	changed := others > 0 && known != t.othersKnown
	if changed {
		t.othersKnown = known
	}
	t.mu.Unlock()
	switch {
	case !changed:
	case known:
		t.opts.Log.Info("loads of other routers known", "Heard", n, "Others", others)
	default:
		t.opts.Log.Error(lastErr, "loads of other routers unknown", "Others", others)
	}
}

// directRound exchanges loads with up to Fanout random routers.
func (t *Tracker) directRound(ctx context.Context, peers qm.Members) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var wg sync.WaitGroup
	for _, m := range peers[:min(Fanout, len(peers))] {
		wg.Go(func() {
			if theirs, err := t.exchange(ctx, m, t.localShare(peerpb.LoadScope_LOAD_SCOPE_OWN)); err == nil {
				t.storeAnswer(theirs)
			}
		})
	}
	wg.Wait()
}

// exchange exchanges loads with one router. It keeps an error for logAvailability, which logs it once no other router has a recent report.
func (t *Tracker) exchange(ctx context.Context, m qm.Member, own *peerpb.LoadShare) (*peerpb.LoadShare, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	t.mu.Lock()
	if t.speeds.round%speedRounds == 0 {
		own.WantsSpeeds = true
		t.attachSpeeds(own, "")
	}
	t.mu.Unlock()
	theirs, err := t.opts.Exchange(ctx, m, own)
	if err != nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.lastErr = errors.WithMessagef(err, "exchange loads with %s", m.Instance)
	}
	return theirs, err
}

// HandleExchange stores the loads that another router sent and returns the answer.
func (t *Tracker) HandleExchange(theirs *peerpb.LoadShare) *peerpb.LoadShare {
	t.store(theirs)
	return t.Answer(theirs)
}

// Answer returns what HandleExchange does, and keeps nothing of the loads of the other router.
func (t *Tracker) Answer(theirs *peerpb.LoadShare) *peerpb.LoadShare {
	answer := t.answer(theirs)
	if theirs.GetWantsSpeeds() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.attachSpeeds(answer, qm.InstanceID(theirs.GetInstance()))
	}
	return answer
}

// answer returns the answer to the loads of another router.
func (t *Tracker) answer(theirs *peerpb.LoadShare) *peerpb.LoadShare {
	if theirs.GetScope() != peerpb.LoadScope_LOAD_SCOPE_MEMBER {
		return t.localShare(theirs.GetScope())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	s := t.loadsExcept(now, qm.InstanceID(theirs.GetInstance()))
	s.addOwn(t, now)
	return t.encode(peerpb.LoadScope_LOAD_SCOPE_MEMBER, s)
}

// localShare returns the own load, or for LOAD_SCOPE_CELL that of the own cell.
func (t *Tracker) localShare(scope peerpb.LoadScope) *peerpb.LoadShare {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, s := time.Now(), newSum()
	s.addOwn(t, now)
	if scope == peerpb.LoadScope_LOAD_SCOPE_CELL {
		s.addRecent(t.fromRouters, now, "")
	}
	return t.encode(scope, s)
}

// encode returns the message that holds the load of a number of routers.
func (t *Tracker) encode(scope peerpb.LoadScope, s *sum) *peerpb.LoadShare {
	out := &peerpb.LoadShare{Instance: string(t.opts.Self), Scope: scope, Routers: int32(s.routers)}
	for g, d := range s.demands {
		out.Demands = append(out.Demands, &peerpb.GroupDemand{
			Group: string(g), ShortRunning: d.ShortRunning, ShortPrefill: d.ShortPrefill, LongRunning: d.LongRunning, LongPrefill: d.LongPrefill,
		})
	}
	for id, c := range s.loads {
		out.Loads = append(out.Loads, &peerpb.EndpointLoad{
			Endpoint: string(id), Requests: int32(c.requests), PendingTokens: int64(c.pendingTokens), Once: int32(c.nonResumable),
		})
	}
	return out
}

// decode returns the report in a message.
func decode(s *peerpb.LoadShare) report {
	r := report{receivedAt: time.Now(), routers: max(1, int(s.GetRouters())), loads: make(loadByEndpoint, len(s.GetLoads())), demands: demandByGroup{}}
	for _, l := range s.GetLoads() {
		r.loads[qm.EndpointID(l.GetEndpoint())] = load{int(l.GetRequests()), int(l.GetOnce()), qm.Tokens(l.GetPendingTokens())}
	}
	for _, d := range s.GetDemands() {
		r.demands[qm.GroupID(d.GetGroup())] = qm.LaneDemand{
			ShortRunning: d.GetShortRunning(), ShortPrefill: d.GetShortPrefill(), LongRunning: d.GetLongRunning(), LongPrefill: d.GetLongPrefill(),
		}
	}
	return r
}

// store keeps the loads that another router sent.
func (t *Tracker) store(s *peerpb.LoadShare) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speeds.store(s, false)
	if id := qm.InstanceID(s.GetInstance()); s.GetScope() == peerpb.LoadScope_LOAD_SCOPE_CELL {
		t.fromCells[id] = decode(s)
	} else {
		t.fromRouters[id] = decode(s)
	}
}

// storeAnswer keeps the loads that another router answered with. The answer to a member of a cell covers all other routers.
func (t *Tracker) storeAnswer(s *peerpb.LoadShare) {
	if s.GetScope() != peerpb.LoadScope_LOAD_SCOPE_MEMBER {
		t.store(s)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speeds.store(s, true)
	clear(t.fromCollector)
	t.fromCollector[qm.InstanceID(s.GetInstance())] = decode(s)
}

// Estimate returns the load of all routers at each endpoint, given the number of routers other than this one.
func (t *Tracker) Estimate(others int, now time.Time) map[qm.EndpointID]qm.Load {
	loads, _ := t.estimate(others, now)
	return loads
}

// estimate returns the load of all routers at each endpoint and the number of other routers with a recent report.
func (t *Tracker) estimate(others int, now time.Time) (map[qm.EndpointID]qm.Load, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := t.otherLoads(others, now)
	n, scale := sums.routers, sums.scale(others)
	out := make(map[qm.EndpointID]qm.Load, len(sums.loads)+len(t.own))
	for e, s := range sums.loads {
		out[e] = qm.Load{
			Running: int(math.Round(scale * float64(s.requests))), NonResumable: int(math.Ceil(scale * float64(s.nonResumable))),
			QueuedTokens: qm.Tokens(scale * float64(s.pendingTokens)),
		}
	}
	for e, c := range t.own {
		l := out[e]
		l.Running += c.requests
		l.NonResumable += c.nonResumable
		l.QueuedTokens += c.pendingTokens
		out[e] = l
	}
	for e, slowness := range t.slowness(others, now) {
		l := out[e]
		l.Slowness = slowness
		out[e] = l
	}
	return out, n
}

// estimateDemand returns the demand at all routers, given the number of routers other than this one. While it knows of no other, each is taken to
// have the demand of this one.
func (t *Tracker) estimateDemand(others int, now time.Time) map[qm.GroupID]qm.LaneDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, own := t.otherLoads(others, now), newSum()
	own.addOwn(t, now)
	out := demandByGroup{}
	out.add(own.demands, 1)
	if s.routers == 0 {
		out.add(own.demands, float64(others))
	}
	out.add(s.demands, s.scale(others))
	return out
}

// otherLoads returns the load of the other routers with a recent report. The caller holds mu.
func (t *Tracker) otherLoads(others int, now time.Time) *sum {
	if t.usesCells(others) && t.isCollector {
		return t.loadsExcept(now, "")
	}
	s := newSum()
	if t.usesCells(others) {
		s.addRecent(t.fromCollector, now, "")
	} else {
		s.addRecent(t.fromRouters, now, "")
	}
	return s
}

// CountingPlacer is a placer whose dispatched requests a Tracker counts.
type CountingPlacer struct {
	qm.Placer
	Tracker *Tracker
}

// Dispatched implements quetzalmount.Placer.
func (c CountingPlacer) Dispatched(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	c.Tracker.begin(r, d.Endpoint.ID, max(0, r.PromptTokens-d.CachedTokens))
	c.Placer.Dispatched(r, d, now)
}

// FirstToken implements quetzalmount.Placer.
func (c CountingPlacer) FirstToken(r *qm.PlaceRequest, d qm.Placement, cached qm.Tokens, now time.Time) {
	c.Tracker.firstToken(r)
	c.Placer.FirstToken(r, d, cached, now)
}

// Finished implements quetzalmount.Placer.
func (c CountingPlacer) Finished(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	c.Tracker.end(r)
	c.Placer.Finished(r, d, now)
}
