package fatal

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestDurations guards against an estimate that is too low shortly after the start, when only short runs have completed, for runs of a tenth of
// a second to ten minutes.
func TestDurations(t *testing.T) {
	for _, took := range []time.Duration{100 * time.Millisecond, 3 * time.Second, 10 * time.Minute} {
		rnd := rand.New(rand.NewPCG(1, 1))
		start := time.Unix(0, 0)
		now := start.Add(took / 2)
		d := durations{start: start}
		for i := range 200 {
			began := start.Add(time.Duration(i) * took / 400)
			ends := began.Add(time.Duration(rnd.ExpFloat64() * float64(took)))
			d.begin(began)
			if ends.Before(now) {
				d.end(began, ends)
				d.complete()
			}
		}
		if got := d.mean(now); got < took*7/10 || got > took*14/10 {
			t.Errorf("half a mean time after the start: %v, want about %v", got, took)
		}
	}
}

// TestDurationsOverYears guards against an estimate that overflows, and against one that no longer follows.
func TestDurationsOverYears(t *testing.T) {
	start := time.Unix(0, 0)
	d := durations{start: start}
	// About 400 runs of a day at a time, for ten years.
	const n, gap = 1_500_000, 210 * time.Second
	for i := range n {
		began := start.Add(time.Duration(i) * gap)
		d.begin(began)
		d.end(began, began.Add(24*time.Hour))
		d.complete()
	}
	if got := d.mean(start.Add(n * gap)); got < 23*time.Hour || got > 25*time.Hour {
		t.Errorf("after ten years of runs of a day: %v", got)
	}
	for range 4 * maxDurations {
		d.begin(start)
		d.end(start, start.Add(time.Second))
		d.complete()
	}
	if got := d.mean(start); got > 2*time.Hour {
		t.Errorf("after %d runs of a second: %v", 4*maxDurations, got)
	}
}
