package census

import (
	"slices"
	"strings"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Members derives the list of routers from lists of valid memberships. After an outage of the registry such a list is incomplete until all
// routers have joined again, so that a router that is missing stays in the list of members for some time, marked as unlisted. It is safe
// for concurrent use.
type Members struct {
	grace time.Duration

	mu      sync.Mutex
	members map[qm.InstanceID]membership
}

// membership is the membership of one router.
type membership struct {
	member qm.Member
	// missingSince is the time of the first list without the router, zero if the last list has it.
	missingSince time.Time
}

// NewMembers returns an empty list. A router stays a member for grace after the first list without it.
func NewMembers(grace time.Duration) *Members {
	return &Members{grace: grace, members: map[qm.InstanceID]membership{}}
}

// Update applies a list of the valid memberships.
func (m *Members) Update(listed []qm.Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, old := range m.members {
		if old.missingSince.IsZero() {
			old.missingSince = now
			m.members[id] = old
		}
	}
	for _, l := range listed {
		m.members[l.Instance] = membership{member: l}
	}
}

// List returns the members, ordered by name.
func (m *Members) List(now time.Time) []qm.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]qm.Member, 0, len(m.members))
	for id, e := range m.members {
		e.member.Unlisted = !e.missingSince.IsZero()
		if e.member.Unlisted && now.Sub(e.missingSince) >= m.grace {
			delete(m.members, id)
			continue
		}
		out = append(out, e.member)
	}
	slices.SortFunc(out, func(a, b qm.Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return out
}
