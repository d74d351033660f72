// Package census folds the registrations of endpoints, which expire and come back, into the list of those that exist.
//
// A registration that ends while the registry can be reached means that the endpoint is gone. One that ends while the registry was
// away says little: endpoints that live register again soon after its return, so that they are kept until then.
package census

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// returnTime is how long after the return of the registry an endpoint that lives has registered again: two seconds by the users'
// second letter.
const returnTime = 2 * time.Second

// entry is one registration.
type entry struct {
	endpoint *qm.Endpoint
	// dropped is when the registration ended, zero while it holds.
	dropped time.Time
}

// Census is the list of endpoints. It is safe for concurrent use.
type Registrations struct {
	mu      sync.Mutex
	entries map[qm.EndpointID]entry
	// away tells that the registry can't be reached, returned when it was reached again last.
	away     bool
	returned time.Time
}

// New returns an empty census.
func New() *Registrations { return &Registrations{entries: make(map[qm.EndpointID]entry)} }

// Change is a registration, or its end if Endpoint is nil.
type Change struct {
	ID       qm.EndpointID
	Endpoint *qm.Endpoint
}

// Take takes changes in order, all at once, so that no list shows a part of them: a router that has just started would seem to know all
// endpoints. It returns the registration before each change, nil if there was none.
func (c *Registrations) Apply(changes []Change, now time.Time) []*qm.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := make([]*qm.Endpoint, len(changes))
	for i, ch := range changes {
		old[i] = c.entries[ch.ID].endpoint
		if ch.Endpoint != nil {
			c.entries[ch.ID] = entry{endpoint: ch.Endpoint}
		} else {
			c.drop(ch.ID, now)
		}
	}
	return old
}

// drop takes the end of a registration. The caller holds mu.
func (c *Registrations) drop(id qm.EndpointID, now time.Time) {
	e, ok := c.entries[id]
	if !ok || !e.dropped.IsZero() {
		return
	}
	e.dropped = now
	c.entries[id] = e
}

// Keep takes a whole list of registrations: those that it does not name have ended.
func (c *Registrations) EndMissing(named map[qm.EndpointID]bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.entries {
		if !named[id] {
			c.drop(id, now)
		}
	}
}

// Only takes a whole list of registrations from somebody who reaches the registry: others are gone.
func (c *Registrations) RemoveMissing(named map[qm.EndpointID]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.entries, func(id qm.EndpointID, _ entry) bool { return !named[id] })
}

// Reached tells whether the registry was reached, and reports whether that changed.
func (c *Registrations) SetReachable(ok bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok == !c.away {
		return false
	}
	c.away = !ok
	if ok {
		c.returned = now
	}
	return true
}

// List returns the endpoints that exist, ordered by id, and forgets those that are gone.
func (c *Registrations) List(now time.Time) []*qm.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	graced := c.away || (!c.returned.IsZero() && now.Before(c.returned.Add(returnTime)))
	out := make([]*qm.Endpoint, 0, len(c.entries))
	for id, e := range c.entries {
		if !e.dropped.IsZero() && !graced {
			delete(c.entries, id)
			continue
		}
		out = append(out, e.endpoint)
	}
	slices.SortFunc(out, func(a, b *qm.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
