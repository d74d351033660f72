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

// Stream is the log stream of edits and snapshots.
const Stream qm.StreamID = "config"

// FetchFunc asks peers for what a table at offset after lacks, and returns the newest answer. An empty snapshot means that no
// peer that answered has more.
type FetchFunc func(ctx context.Context, after qm.Offset) (snapshot []byte, offset qm.Offset, err error)

// Options are the parts that a Controller works with.
type Options struct {
	Log   qm.Log
	Board *board.Board
	// Fetch is nil if there are no peers.
	Fetch FetchFunc
	// Owner reports whether this instance is the one that writes snapshots. Nil means never.
	IsSnapshotOwner func() bool
	// Retention is how long the log keeps records. 0 means for ever, so that no snapshots are written.
	Retention time.Duration
	Logger    logr.Logger
	// NewAttempt returns ids for snapshots. Nil means random ones.
	NewAttemptID func() qm.AttemptID
	// PartRows and PartsPerAppend bound the records and the appends of a snapshot. 0 means the usual bounds.
	PartRows, PartsPerAppend int
}

// usualPartsPerAppend makes an append of about 600 KB.
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
	// longPoll is how long a read waits for new records. It bounds the reads of an idle router to six a minute.
	longPoll = 10 * time.Second
	// readTimeout ends a read on a connection that stalled.
	readTimeout = longPoll + 5*time.Second
	// readLimit is the most records of one read.
	maxReadRecords = 256
	// retryFirst and retryMost bound the pause after a failed call to the log. The most is short, because an accepted
	// edit should be in force within 4 s, also right after an outage.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// peerInterval is how often the controller looks whether a peer is ahead. A router that follows the log is some
	// milliseconds behind or ahead of its peers, so it asks only if it is behind at two looks in a row.
	peerPollInterval = 250 * time.Millisecond
	// fetchTimeout bounds one question to the peers.
	fetchTimeout = 2 * time.Second
)

// pause is the growing pause between attempts at a call.
type backoff struct{ delay time.Duration }

func (p *backoff) reset() { p.delay = 0 }

// wait sleeps and reports false if the context ended.
func (p *backoff) wait(ctx context.Context) bool {
	p.delay = min(max(2*p.delay, minRetryDelay), maxRetryDelay)
	return period.Sleep(ctx, p.delay)
}
