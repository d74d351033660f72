package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/infra/logs"
)

// blockingWriter is a writer whose Write blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(p)
}

// TestQueue checks that the queue does not block its writers, that its length is limited, and that it reports dropped lines.
func TestQueue(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	q := logs.NewQueue(w)
	const lines = 3 * logs.MaxQueuedLines
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
		t.Fatal("Write blocks on a slow consumer of the log")
	}
	close(w.release)
	if err := q.Close(); err != nil {
		t.Fatal(err)
	}
	kept := strings.Count(w.b.String(), "{}")
	if kept < logs.MaxQueuedLines || kept > logs.MaxQueuedLines+2 || !strings.Contains(w.b.String(), `"Message":"lines dropped"`) {
		t.Errorf("%d of %d lines were written; the log ends with %q", kept, lines, w.b.String()[max(0, w.b.Len()-100):])
	}
	if _, err := q.Write([]byte("{}\n")); err != nil {
		t.Errorf("Write after Close: %v", err)
	}
}
