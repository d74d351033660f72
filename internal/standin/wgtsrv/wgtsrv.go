// Package wgtsrv is a fake of the platform's rate-limited weight store. Two engines load at full speed; more share the
// same bandwidth, so each of them takes longer.
//
// Wire format: GET /v1/weights/{model}/{version} answers with the weights, or with 429 and Retry-After above the request
// rate. GET and PUT /admin/faults take Faults; GET /admin/stats answers {"Active","Loads"}.
package wgtsrv

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

const (
	// fullSpeed is the number of loads that share the bandwidth without slowing each other down, from the users' brief.
	fullSpeed = 2
	// parts is the number of pieces that an answer is sent in.
	parts = 100
	// partSize is the size of a piece in bytes. The stand-in's weights are small; their time is what is imitated.
	partSize = 256
)

// Options describe a store.
type Options struct {
	// Load is how long one load takes at full speed (2 s).
	Load time.Duration
	// RequestsPerSecond bounds the rate of requests. 0 means no bound.
	RequestsPerSecond float64
}

// Faults are switched on and off while the store runs.
type Faults struct {
	// Down makes requests answer 503.
	Down bool
}

// Server is a store.
type Server struct {
	opts  Options
	limit *rate.Limiter

	mu     sync.Mutex
	faults Faults
	active int
	loads  int64
}

// New returns a store.
func New(opts Options) *Server {
	if opts.Load <= 0 {
		opts.Load = 2 * time.Second
	}
	limit := rate.NewLimiter(rate.Inf, 1)
	if opts.RequestsPerSecond > 0 {
		limit = rate.NewLimiter(rate.Limit(opts.RequestsPerSecond), int(opts.RequestsPerSecond)+1)
	}
	return &Server{opts: opts, limit: limit}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Loads returns the number of complete loads.
func (s *Server) Loads() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{model}/{version}", s.serveWeights)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		active, loads := s.active, s.loads
		s.mu.Unlock()
		serve.WriteJSON(w, http.StatusOK, struct{ Active, Loads int64 }{int64(active), loads})
	})
	serve.HandleFaults(mux, s.Faults, s.SetFaults)
	return mux
}

// change adds n to the number of loads in progress.
func (s *Server) change(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}

// partTime returns how long the next piece takes while the bandwidth is shared as it is now.
func (s *Server) partTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.Load * time.Duration(max(s.active, fullSpeed)) / (parts * fullSpeed)
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	if s.Faults().Down {
		serve.WriteError(w, http.StatusServiceUnavailable, 1, "weight store is down")
		return
	}
	if !s.limit.Allow() {
		serve.WriteError(w, http.StatusTooManyRequests, 1, "request rate exceeded")
		return
	}
	s.change(1)
	defer s.change(-1)
	w.Header().Set("Content-Length", strconv.Itoa(parts*partSize))
	piece := make([]byte, partSize)
	for range parts {
		if !serve.Sleep(r.Context(), s.partTime()) {
			serve.Abort()
		}
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
}
