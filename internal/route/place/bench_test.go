package place

import (
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// warmPlacer returns a placer that has placed requests of many contexts on n engines, the engines, and requests for
// further calls.
func warmPlacer(n int) (*Expected, []*qm.Endpoint, []*qm.PlaceRequest, *rand.Rand) {
	p, v, rnd := New(Defaults()), newEndpoints(n, nil), rand.New(rand.NewPCG(1, 2))
	var reqs []*qm.PlaceRequest
	for i := range 512 {
		r := newRequest("team"+strconv.Itoa(i%16), "v1", strconv.Itoa(i), uint64(i))
		now := start.Add(time.Duration(i) * time.Millisecond)
		d, _ := p.Place(r, v, now, rnd)
		p.Dispatched(r, d, now)
		p.FirstToken(r, d, d.CachedTokens, now)
		p.Finished(r, d, now)
		reqs = append(reqs, r)
	}
	return p, v, reqs, rnd
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{12, 100, 3200} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			p, v, reqs, rnd := warmPlacer(n)
			now, i := start.Add(time.Second), 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				if _, ok := p.Place(reqs[i%len(reqs)], v, now, rnd); !ok {
					b.Fatal("no decision")
				}
			}
		})
	}
}

// BenchmarkRequest measures all placer calls for one request.
func BenchmarkRequest(b *testing.B) {
	p, v, reqs, rnd := warmPlacer(12)
	now, i := start.Add(time.Second), 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		r := reqs[i%len(reqs)]
		d, _ := p.Place(r, v, now, rnd)
		p.Dispatched(r, d, now)
		p.FirstToken(r, d, d.CachedTokens, now)
		p.Finished(r, d, now)
	}
}

func BenchmarkObserve(b *testing.B) {
	p, _, _, _ := warmPlacer(12)
	events := make([]qm.CacheEvent, 64)
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		if i%len(events) == 0 {
			for j := range events {
				n := i + j
				events[j] = qm.CacheEvent{Seq: int64(n), Stored: n%2 == 0, Block: qm.PrefixKey(n/2) * 7919}
			}
			p.Observe("e3", "one", events, false, start)
		}
		i++
	}
}

// BenchmarkMemory reports the heap bytes of a placer with 12 engines and those of each further engine.
func BenchmarkMemory(b *testing.B) {
	heap := func(n int) float64 {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		p, _, _, _ := warmPlacer(n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(p)
		return float64(after.HeapAlloc) - float64(before.HeapAlloc)
	}
	for b.Loop() {
		small, large := heap(12), heap(3212)
		b.ReportMetric(small, "bytes/placer")
		b.ReportMetric((large-small)/3200, "bytes/engine")
	}
}

// TestNoAllocation guards against heap allocations in a decision.
func TestNoAllocation(t *testing.T) {
	p, v, reqs, rnd := warmPlacer(12)
	now, i := start.Add(time.Second), 0
	got := testing.AllocsPerRun(1000, func() {
		i++
		p.Place(reqs[i%len(reqs)], v, now, rnd)
	})
	if got != 0 {
		t.Errorf("%.1f allocations a decision, want 0", got)
	}
}
