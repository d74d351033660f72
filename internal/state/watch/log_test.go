package watch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/state/watch"
)

// deafLog is a log whose waiting reads notice no record that is appended while they wait.
type deafLog struct {
	qm.Log
	reads int
}

func (l *deafLog) Read(ctx context.Context, id qm.StreamID, from qm.Offset, limit int, wait time.Duration) (qm.Batch, error) {
	l.reads++
	b, err := l.Log.Read(ctx, id, from, limit, 0)
	if err != nil || len(b.Records) > 0 || wait == 0 {
		return b, err
	}
	select {
	case <-ctx.Done():
		return qm.Batch{}, errors.Wrap(ctx.Err(), "read")
	case <-time.After(wait):
		return b, nil
	}
}

// TestOwnAppend guards against a process that waits for the end of a long read before it knows of a record that it has appended itself,
// for example the claim of a slot to load weights, because the log has not woken the read.
func TestOwnAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deaf := &deafLog{Log: logsrv.New(logsrv.Options{})}
		log := watch.NewLog(deaf)
		time.AfterFunc(time.Second, func() {
			if _, err := log.Append(t.Context(), "s", [][]byte{[]byte("x")}); err != nil {
				t.Error(err)
			}
		})
		began := time.Now()
		b, err := log.Read(t.Context(), "s", 1, 10, 10*time.Second)
		if err != nil || len(b.Records) != 1 {
			t.Fatalf("Read() = %+v, %v", b, err)
		}
		if took := time.Since(began); took > 1500*time.Millisecond {
			t.Errorf("the record was read %v after its append", took-time.Second)
		}
	})
}

// TestReadsOfOthers guards against a read that is ended, or repeated without need, by appends to other streams, and against an error that
// is hidden: the end of the caller's context ends the read.
func TestReadsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deaf := &deafLog{Log: logsrv.New(logsrv.Options{})}
		log := watch.NewLog(deaf)
		time.AfterFunc(time.Second, func() {
			if _, err := log.Append(t.Context(), "other", [][]byte{[]byte("x")}); err != nil {
				t.Error(err)
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if b, err := log.Read(ctx, "s", 1, 10, 10*time.Second); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("Read() = %+v, %v, want the end of the context", b, err)
		}
		if deaf.reads != 1 {
			t.Errorf("%d reads, want 1", deaf.reads)
		}
	})
}
