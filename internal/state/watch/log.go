package watch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// appendGrace is how long a read that waits may take to return what this process has appended before it is repeated. A log that has woken
// the read answers within a round trip.
const appendGrace = 250 * time.Millisecond

// errAppended ends reads that wait although this process has appended to their stream.
var errAppended = errors.New("a record was appended by this process")

// Log is a log whose reads do not miss the records that this process appends to the same stream. It is safe for concurrent use.
type Log struct {
	qm.Log

	mu sync.Mutex
	// waiting holds the functions that end the reads that wait, by stream.
	waiting map[qm.StreamID]map[*waitingRead]bool
}

// waitingRead is a read that waits for records.
type waitingRead struct{ stop context.CancelCauseFunc }

// NewLog returns a Log over log.
func NewLog(log qm.Log) *Log {
	return &Log{Log: log, waiting: map[qm.StreamID]map[*waitingRead]bool{}}
}

// Read implements quetzalmount.Log.
func (l *Log) Read(ctx context.Context, id qm.StreamID, from qm.Offset, limit int, wait time.Duration) (qm.Batch, error) {
	if wait <= 0 {
		return l.Log.Read(ctx, id, from, limit, wait)
	}
	waitCtx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	w := &waitingRead{stop}
	l.mu.Lock()
	if l.waiting[id] == nil {
		l.waiting[id] = map[*waitingRead]bool{}
	}
	l.waiting[id][w] = true
	l.mu.Unlock()
	b, err := l.Log.Read(waitCtx, id, from, limit, wait)
	l.mu.Lock()
	delete(l.waiting[id], w)
	l.mu.Unlock()
	if err != nil && ctx.Err() == nil && errors.Is(context.Cause(waitCtx), errAppended) {
		return l.Log.Read(ctx, id, from, limit, 0)
	}
	return b, err
}

// Append implements quetzalmount.Log.
func (l *Log) Append(ctx context.Context, id qm.StreamID, data [][]byte) (qm.Offset, error) {
	offset, err := l.Log.Append(ctx, id, data)
	if errors.Is(err, qm.ErrNotAppended) {
		return offset, err
	}
	l.mu.Lock()
	reads := make([]*waitingRead, 0, len(l.waiting[id]))
	for w := range l.waiting[id] {
		reads = append(reads, w)
	}
	l.mu.Unlock()
	if len(reads) > 0 {
		time.AfterFunc(appendGrace, func() {
			for _, w := range reads {
				w.stop(errAppended)
			}
		})
	}
	return offset, err
}
