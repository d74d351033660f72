package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Queue is an asynchronous io.Writer for log lines, so that a slow consumer of the log does not delay requests. It buffers
// at most MaxQueuedLines lines and MaxQueuedBytes bytes. It drops lines that do not fit, and logs how many it dropped.
type Queue struct {
	w     io.Writer
	lines chan []byte

	mu sync.Mutex
	// bytes is the size of the queued lines and of the one that is being written.
	bytes, dropped int
	closed         bool
	wg             sync.WaitGroup
}

// MaxQueuedLines is the maximum number of buffered lines, enough for one second of a router that logs every request at peak
// load.
const MaxQueuedLines = 2048

// MaxQueuedBytes is the maximum size of the buffered lines. It is above MaxQueuedLines ordinary ones; clients can make lines of 100 KB.
const MaxQueuedBytes = 2 << 20

// NewQueue returns a queue that writes to w in the background. Close flushes it.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{w: w, lines: make(chan []byte, MaxQueuedLines)}
	q.wg.Go(func() {
		for line := range q.lines {
			_, err := w.Write(line)
			q.mu.Lock()
			q.bytes -= len(line)
			q.mu.Unlock()
			if err != nil {
				continue // the log cannot be written, and there is no other place to report the error
			}
			q.reportDropped()
		}
	})
	return q
}

// Write implements io.Writer. It queues one line, or drops it if the queue is full or closed, and never blocks.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return len(line), nil
	}
	if q.bytes+len(line) > MaxQueuedBytes {
		q.dropped++
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
		q.bytes += len(line)
	default:
		q.dropped++
	}
	return len(line), nil
}

// reportDropped writes a line with the number of lines dropped since the previous report, if any.
func (q *Queue) reportDropped() {
	q.mu.Lock()
	n := q.dropped
	q.dropped = 0
	q.mu.Unlock()
	if n > 0 {
		_, _ = fmt.Fprintf(q.w, `{"Level":"error","Time":%q,"Logger":"logs","Message":"lines dropped","Lines":%d}`+"\n",
			time.Now().Format(time.RFC3339Nano), n)
	}
}

// Close writes the queued lines and stops the queue.
func (q *Queue) Close() error {
	q.mu.Lock()
	closed := q.closed
	q.closed = true
	q.mu.Unlock()
	if !closed {
		close(q.lines)
		q.wg.Wait()
		q.reportDropped()
	}
	return nil
}
