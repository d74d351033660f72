package share

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
)

// view is the membership from one moment on, as far as it decides who is home.
type view struct {
	seq     uint64
	at      time.Duration
	members qm.Members
	// quorum tells that this instance sees enough live members to be a home.
	quorum bool
}

// views are the latest memberships, newest last. They answer since when this instance is the home of a team, without
// state for each team.
type views struct {
	mu   sync.Mutex // orders writers
	list atomic.Pointer[[]view]
}

func (v *views) now() *view {
	l := v.list.Load()
	return &(*l)[len(*l)-1]
}

// add takes the members at time at. restart forgets the past, so that this instance becomes a new home of its teams.
func (v *views) add(members qm.Members, at time.Duration, restart bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var old []view
	if l := v.list.Load(); l != nil {
		old = *l
	}
	next := view{seq: 1, at: at, members: members, quorum: hasQuorum(members)}
	if len(old) > 0 {
		last := old[len(old)-1]
		next.seq = last.seq + 1
		if !restart && slices.EqualFunc(last.members, members, sameVote) {
			return
		}
	}
	first := 0
	for first < len(old)-1 && (old[first+1].at < at-remember || len(old)-first >= maxViews) {
		first++
	}
	if restart {
		first = len(old)
	}
	list := append(slices.Clone(old[first:]), next)
	v.list.Store(&list)
}

func sameVote(a, b qm.Member) bool {
	return a.Instance == b.Instance && a.State == b.State && a.PeerAddress == b.PeerAddress
}

// hasQuorum reports whether more than half of the listed members are live, or half with the first of them. Two sides of a
// partition cannot both have it, so that they do not both lend the same limit.
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

// role is what one view says of a team.
type role struct {
	seq uint64
	// home lends the team's shares if known is true.
	home  qm.Member
	known bool
	// self tells that this instance is the home, since a time.
	self  bool
	since time.Duration
}

// role returns the home of a team by the newest view.
func (v *views) role(team qm.TeamID, self qm.InstanceID) role {
	l := *v.list.Load()
	now := &l[len(l)-1]
	r := role{seq: now.seq, since: now.at}
	r.home, r.known = advice.Home(team, now.members)
	if !r.known || r.home.Instance != self {
		return r
	}
	r.self = now.quorum
	for i := len(l) - 2; i >= 0 && l[i].quorum; i-- {
		if h, ok := advice.Home(team, l[i].members); !ok || h.Instance != self {
			break
		}
		r.since = l[i].at
	}
	return r
}
