package config_test

import (
	"context"
	"flag"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/state/config"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

// step is one event of a schedule.
type step struct {
	Kind                string
	WaitMs              int // before the step
	Team                int
	Delete              bool
	ThinkMs, PatienceMs int
	Faults              logsrv.Faults
	Router              int
}

func drawStep(t *rapid.T) step {
	ms := func(most int, label string) int { return rapid.IntRange(0, most).Draw(t, label) }
	s := step{
		Kind: rapid.SampledFrom([]string{
			"edit", "edit", "edit", "edit", "edit", "fault", "fault", "outage", "heal", "restart", "restart", "restart all but one",
			"peers", "slow", "owner", "idle", "torn snapshot", "garbage",
		}).Draw(t, "kind"),
		WaitMs: ms(1500, "wait"),
	}
	switch s.Kind {
	case "edit":
		s.Team, s.Delete = ms(2, "team"), rapid.IntRange(0, 4).Draw(t, "delete") == 0
		s.ThinkMs, s.PatienceMs = ms(300, "think"), 500+ms(8000, "patience")
	case "fault":
		s.Faults.LoseAnswers = rapid.SampledFrom([]float64{0.2, 0.5, 0.9}).Draw(t, "lose")
		s.Faults.LateAppendMs = int64(ms(int(longestFault.Milliseconds()), "late"))
		s.Faults.DelayMs = int64(ms(200, "delay"))
	case "slow":
		s.ThinkMs = ms(2000, "answer time")
	case "restart", "owner":
		s.Router = rapid.IntRange(0, routers).Draw(t, "router")
	case "torn snapshot":
		s.Router, s.ThinkMs = ms(9, "part"), ms(10_000, "before the end")
	case "idle":
		s.WaitMs = ms(2*int(retention.Milliseconds()), "idle")
	}
	return s
}

// run plays a schedule and returns what went wrong.
func run(ctx context.Context, seed uint64, steps []step, count *figures) []string {
	ctx, cancel := context.WithCancel(ctx)
	w := newWorld(ctx, seed)
	down := time.Time{}
	for _, s := range steps {
		if !down.IsZero() && time.Since(down)+time.Duration(s.WaitMs)*time.Millisecond > longestFault {
			w.log.SetFaults(logsrv.Faults{})
			down = time.Time{}
		}
		time.Sleep(time.Duration(s.WaitMs) * time.Millisecond)
		synctest.Wait()
		switch s.Kind {
		case "edit":
			w.edit(s)
		case "fault":
			w.log.SetFaults(s.Faults)
			down = time.Time{}
		case "outage":
			w.log.SetFaults(logsrv.Faults{Down: true})
			down = time.Now()
		case "heal":
			w.log.SetFaults(logsrv.Faults{})
			down = time.Time{}
		case "restart":
			w.restart(s.Router % routers)
		case "restart all but one":
			w.restart(1)
			w.restart(2)
		case "peers":
			w.mu.Lock()
			w.noPeer = !w.noPeer
			w.mu.Unlock()
		case "torn snapshot":
			w.tear(s.Router)
			if !down.IsZero() {
				w.log.SetFaults(logsrv.Faults{})
				down = time.Time{}
			}
			// A new reader meets this snapshot first when the complete one before it has expired.
			time.Sleep(retention - time.Second - time.Duration(s.ThinkMs)*time.Millisecond)
			s.ThinkMs, s.PatienceMs = 0, 5000
			w.edit(s)
		case "garbage":
			w.log.Append(ctx, config.Stream, [][]byte{[]byte("{}"), nil, []byte(`{"Format":1,"Edit":{"Attempt":"x","New":1}}`)})
		case "slow":
			w.slow.Store(int64(s.ThinkMs))
		case "owner":
			w.mu.Lock()
			w.shift = s.Router
			w.mu.Unlock()
		}
	}
	w.log.SetFaults(logsrv.Faults{})
	w.mu.Lock()
	w.noPeer = false
	w.mu.Unlock()
	w.slow.Store(0)
	time.Sleep(40 * time.Second) // longer than any operator's patience and any late append
	synctest.Wait()
	w.check()
	count.add(w)
	cancel()
	for _, n := range w.nodes {
		n.ctrl.Close()
	}
	w.work.Wait()
	return w.faults
}

// figures count what the schedules did, so that a run shows that it tested something.
type figures struct {
	schedules, appends                     atomic.Int64
	accepted, refused, notApplied, unknown atomic.Int64
}

func (f *figures) add(w *world) {
	f.schedules.Add(1)
	f.appends.Add(w.log.Appends())
	for _, a := range w.edits {
		switch a.out.Result {
		case config.Accepted:
			f.accepted.Add(1)
		case config.Refused:
			f.refused.Add(1)
		case config.NotApplied:
			f.notApplied.Add(1)
		case config.Unknown:
			f.unknown.Add(1)
		}
	}
}

var steps = flag.Int("schedule.steps", 40, "most steps of a random schedule")

// TestSchedules guards against readers that differ, go back or lose an accepted edit, and against an edit that takes
// effect after its operator was told that it did not, in any interleaving of edits, lost and late answers, outages,
// restarts, retention and snapshots. Run more schedules with -rapid.checks=1000.
func TestSchedules(t *testing.T) {
	var count figures
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		schedule := rapid.SliceOfN(rapid.Custom(drawStep), 5, *steps).Draw(rt, "schedule")
		var faults []string
		synctest.Test(t, func(t *testing.T) { faults = run(t.Context(), seed, schedule, &count) })
		if len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})
	t.Logf("schedules %d, appends %d, edits accepted %d, refused %d, not applied %d, unknown %d", count.schedules.Load(),
		count.appends.Load(), count.accepted.Load(), count.refused.Load(), count.notApplied.Load(), count.unknown.Load())
	if count.accepted.Load() == 0 || count.refused.Load() == 0 {
		t.Error("the schedules had no accepted or no refused edit, so they test nothing")
	}
}

// TestGarbage guards against a reader that stops at a record that cannot be decoded, or that skips it in silence.
func TestGarbage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, b := logsrv.New(logsrv.Options{}), board.New()
		log.Append(t.Context(), config.Stream, [][]byte{[]byte("{}")})
		c := config.New(t.Context(), config.Options{Log: log, Board: b})
		defer c.Close()
		change := table.Change{Key: table.Key{Kind: table.Group, Name: "g"}}
		out, err := config.NewEditor(log, nil).Apply(t.Context(), []table.Change{change})
		if err != nil || out.Result != config.Accepted || out.Offset != 2 {
			t.Fatalf("outcome %+v, error %v", out, err)
		}
		synctest.Wait()
		conf, ok := b.Table.Load()
		if !ok || conf.Offset != 2 || conf.Groups["g"] == nil {
			t.Errorf("table %+v", conf)
		}
		if s := c.State(); s.Alerts != 1 {
			t.Errorf("%d alerts, want 1", s.Alerts)
		}
	})
}
