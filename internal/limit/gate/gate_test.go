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

// limiter refuses until open, with the given time to retry.
type limiter struct {
	open  time.Time
	after time.Duration
	tries atomic.Int64
}

func (l *limiter) Admit(*qm.Team, qm.Cost, time.Time) (qm.Grant, error) {
	l.tries.Add(1)
	if time.Now().Before(l.open) {
		return nil, qm.Refuse(qm.CodeRateLimit, "admit", "wait").WithRetryAfter(l.after)
	}
	return grant{}, nil
}

func (l *limiter) AdmitWithin(_ context.Context, t *qm.Team, c qm.Cost, _ time.Duration) (qm.Grant, error) {
	return l.Admit(t, c, time.Now())
}

type grant struct{}

func (grant) Release(qm.Tokens) {}

var team = &qm.Team{ID: "a"}

// TestAdmit guards against refusals of a moment that reach the caller, and against waits beyond the patience or the deadline.
func TestAdmit(t *testing.T) {
	tests := []struct {
		name           string
		opens, after   time.Duration
		deadline       time.Duration
		want           qm.Code
		within, atMost time.Duration
	}{
		{"at once", 0, 0, time.Minute, "", 0, 0},
		{"loan on its way", 300 * time.Millisecond, 100 * time.Millisecond, time.Minute, "", 300 * time.Millisecond, 500 * time.Millisecond},
		{"long refusal", time.Minute, 10 * time.Second, time.Minute, qm.CodeRateLimit, 0, 0},
		{"patience ends", time.Minute, 100 * time.Millisecond, time.Minute, qm.CodeRateLimit, 500 * time.Millisecond, gate.Patience + 100*time.Millisecond},
		{"deadline ends", time.Minute, 500 * time.Millisecond, 200 * time.Millisecond, qm.CodeTimeout, 200 * time.Millisecond, 200 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), tt.deadline)
				defer cancel()
				g := gate.New(&limiter{open: start.Add(tt.opens), after: tt.after})
				_, err := g.Admit(ctx, team, qm.Cost{})
				var code qm.Code
				if err != nil {
					e := qm.AsError(err)
					if code = e.Code; e.Outcome != qm.OutcomeNotRun {
						t.Errorf("outcome = %s, want NotRun", e.Outcome)
					}
				}
				took := time.Since(start)
				if code != tt.want || took < tt.within || took > tt.atMost {
					t.Errorf("Admit() = %q after %v, want %q after %v to %v", code, took, tt.want, tt.within, tt.atMost)
				}
			})
		})
	}
}

// TestExcessiveLoad guards against a script that fills the instance with waiting requests.
func TestExcessiveLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &limiter{open: time.Now().Add(time.Hour), after: 100 * time.Millisecond}
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
