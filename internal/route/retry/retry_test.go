package retry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/retry"
)

// TestRetryable guards against a second run of a call that must not run twice.
func TestRetryable(t *testing.T) {
	lost := qm.Fail(qm.CodeEndpointFailed, "dispatch", "tally-1", errors.New("connection lost"))
	for name, test := range map[string]struct {
		err  error
		want [3]bool // Once, Deduplicated, Repeatable
	}{
		"none":           {nil, [3]bool{}},
		"not reached":    {qm.Refuse(qm.CodeEndpointFailed, "connect", "refused"), [3]bool{true, true, true}},
		"wrapped":        {errors.Wrap(qm.Refuse(qm.CodeNoEndpoint, "place", "none"), "call"), [3]bool{true, true, true}},
		"lost":           {lost, [3]bool{false, true, true}},
		"untyped":        {errors.New("anything"), [3]bool{false, true, true}},
		"caller left":    {errors.Wrap(context.Canceled, "call"), [3]bool{}},
		"bad request":    {qm.Refuse(qm.CodeBadRequest, "decode", "no"), [3]bool{}},
		"own limit":      {qm.Refuse(qm.CodeRateLimit, "admit", "no"), [3]bool{}},
		"key conflict":   {qm.Refuse(qm.CodeConflict, "claim", "no"), [3]bool{}},
		"already done":   {&qm.Error{Code: qm.CodeEndpointFailed, Outcome: qm.OutcomeDone}, [3]bool{}},
		"router leaving": {qm.Refuse(qm.CodeLeaving, "claim", "no"), [3]bool{}},
	} {
		var got [3]bool
		for i, r := range []retry.Repeatability{retry.Once, retry.Deduplicated, retry.Repeatable} {
			got[i] = retry.Retryable(test.err, r)
		}
		if diff := cmp.Diff(test.want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

func ExampleRepeatabilityOf() {
	svc := &qm.Service{RepeatableCalls: []string{"status"}, SupportsIdempotencyKeys: true}
	fmt.Println(retry.RepeatabilityOf(&qm.Call{Service: svc, Name: "status"}) == retry.Repeatable,
		retry.RepeatabilityOf(&qm.Call{Service: svc, Name: "post", Key: "k"}) == retry.Deduplicated,
		retry.RepeatabilityOf(&qm.Call{Service: svc, Name: "post"}) == retry.Once)
	// Output: true true true
}

// TestTeamBudget guards against more retries than a tenth of the requests, in any order of requests, retries and idle periods, and against
// state that is kept for idle teams.
func TestTeamBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.NewTeamBudget()
		now := time.Unix(1, 0)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "idle")) * time.Second)
			case 1, 2, 3:
				if b.TakeRetry("a") {
					retries++
				}
			default:
				b.RecordRequest("a", now)
				requests++
			}
			if retries*retry.RequestsPerRetry > requests {
				t.Fatalf("%d retries of %d requests", retries, requests)
			}
		}
		b.RecordRequest("b", now.Add(2*time.Minute))
		if got := b.Teams(); got != 1 {
			t.Fatalf("%d teams have state after the others were idle, want 1", got)
		}
	})
}

// TestAmplification guards against retries that multiply the load on an endpoint which fails for a minute.
func TestAmplification(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := retry.NewTeamBudget()
		var requests, sent atomic.Int64
		var callers sync.WaitGroup
		for c := range 40 {
			team := qm.TeamID(fmt.Sprint("team-", c%8))
			rnd := rand.New(rand.NewPCG(uint64(c), 0))
			callers.Go(func() {
				for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond) {
					ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
					requests.Add(1)
					b.RecordRequest(team, time.Now())
					for n, more := 0, true; more; n++ {
						sent.Add(1)
						time.Sleep(10 * time.Millisecond)
						var wait time.Duration
						err := qm.Fail(qm.CodeEndpointFailed, "call", "e", errors.New("overloaded"))
						if wait, more = b.NextDelay(ctx, team, err, retry.Repeatable, n, rnd); more {
							time.Sleep(wait)
						}
					}
					cancel()
				}
			})
		}
		callers.Wait()
		retries := sent.Load() - requests.Load()
		t.Logf("%d requests, %d retries", requests.Load(), retries)
		if retries*10 > requests.Load() || retries*12 < requests.Load() {
			t.Errorf("%d retries of %d requests, want at most 10%% and at least 8%%", retries, requests.Load())
		}
	})
}

// TestBreaker guards against concurrent or early probes, against late failures of earlier requests that change an open breaker, and against
// unbounded state.
func TestBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := retry.NewBreakers()
		allow := func(want bool, when string) retry.Permit {
			t.Helper()
			p, ok := b.Allow("e", time.Now())
			if ok != want {
				t.Fatalf("%s: allowed = %v, want %v", when, ok, want)
			}
			return p
		}
		old := allow(true, "closed")
		for range retry.FailuresToOpen {
			allow(true, "before enough failures").Report(false, time.Now())
		}
		allow(false, "open")
		time.Sleep(time.Second)
		probe := allow(true, "probe")
		allow(false, "second probe")
		old.Report(false, time.Now())
		probe.Report(false, time.Now())
		time.Sleep(time.Second)
		allow(false, "open time doubled by a failed probe")
		time.Sleep(time.Second)
		allow(true, "probe that never reports")
		time.Sleep(10 * time.Second)
		allow(true, "probe after one without a report").Report(true, time.Now())
		allow(true, "closed again")
		if b.Failing() != 0 {
			t.Errorf("%d entries for working endpoints, want 0", b.Failing())
		}
		for i := range retry.MaxEntries + 10 {
			p, _ := b.Allow(qm.EndpointID(fmt.Sprint(i)), time.Now())
			p.Report(false, time.Now())
		}
		if b.Failing() != retry.MaxEntries {
			t.Errorf("%d entries, want %d", b.Failing(), retry.MaxEntries)
		}
	})
}

// TestDeadline guards against a deadline that is extended or lost between the caller and the endpoint.
func TestDeadline(t *testing.T) {
	for in, want := range map[string]string{"": "2000", "500": "400", "99999999": "9900", "9223372036854775807": "9900", "0": "refused", "-1": "refused",
		"1s": "refused", "50": "late"} {
		synctest.Test(t, func(t *testing.T) {
			h, out := http.Header{}, http.Header{}
			if in != "" {
				h.Set(retry.TimeoutHeader, in)
			}
			got := "refused"
			if ctx, cancel, err := retry.WithDeadline(t.Context(), h, 2100*time.Millisecond, 10*time.Second); err == nil {
				defer cancel()
				time.Sleep(100 * time.Millisecond)
				got = "late"
				if err := retry.SetTimeoutHeader(ctx, out); err == nil {
					got = out.Get(retry.TimeoutHeader)
				}
			}
			if got != want {
				t.Errorf("%q: got %s, want %s", in, got, want)
			}
		})
	}
}

// TestNextDelay guards against delays beyond the deadline and against delays below the RetryAfter of a refusal.
func TestNextDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := retry.NewTeamBudget()
		for range 20 {
			b.RecordRequest("a", time.Now())
		}
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		rnd := rand.New(rand.NewPCG(1, 1))
		refusal := func(after time.Duration) error {
			return qm.Refuse(qm.CodeEndpointFailed, "call", "busy").WithRetryAfter(after)
		}
		if d, ok := b.NextDelay(ctx, "a", refusal(time.Second), retry.Once, 0, rnd); !ok || d < time.Second || d > 1020*time.Millisecond {
			t.Errorf("delay %v, %v, want 1 s plus a jitter of at most 20 ms", d, ok)
		}
		if d, ok := b.NextDelay(ctx, "a", refusal(4*time.Second), retry.Once, 0, rnd); ok {
			t.Errorf("delay %v exceeds the deadline", d)
		}
		for n := range 100 {
			if d := retry.Backoff(n, refusal(0), rnd); d < 0 || d > 2*time.Second {
				t.Errorf("retry %d has delay %v", n, d)
			}
		}
	})
}
