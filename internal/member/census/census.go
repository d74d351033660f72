// Package census derives the lists of existing endpoints and routers from registrations and memberships, which expire and are renewed.
//
// If a registration ends while the registry is reachable, the endpoint is gone. If it ends while the registry is unreachable, the endpoint
// may still exist. Such endpoints stay in the list until registrationGrace after the registry is reachable again; by then those that exist
// have registered again. For routers see Members.
package census

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// registrationGrace is the time within which an existing endpoint registers again after the registry is reachable again. The users'
// requirements state two seconds.
const registrationGrace = 2 * time.Second

// registration is the registration of one endpoint.
type registration struct {
	endpoint *qm.Endpoint
	// endedAt is when the registration ended, zero while it is valid.
	endedAt time.Time
}

// Registrations holds the registrations of endpoints. It is safe for concurrent use.
type Registrations struct {
	mu            sync.Mutex
	registrations map[qm.EndpointID]registration
	// unreachable is set while the registry can't be reached. reachableSince is when it last became reachable again, zero if it never was
	// unreachable.
	unreachable    bool
	reachableSince time.Time
}

// New returns an empty set of registrations.
func New() *Registrations { return &Registrations{registrations: make(map[qm.EndpointID]registration)} }

// Change is a registration of endpoint ID, or the end of its registration if Endpoint is nil.
type Change struct {
	ID       qm.EndpointID
	Endpoint *qm.Endpoint
}

// Apply applies changes in order and atomically, so that List never returns a part of them: a router that has just started would take that
// part for all endpoints. It returns the endpoint registered before each change, nil if there was none.
func (r *Registrations) Apply(changes []Change, now time.Time) []*qm.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := make([]*qm.Endpoint, len(changes))
	for i, c := range changes {
		old[i] = r.registrations[c.ID].endpoint
		if c.Endpoint != nil {
			r.registrations[c.ID] = registration{endpoint: c.Endpoint}
		} else {
			r.end(c.ID, now)
		}
	}
	return old
}

// end records the end of a registration. The caller holds mu.
func (r *Registrations) end(id qm.EndpointID, now time.Time) {
	reg, ok := r.registrations[id]
	if !ok || !reg.endedAt.IsZero() {
		return
	}
	reg.endedAt = now
	r.registrations[id] = reg
}

// EndMissing ends the registrations whose endpoint is not in listed, the complete list of registered endpoints.
func (r *Registrations) EndMissing(listed map[qm.EndpointID]bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.registrations {
		if !listed[id] {
			r.end(id, now)
		}
	}
}

// RemoveMissing removes the registrations whose endpoint is not in listed, the complete list from a router that can reach the registry.
// They get no grace period.
func (r *Registrations) RemoveMissing(listed map[qm.EndpointID]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.registrations, func(id qm.EndpointID, _ registration) bool { return !listed[id] })
}

// SetReachable records whether the registry can be reached, and reports whether that changed.
func (r *Registrations) SetReachable(ok bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok == !r.unreachable {
		return false
	}
	r.unreachable = !ok
	if ok {
		r.reachableSince = now
	}
	return true
}

// IsComplete reports whether every existing endpoint is registered: the registry is reachable, and has been for registrationGrace if it was
// unreachable before.
func (r *Registrations) IsComplete(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.inGrace(now)
}

// inGrace reports whether endpoints may exist whose registration has ended. The caller holds mu.
func (r *Registrations) inGrace(now time.Time) bool {
	return r.unreachable || !r.reachableSince.IsZero() && now.Before(r.reachableSince.Add(registrationGrace))
}

// List returns the endpoints that exist, ordered by ID, and deletes the registrations of those that are gone.
func (r *Registrations) List(now time.Time) []*qm.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	inGrace := r.inGrace(now)
	out := make([]*qm.Endpoint, 0, len(r.registrations))
	for id, reg := range r.registrations {
		if !reg.endedAt.IsZero() && !inGrace {
			delete(r.registrations, id)
			continue
		}
		out = append(out, reg.endpoint)
	}
	slices.SortFunc(out, func(a, b *qm.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
