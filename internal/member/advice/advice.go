// Package advice recommends routers to callers.
//
// The routers of the caller's data centre come first, in the order of the team's rendezvous hash; the first two are the
// team's home instances there. Routers in the rest of the region follow, and routers of other regions only if the region
// has none.
//
// The order of the addresses depends only on the team, the members and the caller's data centre, so every router gives
// the same advice. When one of n routers of a data centre is added or removed, the first address changes for about 1/n
// of the teams, because each team ranks the routers by its own rendezvous hash.
package advice

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

const (
	// DefaultValidity is how long callers may use an answer. A router that shuts down accepts requests for this time.
	DefaultValidity = 5 * time.Second
	// DefaultMaxPerDataCentre bounds the addresses from the caller's data centre.
	DefaultMaxPerDataCentre = 6
	// DefaultMaxPerRegion bounds the addresses from the rest of the region, which remain if the data centre fails, and those from other
	// regions.
	DefaultMaxPerRegion = 6
)

// Options are the settings of an Adviser. Zero values select the defaults.
type Options struct {
	Validity                       time.Duration
	MaxPerDataCentre, MaxPerRegion int
}

// Answer is the advice for one caller.
type Answer struct {
	// Members are the recommended routers in order of preference.
	Members qm.Members
	// Validity is how long the caller may use the answer.
	Validity time.Duration
}

// Addresses returns the addresses of the members for callers, each as host:port.
func (a Answer) Addresses() []string {
	out := make([]string, 0, len(a.Members))
	for _, m := range a.Members {
		out = append(out, m.Address)
	}
	return out
}

// Adviser computes advice from the members on the board.
type Adviser struct {
	board *board.Board
	opts  Options
}

// New returns an Adviser for the members on b.
func New(b *board.Board, o Options) *Adviser {
	if o.Validity <= 0 {
		o.Validity = DefaultValidity
	}
	if o.MaxPerDataCentre <= 0 {
		o.MaxPerDataCentre = DefaultMaxPerDataCentre
	}
	if o.MaxPerRegion <= 0 {
		o.MaxPerRegion = DefaultMaxPerRegion
	}
	return &Adviser{board: b, opts: o}
}

// For returns the routers that a team should use from data centre dc. An empty or unknown dc means the data centre of this
// router.
func (a *Adviser) For(team qm.TeamID, dc qm.DataCentre) Answer {
	members, _ := a.board.Members.Load()
	centre, region := locate(members, dc)
	usable := selectable(members, a.board.IsLeaving())
	near, far, rest := byDistance(usable, centre, region)
	ordered := append(limit(Rank(team, near), a.opts.MaxPerDataCentre), limit(Rank(team, far), a.opts.MaxPerRegion)...)
	if len(ordered) == 0 {
		ordered = limit(Rank(team, rest), a.opts.MaxPerRegion)
	}
	return Answer{Validity: a.opts.Validity, Members: ordered}
}

// locate returns dc and its region, or the data centre and region of this router if no member is in dc.
func locate(members qm.Members, dc qm.DataCentre) (qm.DataCentre, string) {
	var own qm.Member
	for _, m := range members {
		if dc != "" && m.DataCentre == dc {
			return dc, m.Region
		}
		if m.IsSelf {
			own = m
		}
	}
	return own.DataCentre, own.Region
}

// selectable returns the live members, or the suspect ones if none is live. Leaving members are never recommended. leaving
// means that this router is shutting down, which its own entry may not show yet.
func selectable(members qm.Members, leaving bool) qm.Members {
	var live, suspect qm.Members
	for _, m := range members {
		switch {
		case m.IsSelf && leaving, m.State == qm.Leaving:
		case m.State == qm.Suspect:
			suspect = append(suspect, m)
		default:
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return suspect
	}
	return live
}

// byDistance partitions members into those of the data centre, those of the rest of the region, and the others.
func byDistance(members qm.Members, centre qm.DataCentre, region string) (near, far, rest qm.Members) {
	for _, m := range members {
		switch {
		case m.DataCentre == centre:
			near = append(near, m)
		case m.Region == region:
			far = append(far, m)
		default:
			rest = append(rest, m)
		}
	}
	return near, far, rest
}

// limit returns the first n members, or all if there are fewer. Its capacity equals its length, so that appending to it copies.
func limit(m qm.Members, n int) qm.Members { return m[:min(n, len(m)):min(n, len(m))] }
