package share

import (
	"context"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

const (
	// DefaultFloorFraction is the part of a limit that is divided into floors. One script that uses a single instance gets
	// at most 1 - FloorFraction x (slots-1)/slots of the limit; TestSingleInstance measures it. The design's 1/4 left it
	// less than 3/4 of what all instances together get.
	DefaultFloorFraction = 0.1
	// DefaultEntrySlots is the number of entry instances that both users have.
	DefaultEntrySlots = 6
	// tick is the period of the loop that renews, returns and forgets. A home that finds a gap of a lease between two ticks
	// was paused.
	tick = 250 * time.Millisecond
	// gather is the time in which the needs of several teams are collected into one message.
	gather = 5 * time.Millisecond
	// pace is the least time between an answer of a home and the next message to it, so that refused requests do not each
	// cost a message.
	pace = 40 * time.Millisecond
	// ahead is the time for which a loan should last, beside the round trips.
	ahead = 500 * time.Millisecond
	// low is the time for which what is left must last, beside the round trips, before more is borrowed.
	low = 200 * time.Millisecond
	// pressing is how long a refused request counts as need. Its caller comes back after a while that is often longer, and
	// loans last two seconds only.
	pressing = time.Second
	// warmFor is how long a team without requests keeps a small loan, so that a script that calls every few seconds is not
	// refused each time.
	warmFor = 30 * time.Second
	// warmPart is the part of the burst above which no loan is kept for a quiet team, because it could be all there is.
	warmPart = 0.25
	// renewAt is the time to the end of a loan at which it counts as gone when a new one is considered: two ticks and a
	// round trip within a region.
	renewAt = 2*tick + 20*time.Millisecond
	// DefaultWarmPerSecond bounds the messages that only keep loans of quiet teams. One takes about 400 bytes on each side,
	// so that the target size needs a lower bound.
	DefaultWarmPerSecond = 4
	// warmBurst lets the messages of one tick go together.
	warmBurst = 6
	// smooth is the time constant of the recent use.
	smooth = time.Second
	// returnAfter is the age at which an unspent loan is given back, early enough to arrive before it ends.
	returnAfter = qm.LeaseTime * 6 / 10
	// worthReturn is the part of the home's burst below which a message only to return units is not worth its bytes.
	worthReturn = 1.0 / 16
	// idleAfter is the least time without requests before a team is forgotten.
	idleAfter = time.Minute
	// remember is how long membership is remembered. In this time every bucket fills, since a burst is at most half of the
	// amount, so that a longer memory would change nothing.
	remember = time.Minute + 2*qm.LeaseTime
	// maxViews bounds the memory of membership when it changes all the time.
	maxViews = 256
	// maxRetry and minRetry bound the advised time before a retry.
	maxRetry = time.Minute
	minRetry = 100 * time.Millisecond
	// askTimeout bounds one message to a home. A loan that arrives later would be half over.
	askTimeout = qm.LeaseTime / 2
	// shards spreads the teams over locks.
	shards = 64
)

// Options are the settings of a Limiter. Zero values of FloorFraction and EntrySlots mean the defaults.
type Options struct {
	// Board gives the members and the table.
	Board       *board.Board
	Self        qm.InstanceID
	Incarnation qm.Incarnation
	// Ask sends a request for shares to another instance.
	Borrow func(context.Context, qm.Member, *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error)
	// FloorFraction is the part of a limit that is divided into floors.
	FloorFraction float64
	// EntrySlots is the number of instances for which floors are set aside.
	EntrySlots int
	// WarmPerSecond bounds the messages that only keep loans of quiet teams; 0 means DefaultWarmPerSecond.
	WarmPerSecond float64
}
