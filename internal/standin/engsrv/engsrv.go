// Package engsrv implements a fake model engine: continuous batching over a fixed number of slots, a prefix cache with
// limited memory, numbered streams that can be resumed and cancelled, cache events, a delayed load report, commands, and
// fault injection.
//
// The engine speaks HTTP with JSON. Every response has the headers X-Incarnation and X-Request-Id; the latter is the
// request's ID, or the X-Request-Id header of the HTTP request.
//
//	POST /v1/chat/completions      CompletionRequest; answers with server-sent events, see below
//	GET  /v1/streams/{id}?from=n   the same stream again, starting at chunk n; 404 if the engine doesn't know the stream
//	DELETE /v1/streams/{id}        cancels the request; 204, or 404 if the engine doesn't know the stream
//	GET  /v1/load                  Report
//	GET  /v1/events?from=seq&max=n {"Incarnation","First","Next","Events":[{"Seq","Kind","Block"}]}
//	PUT  /v1/desired               Desired; 409 for a stale fencing token, 503 while commands are refused
//	POST /v1/kv/export, /v1/kv/import  Transfer; answers TransferResult
//	GET, PUT /admin/faults         Faults
//	PUT  /admin/leaving            {"Leaving":bool}
//	GET  /admin/stats              Stats
//
// A stream is a sequence of events "id: <number>", numbered from 0, each with one chunk of the chat completions protocol.
// It ends with "data: [DONE]". The first chunk sent on a connection has "cached_tokens"; the last chunk of the answer has
// "usage". The engine refuses requests with 429 while its queue is full, and with 503 while it loads weights or is leaving.
// A repeated POST with a known request_id joins the running stream, or gets 409 if that stream starts at a later chunk.
package engsrv

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/pauser"
)

// Options configures an engine. New replaces zero values by the defaults given in parentheses.
type Options struct {
	Model    qm.ModelID
	Version  qm.VersionID
	Adapters []qm.AdapterID
	Role     string
	// Slots is the batch size (8). QueueLength is the number of requests that may wait for a slot.
	Slots, QueueLength int
	// CapacityBlocks is the size of the prefix cache in blocks; 0 disables the cache.
	CapacityBlocks int
	// PrefillPerToken is the time per uncached prompt token. DecodePerToken is the time per generated token.
	PrefillPerToken, DecodePerToken time.Duration
	// ReportLag is the age of the load report. EventDelay is the time until a cache event can be read.
	ReportLag, EventDelay time.Duration
	// Fences makes the engine refuse stale fencing tokens.
	Fences bool
	// WeightStore and CacheStore are the addresses of the stores, as host:port. Without a weight store, loading weights
	// takes LoadTime (2 s).
	WeightStore, CacheStore string
	LoadTime                time.Duration
	// StreamRetention is how long an ended stream, or one without a connection, can still be resumed (10 s).
	StreamRetention time.Duration
	// Random returns numbers in [0, 1) that decide which cache events are lost (math/rand/v2.Float64).
	Random func() float64
}

// Server is a fake engine. Each crash replaces its incarnation by a new one.
type Server struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc

	// Silence draws the pauses of the engine's connections. See Faults.
	Silence pauser.Source

	wg sync.WaitGroup // goroutines of crashed incarnations

	mu        sync.Mutex
	core      *core
	faults    Faults
	stalled   chan struct{} // closed by Stall to stall the open connections, then replaced
	downUntil time.Time
}

// New starts an engine, which runs until Close.
func New(opts Options) *Server {
	if opts.Slots <= 0 {
		opts.Slots = 8
	}
	if opts.LoadTime <= 0 {
		opts.LoadTime = 2 * time.Second
	}
	if opts.StreamRetention <= 0 {
		opts.StreamRetention = 10 * time.Second
	}
	if opts.Random == nil {
		opts.Random = rand.Float64
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{opts: opts, ctx: ctx, stop: stop, stalled: make(chan struct{})}
	s.core = s.newIncarnation()
	return s
}

func (s *Server) newIncarnation() *core {
	return newCore(s.ctx, &s.opts, s.slowFactor, s.losesEvent)
}

// Close cancels all requests and waits until they have ended.
func (s *Server) Close() error {
	s.stop()
	s.current().close()
	s.wg.Wait()
	return nil
}

// current returns the current incarnation.
func (s *Server) current() *core {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core
}

// Crash discards all state and breaks all connections. The engine answers again after downtime, as a new incarnation.
func (s *Server) Crash(downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wg.Go(s.core.close)
	s.core.cancel()
	s.core = s.newIncarnation()
	s.downUntil = time.Now().Add(downtime)
}

// Stall stalls the stream connections that are open now. New connections aren't affected.
func (s *Server) Stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stalled)
	s.stalled = make(chan struct{})
}

// SetLeaving sets or clears the leaving state. A leaving engine finishes its streams and refuses new requests.
func (s *Server) SetLeaving(leaving bool) {
	c := s.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = leaving
}

// Incarnation returns the current incarnation.
func (s *Server) Incarnation() qm.Incarnation { return s.current().incarnation }

// Stats are counters of the current incarnation that a real engine doesn't publish.
type Stats struct {
	Incarnation qm.Incarnation
	// Requests is the number of admitted requests. Open is the number of those that haven't ended.
	Requests, Open int64
	// Missed is the number of prompt tokens computed because they weren't cached.
	Missed qm.Tokens
	// StaleHits counts cache hits on blocks computed with other weights. It stays 0 if the cache salt depends on the
	// version.
	StaleHits int64
}

// Stats returns the counters of the current incarnation.
func (s *Server) Stats() Stats {
	c := s.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	st := Stats{Incarnation: c.incarnation, Requests: c.seq, Missed: c.prefillTokens, StaleHits: c.staleHits}
	for _, j := range c.jobs {
		if !j.ended {
			st.Open++
		}
	}
	return st
}

// Handler returns the engine's HTTP handler.
func (s *Server) Handler() http.Handler { return s.routes() }
