// Package wgtsrv implements a fake of the platform's rate-limited weight store. Up to two engines load weights at full speed.
// More engines share the same bandwidth, so that each load takes longer.
//
// GET /v1/weights/{model}/{version} answers with the weights, or with 429 and Retry-After above the request rate. GET and PUT
// /admin/faults read and replace Faults. GET /admin/stats answers {"Active","Loads"}.
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
	// maxFullSpeedLoads is the number of concurrent loads that don't slow each other down, as the users specify it.
	maxFullSpeedLoads = 2
	// numChunks is the number of chunks in which a response is sent.
	numChunks = 100
	// chunkBytes is small because the fake reproduces only the load time of weights, not their size.
	chunkBytes = 256
)

// Options configures a store. New replaces zero values by the defaults given in parentheses.
type Options struct {
	// LoadTime is the time that one load takes at full speed (2 s).
	LoadTime time.Duration
	// RequestsPerSecond limits the rate of requests. 0 means no limit.
	RequestsPerSecond float64
}

// Faults configures fault injection. It can be changed while the store runs.
type Faults struct {
	// Down makes the store answer requests with 503.
	Down bool
}

// Server is a fake weight store.
type Server struct {
	opts    Options
	limiter *rate.Limiter

	mu     sync.Mutex
	faults Faults
	active int
	loads  int64
}

// New returns a store.
func New(opts Options) *Server {
	if opts.LoadTime <= 0 {
		opts.LoadTime = 2 * time.Second
	}
	limiter := rate.NewLimiter(rate.Inf, 1)
	if opts.RequestsPerSecond > 0 {
		limiter = rate.NewLimiter(rate.Limit(opts.RequestsPerSecond), int(opts.RequestsPerSecond)+1)
	}
	return &Server{opts: opts, limiter: limiter}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Loads returns the number of completed loads.
func (s *Server) Loads() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// Handler returns the HTTP handler of the store.
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

// addActive adds n to the number of loads in progress.
func (s *Server) addActive(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}

// chunkTime returns the time to send the next chunk at the current number of loads.
func (s *Server) chunkTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.LoadTime * time.Duration(max(s.active, maxFullSpeedLoads)) / (numChunks * maxFullSpeedLoads)
}

func (s *Server) serveWeights(w http.ResponseWriter, r *http.Request) {
	if s.Faults().Down {
		serve.WriteError(w, http.StatusServiceUnavailable, 1, "weight store is down")
		return
	}
	if !s.limiter.Allow() {
		serve.WriteError(w, http.StatusTooManyRequests, 1, "request rate exceeded")
		return
	}
	s.addActive(1)
	defer s.addActive(-1)
	w.Header().Set("Content-Length", strconv.Itoa(numChunks*chunkBytes))
	chunk := make([]byte, chunkBytes)
	for range numChunks {
		if !serve.Sleep(r.Context(), s.chunkTime()) {
			serve.Abort()
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
}
