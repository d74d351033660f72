// Package board holds the state that the components of one router share.
//
// Each part of the state is a Cell. A cell has one owner, which replaces its value as a whole; all others read it
// without a lock.
package board

import (
	"sync"
	"sync/atomic"

	qm "quetzalmount.dev/quetzalmount"
)

// Cell is a shared value that is replaced as a whole. The zero Cell has no value and is ready for use.
type Cell[T any] struct {
	value atomic.Pointer[T]

	mu      sync.Mutex
	changed chan struct{}
}

// Load returns the current value and whether there is one. It takes no lock.
func (c *Cell[T]) Load() (T, bool) {
	p := c.value.Load()
	if p == nil {
		var zero T
		return zero, false
	}
	return *p, true
}

// Store replaces the value and closes the channel of Changed.
func (c *Cell[T]) Store(v T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value.Store(&v)
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Changed returns a channel that is closed at the next Store. To miss no change, get the channel before loading the
// value.
func (c *Cell[T]) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// Board is the shared state of one router.
type Board struct {
	// Table is the configuration in force. Owner: state/config.
	Table Cell[*qm.Config]
	// Members are the routers, including this one. Owner: member/roster.
	Members Cell[qm.Members]
	// Endpoints are the engines and services. Owner: member/roster.
	Endpoints Cell[qm.Endpoints]
	// Routes is the routing configuration in force in deployments that have one. Owner: the adapter that reads it.
	Routes Cell[*qm.Routes]
	// Weights are the weights versions that engines should serve, by model. The map is replaced, never modified. Owner:
	// the adapter that reads it.
	Weights Cell[map[qm.ModelID]qm.DesiredWeights]
	// Leaving is true once this router shuts down. Owner: entry/server.
	Leaving Cell[bool]
}

// New returns an empty board.
func New() *Board { return &Board{} }

// IsLeaving reports whether this router is shutting down.
func (b *Board) IsLeaving() bool {
	v, _ := b.Leaving.Load()
	return v
}

// Endpoint returns what is known of an endpoint, nil if it is not listed.
func (b *Board) Endpoint(id qm.EndpointID) *qm.Endpoint {
	endpoints, _ := b.Endpoints.Load()
	return endpoints.Find(id)
}
