// Package kvsrv implements a fake of the platform's store for KV cache blocks, with limited memory and LRU eviction.
//
// PUT /v1/blocks/{key} stores the body. GET /v1/blocks/{key} returns it, or 404. GET and PUT /admin/faults read and replace
// Faults. GET /admin/stats answers {"Blocks","Hits","Misses"}.
package kvsrv

import (
	"container/list"
	"io"
	"net/http"
	"sync"
	"time"

	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

const maxBlockBytes = 16 << 20

// Options configures a store. New replaces zero values by the defaults given in parentheses.
type Options struct {
	// CapacityBlocks is the maximum number of blocks (10,000).
	CapacityBlocks int
	// TransferTime is the time to read or write one block.
	TransferTime time.Duration
}

// Faults configures fault injection. It can be changed while the store runs.
type Faults struct {
	// Down makes the store answer requests with 503.
	Down bool
	// DelayMs is the additional delay of each request in milliseconds.
	DelayMs int64
}

type block struct {
	key  string
	data []byte
}

// Server is a fake cache store.
type Server struct {
	opts Options

	mu           sync.Mutex
	faults       Faults
	lru          *list.List // of block, most recently used first
	blocks       map[string]*list.Element
	hits, misses int64
}

// New returns an empty store.
func New(opts Options) *Server {
	if opts.CapacityBlocks <= 0 {
		opts.CapacityBlocks = 10000
	}
	return &Server{opts: opts, lru: list.New(), blocks: make(map[string]*list.Element)}
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

// Handler returns the HTTP handler of the store.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/blocks/{key}", s.withFaults(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBlockBytes))
		if err != nil {
			serve.WriteError(w, http.StatusBadRequest, 0, err.Error())
			return
		}
		s.put(r.PathValue("key"), data)
		w.WriteHeader(http.StatusNoContent)
	}))
	mux.HandleFunc("GET /v1/blocks/{key}", s.withFaults(func(w http.ResponseWriter, r *http.Request) {
		data, ok := s.get(r.PathValue("key"))
		if !ok {
			serve.WriteError(w, http.StatusNotFound, 0, "no such block")
			return
		}
		_, _ = w.Write(data)
	}))
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		blocks, hits, misses := int64(s.lru.Len()), s.hits, s.misses
		s.mu.Unlock()
		serve.WriteJSON(w, http.StatusOK, struct{ Blocks, Hits, Misses int64 }{blocks, hits, misses})
	})
	serve.HandleFaults(mux, s.Faults, s.SetFaults)
	return mux
}

// withFaults returns a handler that applies the faults and the transfer time before it calls h.
func (s *Server) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults()
		if f.Down {
			serve.WriteError(w, http.StatusServiceUnavailable, 1, "cache store is down")
			return
		}
		if !serve.Sleep(r.Context(), s.opts.TransferTime+time.Duration(f.DelayMs)*time.Millisecond) {
			serve.Abort()
		}
		h(w, r)
	}
}

func (s *Server) put(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.blocks[key]; ok {
		e.Value = block{key, data}
		s.lru.MoveToFront(e)
		return
	}
	for s.lru.Len() >= s.opts.CapacityBlocks {
		last := s.lru.Back()
		delete(s.blocks, last.Value.(block).key)
		s.lru.Remove(last)
	}
	s.blocks[key] = s.lru.PushFront(block{key, data})
}

func (s *Server) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.blocks[key]
	if !ok {
		s.misses++
		return nil, false
	}
	s.hits++
	s.lru.MoveToFront(e)
	return e.Value.(block).data, true
}
