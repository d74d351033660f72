// Package loads estimates the work that all routers together have at each endpoint.
//
// Every router counts its own work and trades the counts several times a second: in a small system with all others, in a large one with
// the collector of its cell. Routers that were not heard are taken to have as much work as those that were.
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
	// DefaultEvery is the time between two rounds of trading. Requests wait for their first token about as long.
	DefaultEvery = 100 * time.Millisecond
	// Fanout is the number of routers that a router trades with in a round. With both directions of a trade a router hears twice as
	// many, which is all of them in a system of six.
	Fanout = 3
	// freshTime is the age up to which the counts of another router are used.
	freshTime = 400 * time.Millisecond
	// tradeTime bounds one trade; later its answer would be too old.
	tradeTime = 200 * time.Millisecond
)

// Trade trades the own counts with those of another router.
type Trade func(ctx context.Context, m qm.Member, own *peerpb.LoadShare) (*peerpb.LoadShare, error)

// Publish takes the estimated work of all routers at each endpoint, this one included.
type Publish func(map[qm.EndpointID]qm.Load)

// Options of a Book.
type Options struct {
	Board   *board.Board
	Self    qm.InstanceID
	Trade   Trade
	Publish Publish
	Every   time.Duration
	// Few is the number of routers up to which each trades with others directly; 0 means always.
	Few int
	// Log takes a line when the work of other routers becomes known or unknown; the zero value drops it.
	Log logr.Logger
}

// count is the work at one endpoint.
type count struct {
	requests, once int
	pending        qm.Tokens
}

func (c count) plus(d count) count {
	return count{c.requests + d.requests, c.once + d.once, c.pending + d.pending}
}

func (c count) minus() count { return count{-c.requests, -c.once, -c.pending} }

// heard is what was heard of the work of one or several routers.
type heard struct {
	at      time.Time
	routers int
	work    work
}

// Book counts the own work and estimates that of all routers. It is safe for concurrent use.
type Book struct {
	opts Options
	loop *period.Loop

	mu  sync.Mutex
	own work
	// flights are the own requests, each with the endpoint that it is at.
	flights map[*qm.PlaceRequest]flight
	// others is what other routers said of themselves, cells what collectors said of their cells, rest what the collector of the own cell
	// said of all other routers. collects tells that this router is a collector.
	others, cells, rest map[qm.InstanceID]heard
	collects            bool
	// hears tells that the work of at least one other router is known, failed why the last trade that failed did.
	hears  bool
	failed error
}

// New starts to trade. It ends with the context or with Close.
func New(ctx context.Context, opts Options) *Book {
	if opts.Every <= 0 {
		opts.Every = DefaultEvery
	}
	b := &Book{
		opts: opts, own: work{}, flights: make(map[*qm.PlaceRequest]flight),
		others: make(map[qm.InstanceID]heard), cells: make(map[qm.InstanceID]heard), rest: make(map[qm.InstanceID]heard),
	}
	b.loop = period.New(ctx, opts.Every, b.round)
	return b
}

// Close ends the trading.
func (b *Book) Close() { b.loop.Close() }

// flight is one request at an endpoint.
type flight struct {
	endpoint qm.EndpointID
	count    count
}

// begin counts a request that was sent.
func (b *Book) begin(r *qm.PlaceRequest, id qm.EndpointID, pending qm.Tokens) {
	c := count{requests: 1, pending: pending}
	if r.NonResumable {
		c.once = 1
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flights[r] = flight{id, c}
	b.add(id, c)
}

// first counts the prompt of a request as read.
func (b *Book) first(r *qm.PlaceRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f, ok := b.flights[r]; ok {
		b.add(f.endpoint, count{pending: -f.count.pending})
		f.count.pending = 0
		b.flights[r] = f
	}
}

// end counts a request that left its endpoint.
func (b *Book) end(r *qm.PlaceRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f, ok := b.flights[r]; ok {
		delete(b.flights, r)
		b.add(f.endpoint, f.count.minus())
	}
}

// add changes the own counts. The caller holds mu.
func (b *Book) add(id qm.EndpointID, c count) {
	sum := b.own[id].plus(c)
	if sum.requests == 0 {
		delete(b.own, id)
		return
	}
	b.own[id] = sum
}

// round trades and publishes the estimate.
func (b *Book) round(ctx context.Context) {
	members, _ := b.opts.Board.Members.Load()
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
	if b.large(len(peers)) {
		b.cellRound(ctx, live)
	} else {
		b.directRound(ctx, peers)
	}
	if ctx.Err() == nil {
		loads, n := b.estimate(len(peers), time.Now())
		b.opts.Publish(loads)
		b.tell(len(peers), n)
	}
}

// large reports whether the routers form cells if there are others beside this one.
func (b *Book) large(others int) bool { return b.opts.Few > 0 && others >= b.opts.Few }

// tell logs when the work of other routers becomes known or unknown. n of the others are heard.
func (b *Book) tell(others, n int) {
	b.mu.Lock()
	hears, failed := n > 0, b.failed
	changed := others > 0 && hears != b.hears
	if changed {
		b.hears = hears
	}
	b.mu.Unlock()
	switch {
	case !changed:
	case hears:
		b.opts.Log.Info("loads of other routers known", "Heard", n, "Others", others)
	default:
		b.opts.Log.Error(failed, "loads of other routers unknown", "Others", others)
	}
}

// directRound trades with a few routers.
func (b *Book) directRound(ctx context.Context, peers qm.Members) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var wg sync.WaitGroup
	for _, m := range peers[:min(Fanout, len(peers))] {
		wg.Go(func() {
			if theirs, err := b.trade(ctx, m, b.share(peerpb.LoadScope_LOAD_SCOPE_OWN)); err == nil {
				b.take(theirs)
			}
		})
	}
	wg.Wait()
}

// trade trades with one router. An error is kept for the line that is logged once no router is heard any more.
func (b *Book) trade(ctx context.Context, m qm.Member, own *peerpb.LoadShare) (*peerpb.LoadShare, error) {
	ctx, cancel := context.WithTimeout(ctx, tradeTime)
	defer cancel()
	theirs, err := b.opts.Trade(ctx, m, own)
	if err != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.failed = errors.WithMessagef(err, "trade loads with %s", m.Instance)
	}
	return theirs, err
}

// Traded takes what a router that trades with this one said and returns the answer.
func (b *Book) Traded(theirs *peerpb.LoadShare) *peerpb.LoadShare {
	b.keep(theirs)
	if theirs.GetScope() != peerpb.LoadScope_LOAD_SCOPE_MEMBER {
		return b.share(theirs.GetScope())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w, n := b.elsewhere(time.Now(), qm.InstanceID(theirs.GetInstance()))
	w.add(b.own)
	return b.encode(peerpb.LoadScope_LOAD_SCOPE_MEMBER, w, n+1)
}

// share returns the own counts, or those of the own cell.
func (b *Book) share(scope peerpb.LoadScope) *peerpb.LoadShare {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, n := work{}, 1
	w.add(b.own)
	if scope == peerpb.LoadScope_LOAD_SCOPE_CELL {
		n += w.fresh(b.others, time.Now(), "")
	}
	return b.encode(scope, w, n)
}

// encode returns counts as a message.
func (b *Book) encode(scope peerpb.LoadScope, w work, routers int) *peerpb.LoadShare {
	out := &peerpb.LoadShare{Instance: string(b.opts.Self), Scope: scope, Routers: int32(routers)}
	for id, c := range w {
		out.Loads = append(out.Loads, &peerpb.EndpointLoad{
			Endpoint: string(id), Requests: int32(c.requests), PendingTokens: int64(c.pending), Once: int32(c.once),
		})
	}
	return out
}

// decode returns the counts of a message.
func decode(s *peerpb.LoadShare) heard {
	h := heard{at: time.Now(), routers: max(1, int(s.GetRouters())), work: make(work, len(s.GetLoads()))}
	for _, l := range s.GetLoads() {
		h.work[qm.EndpointID(l.GetEndpoint())] = count{int(l.GetRequests()), int(l.GetOnce()), qm.Tokens(l.GetPendingTokens())}
	}
	return h
}

// keep keeps the counts that another router sent.
func (b *Book) keep(s *peerpb.LoadShare) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id := qm.InstanceID(s.GetInstance()); s.GetScope() == peerpb.LoadScope_LOAD_SCOPE_CELL {
		b.cells[id] = decode(s)
	} else {
		b.others[id] = decode(s)
	}
}

// take keeps the counts that another router answered with. In answer to a member they are those of all other routers.
func (b *Book) take(s *peerpb.LoadShare) {
	if s.GetScope() != peerpb.LoadScope_LOAD_SCOPE_MEMBER {
		b.keep(s)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.rest)
	b.rest[qm.InstanceID(s.GetInstance())] = decode(s)
}

// Estimate returns the work at each endpoint if there are others routers beside this one.
func (b *Book) Estimate(others int, now time.Time) map[qm.EndpointID]qm.Load {
	loads, _ := b.estimate(others, now)
	return loads
}

// estimate returns the work at each endpoint, and the number of other routers that were heard.
func (b *Book) estimate(others int, now time.Time) (map[qm.EndpointID]qm.Load, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sums, n := b.heardOf(others, now)
	scale := 0.0
	if n > 0 {
		scale = math.Max(1, float64(others)/float64(n))
	}
	out := make(map[qm.EndpointID]qm.Load, len(sums)+len(b.own))
	for e, s := range sums {
		out[e] = qm.Load{
			Running: int(math.Round(scale * float64(s.requests))), NonResumable: int(math.Ceil(scale * float64(s.once))),
			QueuedTokens: qm.Tokens(scale * float64(s.pending)),
		}
	}
	for e, c := range b.own {
		l := out[e]
		l.Running += c.requests
		l.NonResumable += c.once
		l.QueuedTokens += c.pending
		out[e] = l
	}
	return out, n
}

// heardOf returns the work of other routers as far as it was heard, and the number of those routers. The caller holds mu.
func (b *Book) heardOf(others int, now time.Time) (work, int) {
	w := work{}
	switch {
	case !b.large(others):
		return w, w.fresh(b.others, now, "")
	case !b.collects:
		return w, w.fresh(b.rest, now, "")
	}
	return b.elsewhere(now, "")
}

// Counted is a placer whose decisions are counted.
type Counted struct {
	qm.Placer
	Book *Book
}

// Dispatched implements quetzalmount.Placer.
func (c Counted) Dispatched(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	c.Book.begin(r, d.Endpoint.ID, max(0, r.PromptTokens-d.CachedTokens))
	c.Placer.Dispatched(r, d, now)
}

// FirstToken implements quetzalmount.Placer.
func (c Counted) FirstToken(r *qm.PlaceRequest, d qm.Placement, cached qm.Tokens, now time.Time) {
	c.Book.first(r)
	c.Placer.FirstToken(r, d, cached, now)
}

// Finished implements quetzalmount.Placer.
func (c Counted) Finished(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	c.Book.end(r)
	c.Placer.Finished(r, d, now)
}
