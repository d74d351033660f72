package roster

import (
	"slices"
	"strings"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/logs"
)

// member is the state kept for one router.
type member struct {
	view qm.Member
	// listedLeaving, reportedLeaving and suspect determine the state. reportedLeaving applies to one incarnation.
	listedLeaving, reportedLeaving, suspect bool
	// lastContact is when the router itself last sent a message.
	lastContact time.Time
	// failedAt is the time of the newest failure that another router reported.
	failedAt time.Time
	// version is the PeerState.Version of the newest applied state. It orders states that arrive through different peers.
	version int64
}

func (m *member) state() qm.MemberState {
	switch {
	case m.listedLeaving, m.reportedLeaving:
		return qm.Leaving
	case m.suspect:
		return qm.Suspect
	}
	return qm.Live
}

// PeerState is the state that a router reports about itself, received from the router or through a peer.
type PeerState struct {
	Instance    qm.InstanceID
	Incarnation qm.Incarnation
	TableOffset qm.Offset
	Leaving     bool
	// Version increases with each change. It starts at the start time of the process in Unix milliseconds, so that it orders incarnations
	// too.
	Version int64
}

// mergeMembers applies the routers of the instance list and removes those that it no longer contains, or that are unlisted and not known to
// be live. The caller holds r.mu.
func (r *Roster) mergeMembers(list []qm.Member) {
	seen := map[qm.InstanceID]bool{r.opts.Self.Instance: true}
	for _, l := range list {
		if known := r.members[l.Instance]; l.Unlisted && (known == nil || known.state() != qm.Live) {
			continue
		}
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
			r.opts.Log.Info("router forgotten", logs.Peer, id, "HeardAgeMs", ageMs(r.members[id].lastContact))
			delete(r.members, id)
			r.membersChanged, r.assignmentStale = true, true
		}
	}
}

// setMember replaces the view of a member and sets its state from the member's flags. The caller holds r.mu.
func (r *Roster) setMember(m *member, view qm.Member) {
	view.State = m.state()
	if view.State != m.view.State && !view.IsSelf {
		r.opts.Log.Info("router state", logs.Peer, view.Instance, "Address", view.PeerAddress, "From", m.view.State, "To", view.State,
			"ListedLeaving", m.listedLeaving, "SaidLeaving", m.reportedLeaving, "Suspect", m.suspect, "HeardAgeMs", ageMs(m.lastContact), logs.Offset, view.TableOffset)
	}
	if m.view.Incarnation != "" && view.Incarnation != m.view.Incarnation {
		r.opts.Log.Info("router restarted", logs.Peer, view.Instance, "From", m.view.Incarnation, "To", view.Incarnation)
	}
	r.assignmentStale = r.assignmentStale || m.view.State != view.State
	if m.view != view {
		m.view = view
		r.membersChanged = true
	}
}

// ApplyPeerState applies the state of a router and reports whether it was new. direct means that the router itself sent it, which proves
// that the router is alive. Older states are ignored, and so are routers that the instance list does not contain, because their address is
// unknown.
func (r *Roster) ApplyPeerState(s PeerState, direct bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[s.Instance]
	if m == nil || m.view.IsSelf {
		return false
	}
	if direct {
		m.suspect, m.lastContact = false, time.Now()
	}
	// A router's own message determines its incarnation even if the router's clock was set back. A third router may pass on the state of an
	// incarnation that has ended, so its message counts only with a higher version.
	fresh := s.Version > m.version || direct && m.view.Incarnation != s.Incarnation
	view := m.view
	if fresh {
		view.Incarnation, view.TableOffset = s.Incarnation, s.TableOffset
		m.version, m.reportedLeaving = s.Version, s.Leaving
	}
	before := m.view.State
	r.setMember(m, view)
	// Publishing copies all members. Doing so for each offset that is passed on would cost more than the rest of an exchange, so only a
	// changed state or a direct state, which ends a message, is published.
	if direct || m.view.State != before {
		r.publish()
	}
	return fresh
}

// MarkPeerFailed records that a router did not answer a call that began at the given time, and reports whether the router became suspect.
// It stays suspect until it answers. A call that began before the last message of the router is ignored.
func (r *Roster) MarkPeerFailed(id qm.InstanceID, began time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	if m == nil || m.view.IsSelf || m.suspect || m.lastContact.After(began) {
		return false
	}
	m.suspect = true
	r.setMember(m, m.view)
	r.publish()
	return true
}

// ApplyPeerFailure records that another router called a router without an answer at the given time, and reports whether that was new: the
// router is not suspect yet, and the report is not another one of the same failure. The fault may be in the link between the two, so the
// state of the router stays as it is.
func (r *Roster) ApplyPeerFailure(id qm.InstanceID, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[id]
	if m == nil || m.view.IsSelf || m.suspect || !at.After(m.failedAt.Add(hintTolerance)) {
		return false
	}
	m.failedAt = at
	return true
}

// memberViews returns the members ordered by ID. The caller holds r.mu.
func (r *Roster) memberViews() qm.Members {
	out := make(qm.Members, 0, len(r.members))
	for _, m := range r.members {
		out = append(out, m.view)
	}
	slices.SortFunc(out, func(a, b qm.Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return out
}
