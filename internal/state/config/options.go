package config

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

// Stream is the log stream with the edits and snapshots of the table.
const Stream qm.StreamID = "config"

// FetchFunc asks peers for the changes after an offset. It returns the newest answer, an encoded delta as returned by
// Controller.Snapshot, and the offset of its table. The delta is empty if no peer that answered has a newer table.
type FetchFunc func(ctx context.Context, after qm.Offset) (snapshot []byte, offset qm.Offset, err error)

// Options configures a Controller.
type Options struct {
	Log   qm.Log
	Board *board.Board
	// Fetch is nil if there are no peers.
	Fetch FetchFunc
	// IsSnapshotOwner reports whether this instance writes the snapshots. Nil means never.
	IsSnapshotOwner func() bool
	// Retention is how long the log keeps records. 0 means forever, in which case no snapshots are written.
	Retention time.Duration
	Logger    logr.Logger
	// NewAttemptID returns the IDs of snapshots. Nil means random IDs.
	NewAttemptID func() qm.AttemptID
	// PartRows and PartsPerAppend bound the rows of a record and the records of an append of a snapshot. 0 means the
	// default.
	PartRows, PartsPerAppend int
}

// defaultPartsPerAppend results in appends of about 600 kB.
const defaultPartsPerAppend = 16

func (o *Options) setDefaults() {
	if o.NewAttemptID == nil {
		o.NewAttemptID = randomAttemptID
	}
	if o.PartRows <= 0 {
		o.PartRows = table.DefaultPartRows
	}
	if o.PartsPerAppend <= 0 {
		o.PartsPerAppend = defaultPartsPerAppend
	}
	if o.IsSnapshotOwner == nil {
		o.IsSnapshotOwner = func() bool { return false }
	}
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
}

func randomAttemptID() qm.AttemptID { return qm.AttemptID(uuid.NewString()) }

// Times of the controller and the editor.
const (
	// inForceBound is the time within which an accepted edit is in force on all routers.
	inForceBound = 4 * time.Second
	// longPoll is the longest time for which a read waits for new records; see watch.Wait.
	longPoll = 10 * time.Second
	// readTimeoutSlack is added to the wait of a read for its timeout, which ends a read on a stalled connection.
	readTimeoutSlack = 5 * time.Second
	// maxReadRecords is the maximum number of records in one read.
	maxReadRecords = 256
	// minRetryDelay and maxRetryDelay bound the delay after a failed call to the log. The maximum is short because an
	// accepted edit should be in force within 4 s, also right after an outage.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// peerPollInterval is how often the controller checks whether a peer has a newer table. A router that follows the
	// log is some milliseconds behind or ahead of its peers, so it fetches only if it is behind in two checks in a row.
	peerPollInterval = 250 * time.Millisecond
	// fetchTimeout bounds one fetch from the peers.
	fetchTimeout = 2 * time.Second
)

// backoff is an exponential delay between attempts of a call.
type backoff struct{ delay time.Duration }

func (p *backoff) reset() { p.delay = 0 }

// wait sleeps for the next delay and reports false if the context ended.
func (p *backoff) wait(ctx context.Context) bool {
	p.delay = min(max(2*p.delay, minRetryDelay), maxRetryDelay)
	return period.Sleep(ctx, p.delay)
}
