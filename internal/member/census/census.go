// Package census derives the lists of existing endpoints and routers from registrations and memberships, which expire and are renewed.
//
// If a registration ends while the registry is reachable, the endpoint is gone. If it ends while the registry is unreachable, the endpoint
// may still exist. Such endpoints stay in the list until registrationGrace after the registry is reachable again; by then those that exist
// have registered again. The same holds if the registry returns from an older copy; registrations that the copy has and that were known to
// have ended don't count until the registry had time to drop them. For routers see Members.
package census

import (
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
	// revision is Change.Revision.
	revision int64
	// endedAt is when the registration ended, zero while it is valid.
	endedAt time.Time
	// gone is set if the endpoint is no longer listed.
	gone bool
	// validFrom is the time from which the registration counts, zero for any time.
	validFrom time.Time
}

// endedRetention is the time for which ended registrations are remembered, since a copy from which the registry returns may have them. Copies
// are some seconds old.
const endedRetention = time.Minute

// Registrations holds the registrations of endpoints. It is safe for concurrent use.
type Registrations struct {
	mu            sync.Mutex
	registrations map[qm.EndpointID]registration
	// unreachable is set while the registry can't be reached. reachableSince is when it last became reachable again, zero if it never was
	// unreachable.
	unreachable    bool
	reachableSince time.Time
	// restoredAt is when the registry last returned from an older copy, and restoredUntil the time until which a registration may come from it.
	restoredAt, restoredUntil time.Time
}

// New returns an empty set of registrations.
func New() *Registrations { return &Registrations{registrations: make(map[qm.EndpointID]registration)} }

// Change is a registration of endpoint ID, or the end of its registration if Endpoint is nil.
type Change struct {
	ID       qm.EndpointID
	Endpoint *qm.Endpoint
	// Revision numbers what one incarnation of the endpoint has registered, in ascending order; 0 means unknown.
	Revision int64
}

// Result is the result of a Change.
type Result struct {
	// Before is the endpoint registered before, nil if there was none.
	Before *qm.Endpoint
	// Outdated is set if the registration comes from an older copy and does not count now.
	Outdated bool
}

// Apply applies changes in order and atomically, so that List never returns a part of them: a router that has just started would take that
// part for all endpoints. It returns the result of each change.
func (r *Registrations) Apply(changes []Change, now time.Time) []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Result, len(changes))
	for i, c := range changes {
		reg := r.registrations[c.ID]
		if !reg.gone {
			out[i].Before = reg.endpoint
		}
		switch {
		case c.Endpoint == nil:
			r.end(c.ID, now)
		case !now.Before(r.restoredUntil) || !reg.outdates(c, r.restoredAt):
			r.registrations[c.ID] = registration{endpoint: c.Endpoint, revision: c.Revision}
		case !reg.endedAt.IsZero():
			r.registrations[c.ID] = registration{endpoint: c.Endpoint, revision: c.Revision, validFrom: r.restoredUntil}
			out[i].Outdated = true
		default:
			out[i].Outdated = true
		}
	}
	return out
}

// outdates reports whether what was known of the endpoint's incarnation before the registry returned from a copy is newer than c, or the end
// of c. The end of a registration that the copy lacks is not known to be later.
func (r registration) outdates(c Change, restoredAt time.Time) bool {
	if r.endpoint == nil || r.endpoint.Incarnation != c.Endpoint.Incarnation || c.Revision == 0 {
		return false
	}
	endedBefore := !r.endedAt.IsZero() && r.endedAt.Before(restoredAt)
	return c.Revision < r.revision || c.Revision == r.revision && endedBefore
}

// Restored records that the registry has returned from an older copy. A registration that the copy has although it is known to have ended
// counts if the registry still has it after dropTime, the time in which the registry drops endpoints that are gone.
func (r *Registrations) Restored(now time.Time, dropTime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reachableSince, r.restoredAt, r.restoredUntil = now, now, now.Add(dropTime)
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
func (r *Registrations) RemoveMissing(listed map[qm.EndpointID]bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, reg := range r.registrations {
		if !listed[id] {
			r.end(id, now)
			reg = r.registrations[id]
			reg.gone = true
			r.registrations[id] = reg
		}
	}
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

// List returns the endpoints that exist, ordered by ID.
func (r *Registrations) List(now time.Time) []*qm.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	inGrace := r.inGrace(now)
	out := make([]*qm.Endpoint, 0, len(r.registrations))
	for id, reg := range r.registrations {
		switch {
		case now.Before(reg.validFrom):
			continue
		case reg.endedAt.IsZero():
		case reg.gone && now.Sub(reg.endedAt) >= endedRetention:
			delete(r.registrations, id)
			continue
		case reg.gone || !inGrace:
			reg.gone = true
			r.registrations[id] = reg
			continue
		}
		out = append(out, reg.endpoint)
	}
	slices.SortFunc(out, func(a, b *qm.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
