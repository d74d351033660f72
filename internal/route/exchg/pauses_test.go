package exchg_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/pause"
	"quetzalmount.dev/quetzalmount/internal/route/exchg"
)

// TestPauses guards against requests to endpoints that have asked for none, against requests that wait for a pause that ends too late for them,
// and against callers that are told to come back before it ends or all in the same instant.
func TestPauses(t *testing.T) {
	all := []qm.EndpointID{"a", "b", "c", "d", "e"}
	for _, tt := range []struct {
		name   string
		paused []qm.EndpointID
		pause  time.Duration
		sent   bool
	}{
		{"one endpoint is left", all[1:], time.Hour, true},
		{"the first pause ends in time", all, 50 * time.Millisecond, true},
		{"all pauses end too late for the objective", all, 250 * time.Millisecond, false},
		{"all pauses end too late for the deadline", all, time.Hour, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedClient{steps: []func(context.Context) (*qm.Response, error){answerWith(200, "ok", nil)}}
				deps := newDeps(t, s)
				deps.Pauses = pause.New()
				began := time.Now()
				for _, id := range tt.paused {
					deps.Pauses.Begin(id, "", tt.pause, began)
				}
				err := exchg.New(deps).Run(t.Context(), exchange(qm.NonIdempotent), &recorder{})
				if tt.sent {
					if err != nil || len(s.attempts) != 1 {
						t.Fatalf("Run() = %v after %d attempts", err, len(s.attempts))
					}
					if len(tt.paused) < len(all) && s.attempts[0].Endpoint.ID != all[0] {
						t.Errorf("sent to %s, which is paused", s.attempts[0].Endpoint.ID)
					}
					if len(tt.paused) == len(all) && time.Since(began) < tt.pause {
						t.Errorf("sent after %v", time.Since(began))
					}
					return
				}
				var e *qm.Error
				if !errors.As(err, &e) || e.Outcome != qm.OutcomeNotRun || e.Code != qm.CodeOverload || len(s.attempts) > 0 {
					t.Fatalf("Run() = %v after %d attempts", err, len(s.attempts))
				}
				if time.Since(began) > 0 {
					t.Errorf("refused after %v", time.Since(began))
				}
				if e.RetryAfter < min(tt.pause, time.Minute) || e.RetryAfter > 2*tt.pause {
					t.Errorf("Retry-After is %v, with a pause of %v", e.RetryAfter, tt.pause)
				}
			})
		})
	}
}

// TestPauseSpread guards against callers that come back in one instant after a pause.
func TestPauseSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		deps := newDeps(t, &scriptedClient{})
		deps.Pauses = pause.New()
		for _, id := range []qm.EndpointID{"a", "b", "c", "d", "e"} {
			deps.Pauses.Begin(id, "", 10*time.Second, time.Now())
		}
		least, most := time.Hour, time.Duration(0)
		for range 100 {
			err := exchg.New(deps).Run(t.Context(), exchange(qm.NonIdempotent), &recorder{})
			least, most = min(least, qm.AsError(err).RetryAfter), max(most, qm.AsError(err).RetryAfter)
		}
		if most-least < 3*time.Second {
			t.Errorf("callers come back after between %v and %v", least, most)
		}
	})
}

// TestRefusedOnce guards against a request that takes repeats from the budget for endpoints that are known to refuse it.
func TestRefusedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedClient{steps: []func(context.Context) (*qm.Response, error){
			failWith(qm.Refuse(qm.CodeEndpointFull, "send", "full")), answerWith(200, "ok", nil),
		}}
		deps := newDeps(t, s)
		deps.Pauses = pause.New()
		for _, id := range []qm.EndpointID{"a", "b", "c"} {
			deps.Pauses.Begin(id, "", time.Hour, time.Now())
		}
		if err := exchg.New(deps).Run(t.Context(), exchange(qm.NonIdempotent), &recorder{}); err != nil {
			t.Fatal(err)
		}
		for _, a := range s.attempts {
			if a.Endpoint.ID < "d" {
				t.Errorf("sent to %s, which is paused", a.Endpoint.ID)
			}
		}
	})
}
