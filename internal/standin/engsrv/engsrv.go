// Package engsrv is a fake model engine: continuous batching over a number of slots, a prefix cache with limited memory,
// numbered streams that can be resumed and cancelled, cache events, a lagging load report, commands, and faults.
//
// Wire format, HTTP with JSON. Every answer carries X-Request-Id (the request's id, or the header of the request) and
// X-Incarnation.
//
//	POST /v1/chat/completions      Completion; answers with server-sent events, see below
//	GET  /v1/streams/{id}?from=n   the same stream again from chunk n on; 404 if the engine does not know it
//	DELETE /v1/streams/{id}        cancels the request; 204, or 404
//	GET  /v1/load                  Report
//	GET  /v1/events?from=seq&max=n {"Incarnation","First","Next","Events":[{"Seq","Kind","Block"}]}
//	PUT  /v1/desired               Desired; 409 for a stale fencing token, 503 while commands are refused
//	POST /v1/kv/export, /v1/kv/import  Transfer; answers Moved
//	GET, PUT /admin/faults         Faults
//	PUT  /admin/leaving            {"Leaving":bool}
//	GET  /admin/stats              Stats
//
// A stream consists of events "id: <number>" with one chunk of the completions protocol each, numbered from 0, and ends
// with "data: [DONE]". The first chunk sent on a connection has "cached_tokens"; the last chunk of the answer has "usage".
// The engine refuses requests with 429 while its queue is full, and with 503 while it loads weights or is leaving. A second
// POST with a known request_id joins the running stream, or gets 409 if that stream began at a later chunk.
package engsrv

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Options describe an engine. New fills in defaults for zero values as stated.
type Options struct {
	Model    qm.ModelID
	Version  qm.VersionID
	Adapters []qm.AdapterID
	Role     string
	// Slots is the batch size (8), QueueLength the number of requests that may wait for a slot; 0 lets none wait.
	Slots, QueueLength int
	CapacityBlocks     int
	// PrefillPerToken is the time for a prompt token that is not cached, DecodePerToken the time for a generated one.
	PrefillPerToken, DecodePerToken time.Duration
	// LoadLag is the age of the load report, EventDelay that of the newest cache event that can be read.
	LoadLag, EventDelay time.Duration
	// Fences makes the engine refuse stale fencing tokens.
	Fences bool
	// Weights and Cache are the addresses of the stores. Without a weight store a load takes LoadTime (2 s).
	Weights, Cache string
	LoadTime       time.Duration
	// ResumeTime is how long a stream without a connection and an ended stream are kept (10 s).
	ResumeTime time.Duration
	// Random returns numbers in [0, 1) that decide which events are lost.
	Random func() float64
}

// Server is an engine. Its incarnations follow each other at crashes.
type Server struct {
	opts Options
	ctx  context.Context
	stop context.CancelFunc

	wg sync.WaitGroup // goroutines of crashed incarnations

	mu        sync.Mutex
	core      *core
	faults    Faults
	stalled   chan struct{} // closed when the connections open at that time stall
	downUntil time.Time
}

// New returns an engine that runs until Close.
func New(opts Options) *Server {
	if opts.Slots <= 0 {
		opts.Slots = 8
	}
	if opts.LoadTime <= 0 {
		opts.LoadTime = 2 * time.Second
	}
	if opts.ResumeTime <= 0 {
		opts.ResumeTime = 10 * time.Second
	}
	if opts.Random == nil {
		opts.Random = rand.Float64
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{opts: opts, ctx: ctx, stop: stop, stalled: make(chan struct{})}
	s.core = s.incarnate()
	return s
}

func (s *Server) incarnate() *core {
	return newCore(s.ctx, &s.opts, s.slowness, s.loses)
}

// Close ends all requests and waits for them.
func (s *Server) Close() error {
	s.stop()
	s.now().close()
	s.wg.Wait()
	return nil
}

// now returns the current incarnation.
func (s *Server) now() *core {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core
}

// Crash drops all state and breaks all connections. The engine answers again after down, with a new incarnation.
func (s *Server) Crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wg.Go(s.core.close)
	s.core.cancel()
	s.core = s.incarnate()
	s.downUntil = time.Now().Add(down)
}

// Stall stalls the connections that are open now. New ones work.
func (s *Server) Stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stalled)
	s.stalled = make(chan struct{})
}

// Leave sets or clears the leaving state: a leaving engine finishes its streams and takes no new request.
func (s *Server) Leave(on bool) {
	c := s.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = on
}

// Incarnation returns the current incarnation.
func (s *Server) Incarnation() qm.Incarnation { return s.now().inc }

// Stats are counters of the current incarnation that no published endpoint shows.
type Stats struct {
	Incarnation qm.Incarnation
	// Requests is the number of requests taken in, Open that of those not yet ended.
	Requests, Open int64
	// Missed is the number of prompt tokens computed.
	Missed qm.Tokens
	// StaleHits counts cache hits on blocks that other weights computed. It stays 0 if the salt covers the version.
	StaleHits int64
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	c := s.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	st := Stats{Incarnation: c.inc, Requests: c.seq, Missed: c.missed, StaleHits: c.stale}
	for _, j := range c.jobs {
		if !j.ended {
			st.Open++
		}
	}
	return st
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler { return s.routes() }
