package roster_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// listed is an instance list with one engine.
type listed struct {
	b      *board.Board
	r      *roster.Roster
	engine qm.Endpoint
	probes int
}

func newListed(t *testing.T) *listed {
	t.Helper()
	l := &listed{b: board.New(), engine: qm.Endpoint{
		ID: "e", Kind: qm.KindEngine, Incarnation: "1", State: qm.Live, Version: "1", Models: map[qm.ModelID]qm.VersionID{"m": "1"},
		ListedAt: time.Now(),
	}}
	l.r = roster.New(t.Context(), roster.Options{
		Board: l.b, Self: qm.Member{Instance: "a"}, ListInterval: 100 * time.Millisecond,
		List: func(context.Context) ([]qm.Member, []*qm.Endpoint, error) {
			e := l.engine
			return nil, []*qm.Endpoint{&e}, nil
		},
		Probe: func(context.Context, *qm.Endpoint) error { l.probes++; return nil },
	})
	t.Cleanup(l.r.Close)
	time.Sleep(150 * time.Millisecond)
	return l
}

func (l *listed) view() *qm.Endpoint {
	all, _ := l.b.Endpoints.Load()
	return all[0]
}

// TestLoading guards against an engine that gets work while it loads, and against one that gets none although it has loaded, because a
// hint from before came back by another way.
func TestLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newListed(t)
		l.r.MarkLoading("e")
		if l.view().State != qm.Suspect {
			t.Errorf("state while it loads: %s", l.view().State)
		}
		time.Sleep(2 * time.Second)
		l.r.MarkLoaded("e", "m", "2")
		if v := l.view(); v.State != qm.Live || v.Models["m"] != "2" || v.Version != "2" {
			t.Errorf("after it has loaded: %+v", v)
		}
		old := roster.Hint{Endpoint: "e", Incarnation: "1", Kind: roster.HintLoading, Age: 500 * time.Millisecond}
		if l.r.ApplyHint(old) || l.view().State != qm.Live {
			t.Error("a hint from before it had loaded was believed")
		}
		time.Sleep(time.Second)
		if !l.r.ApplyHint(roster.Hint{Endpoint: "e", Incarnation: "1", Kind: roster.HintLoading}) || l.view().State != qm.Suspect {
			t.Error("a new hint was not believed")
		}
		time.Sleep(roster.LoadingTimeout + time.Second)
		if l.view().State != qm.Live {
			t.Error("an engine that said nothing more is left alone for ever")
		}
	})
}

// TestListLags guards against the instance list, which lags, taking back what the engine itself has said.
func TestListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newListed(t)
		l.r.SawVersion("e", "m", "2")
		time.Sleep(time.Second)
		l.engine.ListedAt = time.Now() // a heartbeat from before the engine had loaded
		time.Sleep(200 * time.Millisecond)
		if v := l.view(); v.Models["m"] != "2" {
			t.Errorf("version %s, want the one that the engine has said", v.Models["m"])
		}
		time.Sleep(5 * time.Second)
		l.engine.ListedAt = time.Now()
		time.Sleep(200 * time.Millisecond)
		if v := l.view(); v.Models["m"] != "1" {
			t.Errorf("version %s, want the one that the list names since", v.Models["m"])
		}
	})
}

// TestWeightsHint guards against news of an engine's weights that is older than what is known.
func TestWeightsHint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newListed(t)
		time.Sleep(time.Second)
		l.engine.ListedAt = time.Now()
		time.Sleep(200 * time.Millisecond)
		hint := roster.Hint{Endpoint: "e", Incarnation: "1", Kind: roster.HintWeights, Model: "m", Version: "2", Age: time.Second}
		if l.r.ApplyHint(hint) {
			t.Error("a hint older than the list was believed")
		}
		hint.Age = 0
		if !l.r.ApplyHint(hint) || l.view().Models["m"] != "2" {
			t.Error("a hint newer than the list was not believed")
		}
	})
}

// TestHintsEnd guards against evidence of a failure that goes round between routers and makes each of them probe again and again.
func TestHintsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newListed(t)
		believed := 0
		for age := time.Duration(0); age < 20*time.Second; age += 100 * time.Millisecond {
			if l.r.ApplyHint(roster.Hint{Endpoint: "e", Incarnation: "1", Kind: roster.HintFailed, Age: age}) {
				believed++
			}
			time.Sleep(100 * time.Millisecond)
		}
		if believed != 1 || l.probes != 1 {
			t.Errorf("one failure was believed %d times and probed %d times", believed, l.probes)
		}
	})
}

// TestRestart guards against a restarted engine that keeps what was known of it.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newListed(t)
		l.r.MarkLeaving("e", "1")
		if l.view().State != qm.Leaving {
			t.Fatal("not leaving")
		}
		l.engine.Incarnation, l.engine.ListedAt = "2", time.Now()
		time.Sleep(200 * time.Millisecond)
		if v := l.view(); v.State != qm.Live || v.Incarnation != "2" {
			t.Errorf("after the restart: %+v", v)
		}
	})
}
