// Package advice tells callers which routers to use.
//
// The routers of the caller's data centre come first, in the order of the team's rendezvous hash; the first two are the
// team's home instances there. Then come routers of the rest of the region, and others only if the region has none.
//
// The order of the addresses depends only on the team, the members and the caller's data centre, so every router gives
// the same advice. When one of n routers of a data centre comes or goes, about 1/n of the teams get another first
// address, because each team ranks the routers by a rendezvous hash of its own.
package advice

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

const (
	// DefaultValidity is how long callers may keep an advice. A router that stops keeps accepting for this time.
	DefaultValidity = 5 * time.Second
	// DefaultPerCentre bounds the addresses from the caller's data centre.
	DefaultPerCentre = 6
	// DefaultPerRegion bounds those from the rest of its region, which are left if the data centre is lost.
	DefaultPerRegion = 6
)

// Options are the settings of an Adviser. Zero values mean the defaults.
type Options struct {
	Validity             time.Duration
	PerCentre, PerRegion int
}

// Answer is an advice.
type Answer struct {
	// Members are in order of preference.
	Members  qm.Members
	Validity time.Duration
}

// Addresses returns the callers' addresses of the members, each host:port.
func (a Answer) Addresses() []string {
	out := make([]string, 0, len(a.Members))
	for _, m := range a.Members {
		out = append(out, m.Address)
	}
	return out
}

// Adviser gives advice from the members on the board.
type Adviser struct {
	board *board.Board
	opts  Options
}

// New returns an Adviser.
func New(b *board.Board, o Options) *Adviser {
	if o.Validity <= 0 {
		o.Validity = DefaultValidity
	}
	if o.PerCentre <= 0 {
		o.PerCentre = DefaultPerCentre
	}
	if o.PerRegion <= 0 {
		o.PerRegion = DefaultPerRegion
	}
	return &Adviser{board: b, opts: o}
}

// For returns the addresses that a team should use from data centre dc. An empty or unknown dc means the data centre of
// this router.
func (a *Adviser) For(team qm.TeamID, dc qm.DataCentre) Answer {
	members, _ := a.board.Members.Load()
	centre, region := place(members, dc)
	usable := pick(members, a.board.IsLeaving())
	near, far, rest := split(usable, centre, region)
	ordered := append(head(Rank(team, near), a.opts.PerCentre), head(Rank(team, far), a.opts.PerRegion)...)
	if len(ordered) == 0 {
		ordered = head(Rank(team, rest), a.opts.PerRegion)
	}
	return Answer{Validity: a.opts.Validity, Members: ordered}
}

// place returns dc and its region, or those of this router if no member is in dc.
func place(members qm.Members, dc qm.DataCentre) (qm.DataCentre, string) {
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

// pick returns the live members, or the suspect ones if none is live. Leaving members are never advised; leaving tells
// that this router stops, which its own entry may not show yet.
func pick(members qm.Members, leaving bool) qm.Members {
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

// split sorts members into those of the data centre, those of the rest of the region, and the others.
func split(members qm.Members, centre qm.DataCentre, region string) (near, far, rest qm.Members) {
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

func head(m qm.Members, n int) qm.Members { return m[:min(n, len(m)):min(n, len(m))] }
