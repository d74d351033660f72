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
	Kind   string
	WaitMs int // before the step
	Team   int
	Delete bool
	// PauseMs is the time between the load and the append of an edit, the delay of answers after a slow step, or how long
	// before the end of the retention time an edit follows a torn snapshot. TimeoutMs is the timeout of an edit.
	PauseMs, TimeoutMs int
	Faults             logsrv.Faults
	Router             int
}

func drawStep(t *rapid.T) step {
	ms := func(limit int, label string) int { return rapid.IntRange(0, limit).Draw(t, label) }
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
		s.PauseMs, s.TimeoutMs = ms(300, "think"), 500+ms(8000, "patience")
	case "fault":
		s.Faults.LoseAnswers = rapid.SampledFrom([]float64{0.2, 0.5, 0.9}).Draw(t, "lose")
		s.Faults.LateAppendMs = int64(ms(int(maxFaultTime.Milliseconds()), "late"))
		s.Faults.DelayMs = int64(ms(200, "delay"))
	case "slow":
		s.PauseMs = ms(2000, "answer time")
	case "restart", "owner":
		s.Router = rapid.IntRange(0, numRouters).Draw(t, "router")
	case "torn snapshot":
		s.Router, s.PauseMs = ms(9, "part"), ms(10_000, "before the end")
	case "idle":
		s.WaitMs = ms(2*int(retention.Milliseconds()), "idle")
	}
	return s
}

// run executes a schedule and returns the failures.
func run(ctx context.Context, seed uint64, steps []step, count *counters) []string {
	ctx, cancel := context.WithCancel(ctx)
	cl := newCluster(ctx, seed)
	downSince := time.Time{}
	for _, s := range steps {
		if !downSince.IsZero() && time.Since(downSince)+time.Duration(s.WaitMs)*time.Millisecond > maxFaultTime {
			cl.log.SetFaults(logsrv.Faults{})
			downSince = time.Time{}
		}
		time.Sleep(time.Duration(s.WaitMs) * time.Millisecond)
		synctest.Wait()
		switch s.Kind {
		case "edit":
			cl.runEdit(s)
		case "fault":
			cl.log.SetFaults(s.Faults)
			downSince = time.Time{}
		case "outage":
			cl.log.SetFaults(logsrv.Faults{Down: true})
			downSince = time.Now()
		case "heal":
			cl.log.SetFaults(logsrv.Faults{})
			downSince = time.Time{}
		case "restart":
			cl.restart(s.Router % numRouters)
		case "restart all but one":
			cl.restart(1)
			cl.restart(2)
		case "peers":
			cl.mu.Lock()
			cl.peersDown = !cl.peersDown
			cl.mu.Unlock()
		case "torn snapshot":
			cl.appendTornSnapshot(s.Router)
			if !downSince.IsZero() {
				cl.log.SetFaults(logsrv.Faults{})
				downSince = time.Time{}
			}
			// A new reader finds this snapshot first after the complete one before it has expired.
			time.Sleep(retention - time.Second - time.Duration(s.PauseMs)*time.Millisecond)
			s.PauseMs, s.TimeoutMs = 0, 5000
			cl.runEdit(s)
		case "garbage":
			cl.log.Append(ctx, config.Stream, [][]byte{[]byte("{}"), nil, []byte(`{"Format":1,"Edit":{"Attempt":"x","New":1}}`)})
		case "slow":
			cl.delayMs.Store(int64(s.PauseMs))
		case "owner":
			cl.mu.Lock()
			cl.ownerShift = s.Router
			cl.mu.Unlock()
		}
	}
	cl.log.SetFaults(logsrv.Faults{})
	cl.mu.Lock()
	cl.peersDown = false
	cl.mu.Unlock()
	cl.delayMs.Store(0)
	time.Sleep(40 * time.Second) // longer than any edit's timeout and any late append
	synctest.Wait()
	cl.check()
	count.add(cl)
	cancel()
	for _, r := range cl.routers {
		r.controller.Close()
	}
	cl.work.Wait()
	return cl.failures
}

// counters count the events of all schedules, to show that a run tested something.
type counters struct {
	schedules, appends                     atomic.Int64
	accepted, refused, notApplied, unknown atomic.Int64
}

func (f *counters) add(cl *cluster) {
	f.schedules.Add(1)
	f.appends.Add(cl.log.Appends())
	for _, a := range cl.attempts {
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

var maxSteps = flag.Int("schedule.steps", 40, "most steps of a random schedule")

// TestSchedules guards against routers whose tables differ, go back to a lower offset or lose an accepted edit, and
// against an edit that takes effect after it was reported as refused or not applied, for any interleaving of edits,
// lost and late answers, outages, restarts, retention and snapshots. Run more schedules with -rapid.checks=1000.
func TestSchedules(t *testing.T) {
	var count counters
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		schedule := rapid.SliceOfN(rapid.Custom(drawStep), 5, *maxSteps).Draw(rt, "schedule")
		var failures []string
		synctest.Test(t, func(t *testing.T) { failures = run(t.Context(), seed, schedule, &count) })
		if len(failures) > 0 {
			rt.Fatalf("%s", strings.Join(failures, "\n"))
		}
	})
	t.Logf("schedules %d, appends %d, edits accepted %d, refused %d, not applied %d, unknown %d", count.schedules.Load(),
		count.appends.Load(), count.accepted.Load(), count.refused.Load(), count.notApplied.Load(), count.unknown.Load())
	if count.accepted.Load() == 0 || count.refused.Load() == 0 {
		t.Error("the schedules had no accepted or no refused edit, so they test nothing")
	}
}

// TestGarbage guards against a reader that stops at a record that cannot be decoded, or skips it without an alert.
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
