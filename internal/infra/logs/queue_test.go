package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/infra/logs"
)

// blocked is a writer that waits until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (w *blocked) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

// TestQueue guards against a log that blocks its process, that grows without bound, or that hides that lines are missing.
func TestQueue(t *testing.T) {
	w := &blocked{release: make(chan struct{})}
	q := logs.NewQueue(w)
	const lines = 3 * logs.QueueLines
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			if _, err := q.Write([]byte("{}\n")); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("a line waits for the reader of the log")
	}
	close(w.release)
	if err := q.Close(); err != nil {
		t.Fatal(err)
	}
	kept := strings.Count(w.b.String(), "{}")
	if kept < logs.QueueLines || kept > logs.QueueLines+2 || !strings.Contains(w.b.String(), `"Message":"lines dropped"`) {
		t.Errorf("%d of %d lines were written; the log ends with %q", kept, lines, w.b.String()[max(0, w.b.Len()-100):])
	}
	if _, err := q.Write([]byte("{}\n")); err != nil {
		t.Errorf("a line after the end: %v", err)
	}
}
