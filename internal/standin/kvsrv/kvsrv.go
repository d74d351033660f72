// Package kvsrv is a fake of the platform's cache store for KV cache blocks, with bounded memory and LRU eviction.
//
// Wire format: PUT /v1/blocks/{key} stores the body, GET /v1/blocks/{key} returns it or 404. GET and PUT /admin/faults take
// Faults; GET /admin/stats answers {"Blocks","Hits","Misses"}.
package kvsrv

import (
	"container/list"
	"io"
	"net/http"
	"sync"
	"time"

	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// maxBlock bounds the size of a block in bytes.
const maxBlock = 16 << 20

// Options describe a store.
type Options struct {
	// CapacityBlocks bounds the number of blocks (10000).
	CapacityBlocks int
	// Transfer is how long one block takes to read or write.
	Transfer time.Duration
}

// Faults are switched on and off while the store runs.
type Faults struct {
	// Down makes requests answer 503.
	Down bool
	// DelayMs is added to each request, in milliseconds.
	DelayMs int64
}

type block struct {
	key  string
	data []byte
}

// Server is a store.
type Server struct {
	opts Options

	mu           sync.Mutex
	faults       Faults
	order        *list.List // of block, most recently used first
	blocks       map[string]*list.Element
	hits, misses int64
}

// New returns an empty store.
func New(opts Options) *Server {
	if opts.CapacityBlocks <= 0 {
		opts.CapacityBlocks = 10000
	}
	return &Server{opts: opts, order: list.New(), blocks: make(map[string]*list.Element)}
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

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/blocks/{key}", s.serve(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBlock))
		if err != nil {
			serve.WriteError(w, http.StatusBadRequest, 0, err.Error())
			return
		}
		s.put(r.PathValue("key"), data)
		w.WriteHeader(http.StatusNoContent)
	}))
	mux.HandleFunc("GET /v1/blocks/{key}", s.serve(func(w http.ResponseWriter, r *http.Request) {
		data, ok := s.get(r.PathValue("key"))
		if !ok {
			serve.WriteError(w, http.StatusNotFound, 0, "no such block")
			return
		}
		_, _ = w.Write(data)
	}))
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		blocks, hits, misses := int64(s.order.Len()), s.hits, s.misses
		s.mu.Unlock()
		serve.WriteJSON(w, http.StatusOK, struct{ Blocks, Hits, Misses int64 }{blocks, hits, misses})
	})
	serve.HandleFaults(mux, s.Faults, s.SetFaults)
	return mux
}

// serve applies the faults and the transfer time before h.
func (s *Server) serve(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults()
		if f.Down {
			serve.WriteError(w, http.StatusServiceUnavailable, 1, "cache store is down")
			return
		}
		if !serve.Sleep(r.Context(), s.opts.Transfer+time.Duration(f.DelayMs)*time.Millisecond) {
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
		s.order.MoveToFront(e)
		return
	}
	for s.order.Len() >= s.opts.CapacityBlocks {
		last := s.order.Back()
		delete(s.blocks, last.Value.(block).key)
		s.order.Remove(last)
	}
	s.blocks[key] = s.order.PushFront(block{key, data})
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
	s.order.MoveToFront(e)
	return e.Value.(block).data, true
}
