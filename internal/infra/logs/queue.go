package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Queue hands lines to a writer in the background, so that a slow reader of the log never delays a request. It keeps a bounded number of
// lines; what does not fit is dropped and counted, and a line tells how many were.
type Queue struct {
	w     io.Writer
	lines chan []byte

	mu      sync.Mutex
	dropped int
	closed  bool
	wg      sync.WaitGroup
}

// QueueLines is the number of lines that wait at most: a second of a router that logs every request at its peak.
const QueueLines = 2048

// NewQueue returns a queue in front of w. Close it to write what waits.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{w: w, lines: make(chan []byte, QueueLines)}
	q.wg.Go(func() {
		for line := range q.lines {
			if _, err := w.Write(line); err != nil {
				continue // nobody reads the log, and there is nowhere else to say so
			}
			q.tellDropped()
		}
	})
	return q
}

// Write implements io.Writer. It takes one line and never blocks.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped++
	}
	return len(line), nil
}

// tellDropped writes how many lines were dropped since it was last told.
func (q *Queue) tellDropped() {
	q.mu.Lock()
	n := q.dropped
	q.dropped = 0
	q.mu.Unlock()
	if n > 0 {
		_, _ = fmt.Fprintf(q.w, `{"Level":"error","Time":%q,"Logger":"logs","Message":"lines dropped","Lines":%d}`+"\n",
			time.Now().Format(time.RFC3339Nano), n)
	}
}

// Close writes the lines that wait.
func (q *Queue) Close() error {
	q.mu.Lock()
	closed := q.closed
	q.closed = true
	q.mu.Unlock()
	if !closed {
		close(q.lines)
		q.wg.Wait()
		q.tellDropped()
	}
	return nil
}
