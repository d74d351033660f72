package share

import (
	"context"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

const (
	// DefaultFloorFraction is the fraction of a limit that is divided into floors. A client that uses a single one of n
	// instances gets at most 1 - FloorFraction x (n-1)/n of the limit (TestSingleInstance). At 1/4 it gets less than 3/4 of
	// what all instances together admit.
	DefaultFloorFraction = 0.1
	// DefaultEntrySlots is the number of entry instances in each known deployment.
	DefaultEntrySlots = 6
	// tickPeriod is the period of the loop that renews and returns loans and evicts idle state. A home that finds a gap of a
	// lease between two ticks was paused.
	tickPeriod = 250 * time.Millisecond
	// batchDelay is the time for which the needs of several teams are collected into one message.
	batchDelay = 5 * time.Millisecond
	// minMessageInterval is the minimum time between an answer of a home and the next message to it, so that refused
	// requests do not each cost a message.
	minMessageInterval = 40 * time.Millisecond
	// loanHorizon is the time for which a loan should last, in addition to the round trips.
	loanHorizon = 500 * time.Millisecond
	// borrowThreshold is the time that the units left must cover, in addition to the round trips. More is borrowed if they do
	// not.
	borrowThreshold = 200 * time.Millisecond
	// demandTime is how long a refused request counts as demand. Its caller often retries later than that, and a loan lasts
	// only two seconds.
	demandTime = time.Second
	// idleRefreshTime is how long a team without requests keeps a small loan, so that a client that sends a request every
	// few seconds is not refused each time.
	idleRefreshTime = 30 * time.Second
	// idleRefreshMaxFraction is the fraction of the home's burst above which no loan is kept for an idle team, because it
	// could take all the units that the home can lend.
	idleRefreshMaxFraction = 0.25
	// renewBefore is the time before the expiry of a loan from which on it no longer counts when a new one is considered:
	// two ticks and a round trip within a region.
	renewBefore = 2*tickPeriod + 20*time.Millisecond
	// DefaultIdleRefreshPerSecond limits the messages that only refresh the loans of idle teams. Each takes about 400 bytes
	// on each side, so that a deployment of the target size needs a lower limit.
	DefaultIdleRefreshPerSecond = 4
	// idleRefreshBurst allows the messages of one tick to be sent together.
	idleRefreshBurst = 6
	// useRateTimeConstant is the time constant of the exponential average of recent use.
	useRateTimeConstant = time.Second
	// returnAfter is the age at which an unspent loan is returned, early enough for the message to arrive before expiry.
	returnAfter = qm.LeaseTime * 6 / 10
	// minReturnFraction is the fraction of the home's burst below which no message is sent only to return units.
	minReturnFraction = 1.0 / 16
	// evictAfter is the minimum time without requests before the state of a team is evicted.
	evictAfter = time.Minute
	// viewRetention is how long old membership views are kept. Every bucket fills in this time, since a burst is at most
	// half of the amount a minute, so that older views would change nothing.
	viewRetention = time.Minute + 2*qm.LeaseTime
	// maxViews bounds the memory for membership views when the members change constantly.
	maxViews = 256
	// maxRetry and minRetry bound the retry delay in a refusal.
	maxRetry = time.Minute
	minRetry = 100 * time.Millisecond
	// borrowTimeout is the timeout of one message to a home. Half of the lease of a loan that arrives later has passed.
	borrowTimeout = qm.LeaseTime / 2
	// shards is the number of locks over which the teams are distributed.
	shards = 64
)

// Options configures a Limiter. Zero values of FloorFraction and EntrySlots mean the defaults.
type Options struct {
	// Board provides the members and the table.
	Board       *board.Board
	Self        qm.InstanceID
	Incarnation qm.Incarnation
	// Borrow sends a borrow request to another instance.
	Borrow func(context.Context, qm.Member, *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error)
	// Team returns the limits of a team, nil if it has none, and false if this instance has no configuration yet; nil means the table on the
	// board.
	Team func(qm.TeamID) (*qm.Team, bool)
	// QuotaTolerance is what quotas may be exceeded by.
	QuotaTolerance QuotaTolerance
	// FloorFraction is the fraction of a limit that is divided into floors.
	FloorFraction float64
	// EntrySlots is the minimum number of instances for which floors are reserved.
	EntrySlots int
	// IdleRefreshPerSecond limits the messages a second that only refresh the loans of idle teams; 0 means
	// DefaultIdleRefreshPerSecond.
	IdleRefreshPerSecond float64
}
