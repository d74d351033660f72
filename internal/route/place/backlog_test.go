package place

import (
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/route/sketch"
)

// TestBacklogModelForgets guards against a backlog estimate that stays high after a burst: a router that refuses all
// requests because of it observes no more first tokens, and would never learn that the burst is over.
func TestBacklogModelForgets(t *testing.T) {
	tr := newBacklogModel()
	ticks := func(d time.Duration) sketch.Tick { return sketch.Tick(d / sketch.TickTime) }
	for at := time.Duration(0); at < 5*time.Second; at += 20 * time.Millisecond {
		tr.observe(1000, 50000, ticks(time.Minute+at))
	}
	if base, slope := tr.coefficients(ticks(time.Minute + 5*time.Second)); base+slope*1000 < 30000 {
		t.Fatalf("during the burst, the expected backlog is %.0f tokens", base+slope*1000)
	}
	if base, _ := tr.coefficients(ticks(time.Minute + 9*time.Second)); base > 3000 {
		t.Errorf("four seconds after the burst, the expected backlog of an idle engine is %.0f tokens", base)
	}
}
