package roster_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// listFixture is a roster with an instance list of one engine.
type listFixture struct {
	b *board.Board
	r *roster.Roster

	mu     sync.Mutex
	engine qm.Endpoint
	probes int
}

func newListFixture(t *testing.T) *listFixture {
	t.Helper()
	f := &listFixture{b: board.New(), engine: qm.Endpoint{
		ID: "e", Kind: qm.KindEngine, Incarnation: "1", State: qm.Live, Version: "1", Models: map[qm.ModelID]qm.VersionID{"m": "1"},
		ListedAt: time.Now(),
	}}
	f.r = roster.New(t.Context(), roster.Options{
		Board: f.b, Self: qm.Member{Instance: "a"}, ListInterval: 100 * time.Millisecond,
		List: func(context.Context) ([]qm.Member, []*qm.Endpoint, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			e := f.engine
			return nil, []*qm.Endpoint{&e}, nil
		},
		Probe: func(context.Context, *qm.Endpoint) error {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.probes++
			return nil
		},
	})
	t.Cleanup(f.r.Close)
	time.Sleep(150 * time.Millisecond)
	return f
}

func (f *listFixture) view() *qm.Endpoint {
	all, _ := f.b.Endpoints.Load()
	return all[0]
}

// TestLoading guards against an engine that receives requests while it loads weights, and against one that receives none after it has
// loaded them because an older hint arrives late through another peer.
func TestLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newListFixture(t)
		f.r.MarkLoading("e")
		if f.view().State != qm.Suspect {
			t.Errorf("state while it loads: %s", f.view().State)
		}
		time.Sleep(2 * time.Second)
		f.r.MarkLoaded("e", "m", "2")
		if v := f.view(); v.State != qm.Live || v.Models["m"] != "2" || v.Version != "2" {
			t.Errorf("after it has loaded: %+v", v)
		}
		old := roster.Hint{Endpoint: "e", Incarnation: "1", Kind: roster.HintLoading, Age: 500 * time.Millisecond}
		if f.r.ApplyHint(old) || f.view().State != qm.Live {
			t.Error("a hint from before the engine had loaded was applied")
		}
		time.Sleep(time.Second)
		if !f.r.ApplyHint(roster.Hint{Endpoint: "e", Incarnation: "1", Kind: roster.HintLoading}) || f.view().State != qm.Suspect {
			t.Error("a new hint was not applied")
		}
		time.Sleep(roster.LoadingTimeout + time.Second)
		if f.view().State != qm.Live {
			t.Error("an engine that never reported its weights is still not live after LoadingTimeout")
		}
	})
}

// TestListLags guards against an outdated instance list overriding the version that the engine itself reported.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newListFixture(t)
		f.r.RecordVersion("e", "m", "2")
		time.Sleep(time.Second)
		f.mu.Lock()
		f.engine.ListedAt = time.Now() // heartbeat from before the engine had loaded
		f.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		if v := f.view(); v.Models["m"] != "2" {
			t.Errorf("version %s, want the one that the engine reported", v.Models["m"])
		}
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		f.engine.ListedAt = time.Now()
		f.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		if v := f.view(); v.Models["m"] != "1" {
			t.Errorf("version %s, want the one in the newer list", v.Models["m"])
		}
	})
}

// TestWeightsHint guards against applying a hint about an engine's weights that is older than the instance list.
func TestWeightsHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newListFixture(t)
		time.Sleep(time.Second)
		f.mu.Lock()
		f.engine.ListedAt = time.Now()
		f.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		hint := roster.Hint{Endpoint: "e", Incarnation: "1", Kind: roster.HintWeights, Model: "m", Version: "2", Age: time.Second}
		if f.r.ApplyHint(hint) {
			t.Error("a hint older than the list was applied")
		}
		hint.Age = 0
		if !f.r.ApplyHint(hint) || f.view().Models["m"] != "2" {
			t.Error("a hint newer than the list was not applied")
		}
	})
}

// TestHintsEnd guards against a hint about one failure that circulates between routers and makes each of them probe repeatedly.
func TestHintsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newListFixture(t)
		applied := 0
		for age := time.Duration(0); age < 20*time.Second; age += 100 * time.Millisecond {
			if f.r.ApplyHint(roster.Hint{Endpoint: "e", Incarnation: "1", Kind: roster.HintFailed, Age: age}) {
				applied++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if applied != 1 || f.probes != 1 {
			t.Errorf("one failure was applied %d times and probed %d times, want once each", applied, f.probes)
		}
	})
}

// TestRestart guards against a restarted engine that keeps the state of its previous incarnation.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newListFixture(t)
		f.r.MarkLeaving("e", "1")
		if f.view().State != qm.Leaving {
			t.Fatal("not leaving")
		}
		f.mu.Lock()
		f.engine.Incarnation, f.engine.ListedAt = "2", time.Now()
		f.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		if v := f.view(); v.State != qm.Live || v.Incarnation != "2" {
			t.Errorf("after the restart: %+v", v)
		}
	})
}
