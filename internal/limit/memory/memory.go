// Package memory limits the bytes that the bodies of requests take in memory at the same time.
package memory

import (
	"sync"
	"time"

	"quetzalmount.dev/quetzalmount/internal/limit/supply"
)

const (
	// instanceShare is the share of an instance's memory that bodies may take.
	instanceShare = 1.0 / 8
	// aloneShare is the largest size of a body that is alone, as a multiple of what all large ones may take. It makes room for a configuration that
	// permits bodies above that. idleShare is what other bodies take at most then, as a share of the same.
	aloneShare = 3
	idleShare  = 0.25
	// smallBytes is the size up to which a body counts as small. Prompts of tens of thousands of tokens are smaller.
	smallBytes = 64 << 10
	// evictTimeout is the longest time to wait for the bytes of a body whose request is broken off to make room.
	evictTimeout = 100 * time.Millisecond
)

// Limit is a limit of the bytes in memory. Large bodies may take instanceShare of the memory of an instance, and small ones as much again, so that
// large ones do not keep them out. A single larger body is let in while there are hardly any others. It is safe for concurrent use.
type Limit struct {
	max int64

	mu   sync.Mutex
	used int64
	// returned is closed when bytes are returned, nil if nobody waits for that.
	returned chan struct{}
	evict    func() bool
	// supply is what bodies share with others, nil for none.
	supply *supply.Limit
}

// New returns a Limit for an instance with a memory in bytes.
func New(instance int64) *Limit { return &Limit{max: int64(float64(instance) * instanceShare)} }

// Within makes the bytes of bodies count in a supply too.
func (l *Limit) Within(s *supply.Limit) *Limit {
	l.supply = s
	return l
}

// OnFull sets a function that breaks off a request whose body does not come to its end, and reports whether there was one. Its bytes are returned soon
// after.
func (l *Limit) OnFull(evict func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evict = evict
}

// Take takes n bytes of a body and reports whether they were free. size is the size of the body with these bytes. If they are not free, a request whose
// body does not come to its end gives way.
func (l *Limit) Take(n, size int64) bool {
	for end := time.Now().Add(evictTimeout); !l.take(n, size); {
		if !l.makeRoom(time.Until(end)) {
			return false
		}
	}
	return true
}

// makeRoom breaks off a request and waits until bytes are returned, for at most timeout. It returns false if there was no such request or none returned
// bytes in time.
func (l *Limit) makeRoom(timeout time.Duration) bool {
	l.mu.Lock()
	if l.returned == nil {
		l.returned = make(chan struct{})
	}
	evict, returned := l.evict, l.returned
	l.mu.Unlock()
	if evict == nil || !evict() {
		return false
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-returned:
		return true
	case <-t.C:
		return false
	}
}

// take takes n bytes if they are free. Connections that are not in use give way to bodies.
func (l *Limit) take(n, size int64) bool {
	if !l.takeOwn(n, size) {
		return false
	}
	if l.supply != nil && l.supply.Take(n) != nil {
		l.returnOwn(n)
		return false
	}
	return true
}

// takeOwn takes n of the bytes for bodies.
func (l *Limit) takeOwn(n, size int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.max
	others := l.used - (size - n)
	switch {
	case size <= smallBytes:
		limit *= 2
	case float64(others) <= idleShare*float64(l.max):
		limit = others + aloneShare*l.max
	}
	if l.used+n > limit {
		return false
	}
	l.used += n
	return true
}

// Return returns n bytes that were taken.
func (l *Limit) Return(n int64) {
	if l.supply != nil {
		l.supply.Return(n)
	}
	l.returnOwn(n)
}

func (l *Limit) returnOwn(n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= n
	if l.returned != nil {
		close(l.returned)
		l.returned = nil
	}
}

// Used returns the number of bytes that are taken.
func (l *Limit) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}
