package peer

import (
	"context"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

const (
	// DefaultRound is the time between two rounds without news. TestBytesPerNode gives the bytes that follow from it.
	DefaultRoundInterval = 2 * time.Second
	// DefaultGap is the least time between two rounds when there is news.
	DefaultMinInterval = 200 * time.Millisecond
	// DefaultTimeout bounds one call to a peer.
	DefaultTimeout = time.Second
	// Fanout is the number of random peers of a round.
	Fanout = 2
	// MaxOthers bounds the states of others in a message.
	MaxStates = 6
	// MaxHints bounds the hints in a message.
	DefaultMaxHints = 4
	// passState is the number of messages in which a router passes on a state. It leaves out about e^-4 of the members,
	// which hear it from the router itself or in its later states; more copies would only take bytes.
	passState = 4
	// passUrgent is the same for hints and for routers that leave, which are rare and not repeated: e^-12 of 420 members is
	// none.
	passUrgent = 12
	// roundsPerChange is the number of rounds that follow an own change at once. One round of Fanout calls at each member
	// leaves a fifth of the members to the next regular round, two leave 2%, three leave 0.2%.
	roundsPerChange = 3
	// newsKept bounds the news that waits to be passed on; the oldest is dropped, and reaches the others by the rounds of
	// the router that it is about.
	newsKept = 128
	// announceBurst and announcePerSecond bound the calls that tell all members that this router leaves. Six members are
	// told at once; 420 would take 170 kB, so that most hear it from each other.
	announceBurst     = 8
	announcePerSecond = 4
)

// Options are the settings of a Peer. Client is a plain *http.Client or the like whose transport does not compress.
type Options struct {
	Board  *board.Board
	Roster *roster.Roster
	// Self is this router, with its incarnation.
	Self qm.Member
	// Client sends requests to other routers.
	Client peerpb.HTTPClient
	// Scheme is "http" unless set.
	Scheme string
	// Table returns a snapshot of the table if it is newer than after, else none.
	Snapshot func(ctx context.Context, after qm.Offset) (snapshot []byte, offset qm.Offset, err error)
	// Offset returns the offset up to which this router has applied the configuration; nil means that of the table on the board.
	Offset func() qm.Offset
	// Loads takes the load of another router and returns the own one; nil if none is counted.
	HandleLoads func(*peerpb.LoadShare) *peerpb.LoadShare
	// Grant lends shares of the limits of teams whose home this router is.
	Grant func(context.Context, *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error)

	RoundInterval, MinInterval, Timeout time.Duration
	// Hints bounds the hints in a message; 0 means MaxHints.
	MaxHints int
}

func (o *Options) fill() {
	for _, d := range []struct {
		v *time.Duration
		d time.Duration
	}{{&o.RoundInterval, DefaultRoundInterval}, {&o.MinInterval, DefaultMinInterval}, {&o.Timeout, DefaultTimeout}} {
		if *d.v <= 0 {
			*d.v = d.d
		}
	}
	if o.MaxHints <= 0 {
		o.MaxHints = DefaultMaxHints
	}
	if o.Scheme == "" {
		o.Scheme = "http"
	}
}
