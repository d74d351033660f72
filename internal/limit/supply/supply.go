// Package supply bounds the sockets and the memory that the connections and requests of a process take together.
//
// A router needs a socket to an endpoint for each request that it forwards, and memory for both connections and the request. Clients that hold all of it
// would keep the router from serving the others. A part is therefore left for what the process opens itself, and connections of clients that are not in use
// give way to what is needed.
package supply

import (
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// ErrNone is returned if nothing is free.
var ErrNone = errors.New("the process has no room for another connection")

// incomingReserveDivisor gives the part of a supply that connections of clients leave free.
const incomingReserveDivisor = 8

// Sockets and Memory are the sockets and the bytes of this process. Its servers and clients share them.
var (
	Sockets = New(0)
	Memory  = New(0)
)

// Limit is a bound of what is in use of a supply. It is safe for concurrent use.
type Limit struct {
	mu        sync.Mutex
	max, used int64
	// evict closes a connection of a client; nil if there are none.
	evict func() bool
}

// New returns a Limit, 0 for no bound.
func New(limit int64) *Limit { return &Limit{max: limit} }

// SetMax sets the bound, 0 for none.
func (l *Limit) SetMax(limit int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.max = limit
}

// OnFull sets the function that closes a connection of a client and returns what it took. It reports whether there was one that could be closed.
func (l *Limit) OnFull(evict func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evict = evict
}

// TakeIncoming takes n for a connection of a client and reports whether that is free beside the part that is left for others.
func (l *Limit) TakeIncoming(n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take(n, l.max-l.max/incomingReserveDivisor)
}

// TryTake takes n and reports whether that was free.
func (l *Limit) TryTake(n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.take(n, l.max)
}

// Take takes n. If that is not free, connections of clients are closed. The error is ErrNone if that is not enough.
func (l *Limit) Take(n int64) error {
	for !l.TryTake(n) {
		if !l.Evict() {
			return errors.WithStack(ErrNone)
		}
	}
	return nil
}

// Add takes n in any case.
func (l *Limit) Add(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used += n
}

// take takes n if no more than limit is in use then. The caller holds mu.
func (l *Limit) take(n, limit int64) bool {
	if l.max > 0 && l.used+n > limit {
		return false
	}
	l.used += n
	return true
}

// Evict closes a connection of a client, and reports whether there was one that could be closed.
func (l *Limit) Evict() bool {
	l.mu.Lock()
	evict := l.evict
	l.mu.Unlock()
	return evict != nil && evict()
}

// Return returns n.
func (l *Limit) Return(n int64) { l.Add(-n) }

// Used returns what is in use.
func (l *Limit) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// IsExhausted reports whether err means that the process or the machine has no descriptor left, which happens before the bound is reached if the bound is
// too high.
func IsExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
