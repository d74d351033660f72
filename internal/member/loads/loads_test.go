package loads

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// noopPlacer is a placer that does nothing.
type noopPlacer struct{ qm.Placer }

func (noopPlacer) Dispatched(*qm.PlaceRequest, qm.Placement, time.Time)            {}
func (noopPlacer) FirstToken(*qm.PlaceRequest, qm.Placement, qm.Tokens, time.Time) {}
func (noopPlacer) Finished(*qm.PlaceRequest, qm.Placement, time.Time)              {}

func newTracker(ctx context.Context, id qm.InstanceID) *Tracker {
	return New(ctx, Options{
		Board: board.New(), Self: id, Publish: func(map[qm.EndpointID]qm.Load) {},
		Exchange: func(context.Context, qm.Member, *peerpb.LoadShare) (*peerpb.LoadShare, error) {
			return nil, context.Canceled
		},
	})
}

// TestCounts guards against requests that are counted after they ended and prompt tokens that are counted after the first token.
func TestCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(t.Context(), "a")
		defer tracker.Close()
		c := CountingPlacer{Placer: noopPlacer{}, Tracker: tracker}
		d := qm.Placement{Endpoint: &qm.Endpoint{ID: "e"}, CachedTokens: 400}
		r := &qm.PlaceRequest{PromptTokens: 1000, NonResumable: true}
		now := time.Now()
		expect := func(when string, want map[qm.EndpointID]qm.Load) {
			t.Helper()
			if diff := cmp.Diff(want, tracker.Estimate(0, now)); diff != "" {
				t.Errorf("%s (-want +got):\n%s", when, diff)
			}
		}
		c.Dispatched(r, d, now)
		expect("sent", map[qm.EndpointID]qm.Load{"e": {Running: 1, NonResumable: 1, QueuedTokens: 600}})
		c.FirstToken(r, d, 400, now)
		expect("first token", map[qm.EndpointID]qm.Load{"e": {Running: 1, NonResumable: 1}})
		c.Finished(r, d, now)
		c.Finished(r, d, now)
		expect("finished", map[qm.EndpointID]qm.Load{})
		c.Dispatched(r, d, now)
		c.Finished(r, d, now)
		expect("failed before its first token", map[qm.EndpointID]qm.Load{})
	})
}

// TestEstimate guards against an estimate that is wrong when only some routers have reported, or that includes outdated reports.
func TestEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker(t.Context(), "a")
		defer tracker.Close()
		for i := range 10 {
			tracker.HandleExchange(&peerpb.LoadShare{
				Instance: fmt.Sprint("r", i), Loads: []*peerpb.EndpointLoad{{Endpoint: "e", Requests: 2, PendingTokens: 100, Once: 1}},
			})
		}
		if got, want := tracker.Estimate(40, time.Now())["e"], (qm.Load{Running: 80, NonResumable: 40, QueuedTokens: 4000}); got != want {
			t.Errorf("10 of 40 routers reported: %+v, want %+v", got, want)
		}
		if got := tracker.Estimate(5, time.Now())["e"].Running; got != 20 {
			t.Errorf("more reports than routers: %d, want 20", got)
		}
		time.Sleep(2 * maxReportAge)
		if got := tracker.Estimate(40, time.Now()); len(got) != 0 {
			t.Errorf("outdated reports still count: %v", got)
		}
	})
}

// TestLogAvailability guards against the loads of other routers becoming unknown without a log line.
func TestLogAvailability(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var lines []string
		var broken atomic.Bool
		b := board.New()
		b.Members.Store(qm.Members{{Instance: "a", IsSelf: true}, {Instance: "b", PeerAddress: "b", State: qm.Live}})
		tracker := New(t.Context(), Options{
			Board: b, Self: "a", Publish: func(map[qm.EndpointID]qm.Load) {},
			Log: funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{}),
			Exchange: func(context.Context, qm.Member, *peerpb.LoadShare) (*peerpb.LoadShare, error) {
				if broken.Load() {
					return nil, errors.New("refused")
				}
				return &peerpb.LoadShare{Instance: "b"}, nil
			},
		})
		time.Sleep(time.Second)
		broken.Store(true)
		time.Sleep(time.Second)
		broken.Store(false)
		time.Sleep(time.Second)
		tracker.Close()
		want := []string{"loads of other routers known", "loads of other routers unknown", "loads of other routers known"}
		if len(lines) != len(want) {
			t.Fatalf("got log lines %q", lines)
		}
		for i, w := range want {
			if !strings.Contains(lines[i], w) {
				t.Errorf("log line %d is %s, want %s", i, lines[i], w)
			}
		}
		if !strings.Contains(lines[1], "refused") {
			t.Errorf("log line lacks the cause: %s", lines[1])
		}
	})
}
