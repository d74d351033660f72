package place

import (
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/route/sketch"
)

// TestTrustForgets replays a burst in which every request waits long, after which none is sent: the router has to expect short waits
// again, else it refuses all requests and never learns that the burst is over.
func TestTrustForgets(t *testing.T) {
	tr := newTrust()
	ticks := func(d time.Duration) sketch.Tick { return sketch.Tick(d / sketch.TickTime) }
	for at := time.Duration(0); at < 5*time.Second; at += 20 * time.Millisecond {
		tr.learn(1000, 50000, ticks(time.Minute+at))
	}
	if base, slope := tr.line(ticks(time.Minute + 5*time.Second)); base+slope*1000 < 30000 {
		t.Fatalf("in the burst the expected backlog is %.0f tokens", base+slope*1000)
	}
	if base, _ := tr.line(ticks(time.Minute + 9*time.Second)); base > 3000 {
		t.Errorf("four seconds after the burst the expected backlog of an idle engine is %.0f tokens", base)
	}
}
