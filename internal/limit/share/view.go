package share

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
)

// view is a membership view: the members from a point in time on, as far as they determine the home of a team.
type view struct {
	seq     uint64
	from    time.Duration
	members qm.Members
	// quorum reports whether this instance sees enough live members to be a home.
	quorum bool
}

// views are the latest membership views, newest last. They determine since when this instance has been the home of a team,
// without state for each team.
type views struct {
	mu   sync.Mutex // serializes writers
	list atomic.Pointer[[]view]
}

// now returns the newest view.
func (v *views) now() *view {
	l := v.list.Load()
	return &(*l)[len(*l)-1]
}

// add appends a view with the given members if it differs from the newest one. With restart, add drops all earlier views, so
// that this instance becomes a new home of its teams.
func (v *views) add(members qm.Members, from time.Duration, restart bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var old []view
	if l := v.list.Load(); l != nil {
		old = *l
	}
	next := view{seq: 1, from: from, members: members, quorum: hasQuorum(members)}
	if len(old) > 0 {
		last := old[len(old)-1]
		next.seq = last.seq + 1
		if !restart && slices.EqualFunc(last.members, members, sameMember) {
			return
		}
	}
	first := 0
	for first < len(old)-1 && (old[first+1].from < from-viewRetention || len(old)-first >= maxViews) {
		first++
	}
	if restart {
		first = len(old)
	}
	list := append(slices.Clone(old[first:]), next)
	v.list.Store(&list)
}

// sameMember reports whether two entries are equal for the choice of homes and for reaching them.
func sameMember(a, b qm.Member) bool {
	return a.Instance == b.Instance && a.State == b.State && a.PeerAddress == b.PeerAddress
}

// hasQuorum reports whether more than half of the listed members are live, or exactly half including the first. The two
// sides of a partition cannot both have a quorum, so that they do not both lend the same limit.
func hasQuorum(members qm.Members) bool {
	live, listed, first := 0, 0, false
	for _, m := range members {
		switch m.State {
		case qm.Live:
			live++
			first = first || listed == 0
			listed++
		case qm.Suspect:
			listed++
		}
	}
	return 2*live > listed || 2*live == listed && first
}

// role is the relation of this instance to a team by one view.
type role struct {
	seq uint64
	// home is the member that lends units of the team's limits; it is valid if known is true.
	home  qm.Member
	known bool
	// self reports whether this instance is the home and has a quorum; since is when it became home.
	self  bool
	since time.Duration
}

// role returns the role of the instance self for a team by the newest view.
func (v *views) role(team qm.TeamID, self qm.InstanceID) role {
	l := *v.list.Load()
	now := &l[len(l)-1]
	r := role{seq: now.seq, since: now.from}
	r.home, r.known = advice.Home(team, now.members)
	if !r.known || r.home.Instance != self {
		return r
	}
	r.self = now.quorum
	for i := len(l) - 2; i >= 0 && l[i].quorum; i-- {
		if h, ok := advice.Home(team, l[i].members); !ok || h.Instance != self {
			break
		}
		r.since = l[i].from
	}
	return r
}
