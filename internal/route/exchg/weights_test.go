package exchg_test

import (
	"context"
	"math/rand/v2"
	"net/url"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/exchg"
)

// busyPlacer selects the first engine and expects the first token after a time.
type busyPlacer struct {
	qm.Placer
	ttft time.Duration
}

func (p busyPlacer) Place(_ *qm.PlaceRequest, e []*qm.Endpoint, _ time.Time, _ *rand.Rand) (qm.Placement, bool) {
	if len(e) == 0 {
		return qm.Placement{}, false
	}
	return qm.Placement{Endpoint: e[0], ExpectedTTFT: p.ttft}, true
}

// TestOldWeightsQueue guards against a request that is sent to an engine with older weights in time and waits there until these may no
// longer be used.
func TestOldWeightsQueue(t *testing.T) {
	for _, tt := range []struct {
		left, ttft time.Duration
		want       string
	}{
		{time.Second, 100 * time.Millisecond, "old"}, {time.Second, 600 * time.Millisecond, "new"}, {-time.Second, 0, "new"},
	} {
		synctest.Test(t, func(t *testing.T) {
			const grace = 5 * time.Second
			client := &scriptedClient{steps: []func(context.Context) (*qm.Response, error){answerWith(200, "ok", nil)}}
			deps := newDeps(t, client)
			deps.OldWeightsGrace = grace
			deps.Engines = busyPlacer{Placer: deps.Engines, ttft: tt.ttft}
			deps.Board.Endpoints.Store(qm.Endpoints{
				{ID: "old", Group: "g", State: qm.Live, Models: map[qm.ModelID]qm.VersionID{"m": "1"}},
				{ID: "new", Group: "g", State: qm.Suspect, Models: map[qm.ModelID]qm.VersionID{"m": "2"}},
			})
			now := time.Now()
			deps.Board.Weights.Store(map[qm.ModelID]qm.DesiredWeights{"m": {Version: "2", Number: 2, SeenAt: now.Add(tt.left - grace)}})
			err := exchg.New(deps).Run(t.Context(), &qm.Exchange{
				Route: &qm.Route{ID: "r", Kind: qm.Idempotent, MaxAttempts: 1, LatencyObjective: time.Minute}, Group: "g", Model: "m",
				Target: &url.URL{Path: "/"}, Received: now, CallerDeadline: now.Add(time.Minute), EffectiveDeadline: now.Add(time.Minute),
			}, &recorder{})
			if err != nil {
				t.Fatal(err)
			}
			if got := client.attempts[0].Endpoint.ID; string(got) != tt.want {
				t.Errorf("%v before the bound, with the first token expected after %v: sent to %s, want %s", tt.left, tt.ttft, got, tt.want)
			}
		})
	}
}

// TestOldWeightsSlowEngine guards against a request that begins on older weights after the bound, because its engine was far slower than the
// expected time to the first token: in calm a request that was expected at once began 0.8 s, its objective, after it was sent.
func TestOldWeightsSlowEngine(t *testing.T) {
	for _, tt := range []struct {
		objective time.Duration
		want      string
	}{{100 * time.Millisecond, "old"}, {800 * time.Millisecond, "new"}} {
		synctest.Test(t, func(t *testing.T) {
			const grace = 9500 * time.Millisecond
			client := &scriptedClient{steps: []func(context.Context) (*qm.Response, error){answerWith(200, "ok", nil)}}
			deps := newDeps(t, client)
			deps.OldWeightsGrace = grace
			deps.Engines = busyPlacer{Placer: deps.Engines, ttft: 50 * time.Millisecond}
			deps.Board.Endpoints.Store(qm.Endpoints{
				{ID: "old", Group: "g", State: qm.Live, Models: map[qm.ModelID]qm.VersionID{"m": "1"}},
				{ID: "new", Group: "g", State: qm.Suspect, Models: map[qm.ModelID]qm.VersionID{"m": "2"}},
			})
			now := time.Now()
			deps.Board.Weights.Store(map[qm.ModelID]qm.DesiredWeights{"m": {Version: "2", Number: 2, SeenAt: now.Add(800*time.Millisecond - grace)}})
			err := exchg.New(deps).Run(t.Context(), &qm.Exchange{
				Route: &qm.Route{ID: "r", Kind: qm.Idempotent, MaxAttempts: 1, LatencyObjective: tt.objective}, Group: "g", Model: "m",
				Target: &url.URL{Path: "/"}, Received: now, CallerDeadline: now.Add(time.Minute), EffectiveDeadline: now.Add(time.Minute),
			}, &recorder{})
			if err != nil {
				t.Fatal(err)
			}
			if got := client.attempts[0].Endpoint.ID; string(got) != tt.want {
				t.Errorf("objective %v, 800 ms before the bound: sent to %s, want %s", tt.objective, got, tt.want)
			}
		})
	}
}
