package peer

import (
	"context"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/fatal"
	"quetzalmount.dev/quetzalmount/internal/limit/memory"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

const (
	// DefaultRoundInterval is the time between two rounds without updates. TestBytesPerNode measures the resulting traffic.
	DefaultRoundInterval = 2 * time.Second
	// DefaultUpdateInterval is the minimum time between two rounds while there are updates.
	DefaultUpdateInterval = 200 * time.Millisecond
	// DefaultTimeout bounds a call to a peer.
	DefaultTimeout = time.Second
	// Fanout is the number of random peers that a round calls.
	Fanout = 2
	// MaxStates bounds the states of other routers in a message.
	MaxStates = 6
	// maxHints bounds the hints in a message. A rollout changes dozens of engines at once, and a fault of a rack silences dozens of
	// routers; hints beyond the bound wait for later messages, and the others learn of them long after the rounds that follow a change.
	maxHints = 32
	// stateCopies is the number of messages in which a router passes on a state. This misses about e^-4 of the members, which receive the
	// state from the router itself or receive a later one; more copies would only add traffic.
	stateCopies = 4
	// urgentCopies is the same for hints and for states of leaving routers, which are rare and not repeated. e^-12 of 420 members is less
	// than one.
	urgentCopies = 12
	// roundsPerChange is the number of rounds that follow a change without waiting for the regular interval. With Fanout calls per member,
	// one such round leaves 20% of the members to the next regular round, two leave 2%, three leave 0.2%.
	roundsPerChange = 3
	// maxReports bounds the reports about requests in a message.
	maxReports = 16
	// maxQueued bounds the states and the hints that are queued to be passed on. Beyond it the oldest is dropped; the others learn of it in
	// the rounds of the router that it is about.
	maxQueued = 128
	// announceBurst and announcePerSecond limit the rate of the calls that tell all members that this router is leaving. Six members are
	// called at once; calling 420 at once would take 170 kB, so most of them learn it from each other.
	announceBurst     = 8
	announcePerSecond = 4
)

// Reports holds this router's observations of requests that end engines.
type Reports interface {
	// TakeReports returns the reports that were queued since the last call.
	TakeReports() []fatal.Report
	// ApplyReport applies a report of another router, queues it if it was new, and reports whether it was.
	ApplyReport(fatal.Report) bool
}

// SpreadTime returns the time within which nearly all members learn of an update. Every round multiplies the members that know of it by
// up to 1+Fanout, and the last ones are reached a round later.
func SpreadTime(members int, updateInterval time.Duration) time.Duration {
	rounds := 1
	for reached := 1; reached < members; reached *= 1 + Fanout {
		rounds++
	}
	return time.Duration(rounds) * updateInterval
}

// Options are the settings of a Peer. Board, Roster, Self and Client are required.
type Options struct {
	Board  *board.Board
	Roster *roster.Roster
	// Self is this router, with its incarnation.
	Self qm.Member
	// Client sends requests to other routers, such as an *http.Client whose transport does not compress.
	Client peerpb.HTTPClient
	// Scheme is the URL scheme of other routers; empty means "http".
	Scheme string
	// Snapshot returns a snapshot of the configuration table and its offset. The snapshot is empty if the table is not newer than after.
	Snapshot func(ctx context.Context, after qm.Offset) (snapshot []byte, offset qm.Offset, err error)
	// Offset returns the offset up to which this router has applied the configuration; nil means the offset of the table on the board.
	Offset func() qm.Offset
	// HandleLoads receives the load of another router and returns this router's; nil if this router does not count its load.
	HandleLoads func(*peerpb.LoadShare) *peerpb.LoadShare
	// Lend lends shares of the limits of teams whose home instance this router is; nil if it lends none.
	Lend func(context.Context, *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error)

	RoundInterval, UpdateInterval, Timeout time.Duration
	// Memory limits the messages of all calls together; nil for no limit.
	Memory *memory.Limit
	// Reports exchanges observations of requests that end engines; nil for none.
	Reports Reports
}

func (o *Options) setDefaults() {
	for _, d := range []struct {
		v *time.Duration
		d time.Duration
	}{{&o.RoundInterval, DefaultRoundInterval}, {&o.UpdateInterval, DefaultUpdateInterval}, {&o.Timeout, DefaultTimeout}} {
		if *d.v <= 0 {
			*d.v = d.d
		}
	}
	if o.Scheme == "" {
		o.Scheme = "http"
	}
}
