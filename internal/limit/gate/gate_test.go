package gate_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/gate"
)

// limiter refuses until opensAt, with the retry delay retryAfter.
type limiter struct {
	opensAt    time.Time
	retryAfter time.Duration
	attempts   atomic.Int64
}

func (l *limiter) Admit(*qm.Team, qm.Cost, time.Time) (qm.Grant, error) {
	l.attempts.Add(1)
	if time.Now().Before(l.opensAt) {
		return nil, qm.Refuse(qm.CodeRateLimit, "admit", "wait").WithRetryAfter(l.retryAfter)
	}
	return grant{}, nil
}

func (l *limiter) AdmitWithin(_ context.Context, t *qm.Team, c qm.Cost, _ time.Duration) (qm.Grant, error) {
	return l.Admit(t, c, time.Now())
}

type grant struct{}

func (grant) Release(qm.Tokens) {}

var team = &qm.Team{ID: "a"}

// TestAdmit guards against temporary refusals that reach the caller, and against waits beyond MaxWait or the deadline.
func TestAdmit(t *testing.T) {
	tests := []struct {
		name                   string
		opensAfter, retryAfter time.Duration
		deadline               time.Duration
		want                   qm.Code
		atLeast, atMost        time.Duration
	}{
		{"at once", 0, 0, time.Minute, "", 0, 0},
		{"loan on its way", 300 * time.Millisecond, 100 * time.Millisecond, time.Minute, "", 300 * time.Millisecond, 500 * time.Millisecond},
		{"long refusal", time.Minute, 10 * time.Second, time.Minute, qm.CodeRateLimit, 0, 0},
		{"maximum wait passes", time.Minute, 100 * time.Millisecond, time.Minute, qm.CodeRateLimit, 500 * time.Millisecond, gate.MaxWait + 100*time.Millisecond},
		{"deadline ends", time.Minute, 500 * time.Millisecond, 200 * time.Millisecond, qm.CodeTimeout, 200 * time.Millisecond, 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), tt.deadline)
				defer cancel()
				g := gate.New(&limiter{opensAt: start.Add(tt.opensAfter), retryAfter: tt.retryAfter})
				_, err := g.Admit(ctx, team, qm.Cost{})
				var code qm.Code
				if err != nil {
					e := qm.AsError(err)
					if code = e.Code; e.Outcome != qm.OutcomeNotRun {
						t.Errorf("outcome = %s, want NotRun", e.Outcome)
					}
				}
				took := time.Since(start)
				if code != tt.want || took < tt.atLeast || took > tt.atMost {
					t.Errorf("Admit() = %q after %v, want %q after %v to %v", code, took, tt.want, tt.atLeast, tt.atMost)
				}
			})
		})
	}
}

// TestExcessiveLoad guards against a client that fills the memory of an instance with waiting requests.
func TestExcessiveLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &limiter{opensAt: time.Now().Add(time.Hour), retryAfter: 100 * time.Millisecond}
		g := gate.New(l)
		var refusedAtOnce atomic.Int64
		var wg sync.WaitGroup
		for range 1000 {
			wg.Go(func() {
				start := time.Now()
				if _, err := g.Admit(t.Context(), team, qm.Cost{}); err != nil && time.Since(start) == 0 {
					refusedAtOnce.Add(1)
				}
			})
		}
		wg.Wait()
		if got := refusedAtOnce.Load(); got != 1000-gate.MaxWaiting {
			t.Errorf("%d of 1000 requests refused at once, want %d", got, 1000-gate.MaxWaiting)
		}
	})
}
