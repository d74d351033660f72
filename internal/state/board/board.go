// Package board holds the blackboard: the facts that controllers of one router share.
//
// Each fact is a Cell. A cell has one owner that replaces its value as a whole; everybody else reads it without a lock.
package board

import (
	"sync"

	"sync/atomic"

	qm "quetzalmount.dev/quetzalmount"
)

// Cell is a shared value that is replaced as a whole. The zero Cell is empty and ready for use.
type Cell[T any] struct {
	value atomic.Pointer[T]

	mu      sync.Mutex
	changed chan struct{}
}

// Load returns the current value and whether there is one.
func (c *Cell[T]) Load() (T, bool) {
	p := c.value.Load()
	if p == nil {
		var zero T
		return zero, false
	}
	return *p, true
}

// Store replaces the value and wakes everybody who waits on Changed.
func (c *Cell[T]) Store(v T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value.Store(&v)
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Changed returns a channel that is closed at the next Store. To miss no change, get the channel before the value.
func (c *Cell[T]) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// Board is the blackboard of one router.
type Board struct {
	// Table is the configuration in force. Owner: state/config.
	Table Cell[*qm.Config]
	// Members are the routers, this one included. Owner: member/roster.
	Members Cell[qm.Members]
	// Endpoints are the engines and plain services. Owner: member/roster.
	Endpoints Cell[qm.Endpoints]
	// Routes is the routing configuration in force, for deployments that have one. Owner: the adapter that reads it.
	Routes Cell[*qm.Routes]
	// Weights are the versions that engines should have. The map is replaced, never changed. Owner: the adapter that reads it.
	Weights Cell[map[qm.ModelID]qm.DesiredWeights]
	// Leaving is set when this router stops. Owner: entry/server.
	Leaving Cell[bool]
}

// New returns an empty board.
func New() *Board { return &Board{} }

// IsLeaving reports whether this router stops.
func (b *Board) IsLeaving() bool {
	v, _ := b.Leaving.Load()
	return v
}
