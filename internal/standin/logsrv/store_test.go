package logsrv_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
)

// TestLostAnswerTakesEffect guards against a fake that drops the record along with the answer: with it, no test would notice
// that a retry appends a record twice.
func TestLostAnswerTakesEffect(t *testing.T) {
	s := logsrv.New(logsrv.Options{Random: func() float64 { return 0 }})
	s.SetFaults(logsrv.Faults{LoseAnswers: 1})
	_, err := s.Append(context.Background(), "a", [][]byte{[]byte("x")})
	if err == nil || errors.Is(err, qm.ErrNotAppended) {
		t.Fatalf("Append() error = %v, want one that leaves the outcome open", err)
	}
	b, err := s.Read(context.Background(), "a", 1, 10, 0)
	if err != nil || len(b.Records) != 1 {
		t.Fatalf("Read() = %v, %v, want the record", b, err)
	}
}

// TestRetentionDropsOldRecords guards against a fake that never drops records: with it, readers would only be tested against
// complete logs.
func TestRetentionDropsOldRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := logsrv.New(logsrv.Options{Retention: time.Minute})
		ctx := context.Background()
		for range 3 {
			if _, err := s.Append(ctx, "a", [][]byte{[]byte("x")}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(40 * time.Second)
		}
		b, err := s.Read(ctx, "a", 1, 10, 0)
		if err != nil || b.FirstOffset != 3 || b.NextOffset != 4 || len(b.Records) != 1 {
			t.Fatalf("Read() = %+v, %v, want only record 3", b, err)
		}
	})
}

// TestReadWaitsForAppend guards against a long poll that doesn't return when a record is appended.
func TestReadWaitsForAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := logsrv.New(logsrv.Options{})
		go func() {
			time.Sleep(time.Second)
			_, _ = s.Append(context.Background(), "a", [][]byte{[]byte("x")})
		}()
		start := time.Now()
		b, err := s.Read(context.Background(), "a", 1, 10, 10*time.Second)
		if err != nil || len(b.Records) != 1 || time.Since(start) != time.Second {
			t.Fatalf("Read() = %+v, %v after %v, want the record after 1s", b, err, time.Since(start))
		}
	})
}
