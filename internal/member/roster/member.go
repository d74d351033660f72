package roster

import (
	"slices"
	"strings"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/logs"
)

// member is what is known of a router.
type member struct {
	view qm.Member
	// listedLeaving, saidLeaving and suspect make up the state. saidLeaving belongs to one incarnation.
	listedLeaving, saidLeaving, suspect bool
	// heard is when the router itself last sent something.
	heard time.Time
	// version orders the states that arrive over several ways.
	version int64
}

func (m *member) state() qm.MemberState {
	switch {
	case m.listedLeaving, m.saidLeaving:
		return qm.Leaving
	case m.suspect:
		return qm.Suspect
	}
	return qm.Live
}

// PeerState is what a router says about itself, directly or passed on by others.
type PeerState struct {
	Instance    qm.InstanceID
	Incarnation qm.Incarnation
	TableOffset qm.Offset
	Leaving     bool
	// Version grows with each change. It starts at the time of the process's start, so that it orders incarnations too.
	Version int64
}

// mergeMembers takes the routers of the list. Routers that the list dropped are forgotten. The caller holds r.mu.
func (r *Roster) mergeMembers(list []qm.Member) {
	seen := map[qm.InstanceID]bool{r.opts.Self.Instance: true}
	for _, l := range list {
		seen[l.Instance] = true
		if l.Instance == r.opts.Self.Instance {
			continue
		}
		m := r.members[l.Instance]
		if m == nil {
			m = &member{}
			r.members[l.Instance] = m
		}
		m.listedLeaving = l.State == qm.Leaving
		l.Incarnation, l.TableOffset, l.IsSelf = m.view.Incarnation, m.view.TableOffset, false
		r.setMember(m, l)
	}
	for id := range r.members {
		if !seen[id] {
			r.opts.Log.Info("router forgotten", logs.Peer, id, "HeardAgeMs", ageMs(r.members[id].heard))
			delete(r.members, id)
			r.newMembers, r.moved = true, true
		}
	}
}

// setMember replaces the view of a member, with the state that follows from what is known. The caller holds r.mu.
func (r *Roster) setMember(m *member, view qm.Member) {
	view.State = m.state()
	if view.State != m.view.State && !view.IsSelf {
		r.opts.Log.Info("router state", logs.Peer, view.Instance, "Address", view.PeerAddress, "From", m.view.State, "To", view.State,
			"ListedLeaving", m.listedLeaving, "SaidLeaving", m.saidLeaving, "Suspect", m.suspect, "HeardAgeMs", ageMs(m.heard), logs.Offset, view.TableOffset)
	}
	if m.view.Incarnation != "" && view.Incarnation != m.view.Incarnation {
		r.opts.Log.Info("router restarted", logs.Peer, view.Instance, "From", m.view.Incarnation, "To", view.Incarnation)
	}
	r.moved = r.moved || m.view.State != view.State
	if m.view != view {
		m.view = view
		r.newMembers = true
	}
}

// PeerSaid takes the state of a router. direct tells that the router itself sent it, which proves that it is alive. It
// reports whether the state was new. Older states are ignored, and so are routers that the list
// does not name, because their address is not known.
func (r *Roster) PeerSaid(s PeerState, direct bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[s.Instance]
	if m == nil || m.view.IsSelf {
		return false
	}
	if direct {
		m.suspect, m.heard = false, time.Now()
	}
	// The router itself is believed about its incarnation even if its clock was set back. A third router may pass on the
	// state of an incarnation that has ended, so that its word counts only for a higher version.
	fresh := s.Version > m.version || direct && m.view.Incarnation != s.Incarnation
	view := m.view
	if fresh {
		view.Incarnation, view.TableOffset = s.Incarnation, s.TableOffset
		m.version, m.saidLeaving = s.Version, s.Leaving
	}
	before := m.view.State
	r.setMember(m, view)
	// Copying the members for each offset that is passed on would cost more than all the rest of an exchange, so that only
	// a changed state or the end of a message, which is the direct state, publishes.
	if direct || m.view.State != before {
		r.publish()
	}
	return fresh
}

// PeerFailed tells that a router did not answer a call that began at a time, and reports whether that was news. It stays
// suspect until it answers. A call that began before the router was last heard proves nothing.
func (r *Roster) PeerFailed(id qm.InstanceID, began time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	if m == nil || m.view.IsSelf || m.suspect || m.heard.After(began) {
		return false
	}
	m.suspect = true
	r.setMember(m, m.view)
	r.publish()
	return true
}

// memberViews returns the members ordered by id. The caller holds r.mu.
func (r *Roster) memberViews() qm.Members {
	out := make(qm.Members, 0, len(r.members))
	for _, m := range r.members {
		out = append(out, m.view)
	}
	slices.SortFunc(out, func(a, b qm.Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return out
}
