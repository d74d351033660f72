// Package loads estimates the work that all routers together have at each endpoint.
//
// Every router counts its own work and trades the counts with a few others several times a second. What the others have is estimated
// from those that were heard lately, scaled to the number of routers, so that the cost of a router does not grow with their number. In
// a small system every router hears all others.
package loads

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

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
	// fresh is the age up to which the counts of another router are used.
	fresh = 400 * time.Millisecond
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

// heard is what another router said.
type heard struct {
	at     time.Time
	counts map[qm.EndpointID]count
}

// Book counts the own work and estimates that of all routers. It is safe for concurrent use.
type Book struct {
	opts Options
	loop *period.Loop

	mu  sync.Mutex
	own map[qm.EndpointID]count
	// flights are the own requests, each with the endpoint that it is at.
	flights map[*qm.PlaceRequest]flight
	others  map[qm.InstanceID]heard
}

// New starts to trade. It ends with the context or with Close.
func New(ctx context.Context, opts Options) *Book {
	if opts.Every <= 0 {
		opts.Every = DefaultEvery
	}
	b := &Book{
		opts: opts, own: make(map[qm.EndpointID]count), flights: make(map[*qm.PlaceRequest]flight),
		others: make(map[qm.InstanceID]heard),
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
	if r.Once {
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

// round trades with a few routers and publishes the estimate.
func (b *Book) round(ctx context.Context) {
	members, _ := b.opts.Board.Members.Load()
	var peers []qm.Member
	for _, m := range members {
		if !m.Self && m.State == qm.Live && m.PeerAddress != "" {
			peers = append(peers, m)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var wg sync.WaitGroup
	for _, m := range peers[:min(Fanout, len(peers))] {
		wg.Go(func() {
			theirs, err := b.opts.Trade(ctx, m, b.share())
			if err != nil {
				return // the exchange of the peers finds out what is wrong and logs it
			}
			b.take(theirs)
		})
	}
	wg.Wait()
	if ctx.Err() == nil {
		b.opts.Publish(b.Estimate(len(peers), time.Now()))
	}
}

// Traded takes the counts of a router that trades with this one and returns the own ones.
func (b *Book) Traded(theirs *peerpb.LoadShare) *peerpb.LoadShare {
	b.take(theirs)
	return b.share()
}

// share returns the own counts.
func (b *Book) share() *peerpb.LoadShare {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := &peerpb.LoadShare{Instance: string(b.opts.Self)}
	for id, c := range b.own {
		out.Loads = append(out.Loads, &peerpb.EndpointLoad{
			Endpoint: string(id), Requests: int32(c.requests), PendingTokens: int64(c.pending), Once: int32(c.once),
		})
	}
	return out
}

// take keeps the counts of another router.
func (b *Book) take(s *peerpb.LoadShare) {
	h := heard{at: time.Now(), counts: make(map[qm.EndpointID]count, len(s.GetLoads()))}
	for _, l := range s.GetLoads() {
		h.counts[qm.EndpointID(l.GetEndpoint())] = count{int(l.GetRequests()), int(l.GetOnce()), qm.Tokens(l.GetPendingTokens())}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others[qm.InstanceID(s.GetInstance())] = h
}

// Estimate returns the work at each endpoint if there are others routers beside this one.
func (b *Book) Estimate(others int, now time.Time) map[qm.EndpointID]qm.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	sums, n := map[qm.EndpointID]count{}, 0
	for id, h := range b.others {
		if now.Sub(h.at) > fresh {
			delete(b.others, id)
			continue
		}
		n++
		for e, c := range h.counts {
			sums[e] = sums[e].plus(c)
		}
	}
	scale := 0.0
	if n > 0 {
		scale = math.Max(1, float64(others)/float64(n))
	}
	out := make(map[qm.EndpointID]qm.Load, len(sums)+len(b.own))
	for e, s := range sums {
		out[e] = qm.Load{
			Running: int(math.Round(scale * float64(s.requests))), Once: int(math.Ceil(scale * float64(s.once))),
			QueuedTokens: qm.Tokens(scale * float64(s.pending)),
		}
	}
	for e, c := range b.own {
		l := out[e]
		l.Running += c.requests
		l.Once += c.once
		l.QueuedTokens += c.pending
		out[e] = l
	}
	return out
}

// Counted is a placer whose decisions are counted.
type Counted struct {
	qm.Placer
	Book *Book
}

// Dispatched implements quetzalmount.Placer.
func (c Counted) Dispatched(r *qm.PlaceRequest, d qm.Decision, now time.Time) {
	c.Book.begin(r, d.Endpoint.ID, max(0, r.PromptTokens-d.Hit))
	c.Placer.Dispatched(r, d, now)
}

// FirstToken implements quetzalmount.Placer.
func (c Counted) FirstToken(r *qm.PlaceRequest, d qm.Decision, cached qm.Tokens, now time.Time) {
	c.Book.first(r)
	c.Placer.FirstToken(r, d, cached, now)
}

// Finished implements quetzalmount.Placer.
func (c Counted) Finished(r *qm.PlaceRequest, d qm.Decision, now time.Time) {
	c.Book.end(r)
	c.Placer.Finished(r, d, now)
}
