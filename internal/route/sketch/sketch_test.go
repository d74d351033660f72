package sketch

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	qm "quetzalmount.dev/quetzalmount"
)

// holds reports whether the table lists engine with epoch as a holder of key.
func holds(t *Table, key qm.PrefixKey, engine EngineIndex, epoch uint16) bool {
	for _, h := range t.Get(key) {
		if h.Engine == engine && h.Epoch == epoch {
			return true
		}
	}
	return false
}

// TestTable guards against holders that are still listed after their drop, more entries than the table has room for,
// and a new entry that is lost to an older one.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 64).Draw(t, "limit")
		tab := New(limit)
		if tab.Cap() < limit || tab.Cap() > 2*limit+ways {
			t.Fatalf("bound = %d, want about %d", tab.Cap(), limit)
		}
		now := Tick(1)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now++
			key := qm.PrefixKey(rapid.IntRange(1, 300).Draw(t, "key"))
			engine := EngineIndex(rapid.IntRange(0, 2*Holders).Draw(t, "engine"))
			epoch := uint16(rapid.IntRange(1, 3).Draw(t, "epoch"))
			if rapid.Bool().Draw(t, "drop") {
				tab.Drop(key, engine)
				for _, h := range tab.Get(key) {
					if h.Epoch != 0 && h.Engine == engine {
						t.Fatalf("engine %d still holds %d after its drop", engine, key)
					}
				}
				continue
			}
			tab.Add(key, engine, epoch, now)
			if !holds(tab, key, engine, epoch) {
				t.Fatalf("engine %d does not hold %d after it was added", engine, key)
			}
			if tab.Len() > tab.Cap() {
				t.Fatalf("%d entries, bound %d", tab.Len(), tab.Cap())
			}
		}
	})
}

// TestEvictLeastRecentlyUsed guards against replacing recent holders and prefixes instead of old ones.
func TestEvictLeastRecentlyUsed(t *testing.T) {
	tab := New(1)
	for e := range EngineIndex(Holders + 1) {
		tab.Add(7, e, 1, Tick(e)+1)
	}
	if holds(tab, 7, 0, 1) || !holds(tab, 7, 1, 1) || !holds(tab, 7, Holders, 1) {
		t.Errorf("holders = %v, want all but engine 0", tab.Get(7))
	}
	for k := range qm.PrefixKey(ways) {
		tab.Add(100+k, 1, 1, 50+Tick(k))
	}
	if tab.Get(7) != nil || tab.Get(100) == nil {
		t.Errorf("the least recently used prefix is still in a full set, or a newer one is not")
	}
}

// TestHeavyHitters guards against a frequent prefix whose count is lost among many rare ones, and against one that
// still counts as frequent after a shift of the traffic.
func TestHeavyHitters(t *testing.T) {
	h := NewHeavyHitters(32, time.Second)
	const all = qm.PrefixKey(5)
	send := func(hot qm.PrefixKey, from, to Tick) {
		for now := from; now < to; now++ {
			h.Decay(now)
			h.Add(all)
			h.Add(hot)
			for i := range qm.PrefixKey(3) {
				h.Add(all)
				h.Add(1000 + qm.PrefixKey(now)*3 + i)
			}
		}
	}
	share := func(key qm.PrefixKey) float64 {
		return h.Count(key) / h.Count(all)
	}
	send(1, 0, 500)
	if got := share(1); math.Abs(got-0.25) > 0.01 {
		t.Errorf("share of the hot prefix = %.3f, want 0.25", got)
	}
	send(2, 500, 1000)
	if got := share(1); got > 0.02 {
		t.Errorf("share after five half-lives without traffic = %.3f, want below 0.02", got)
	}
	if got := share(2); got < 0.2 {
		t.Errorf("share of the new hot prefix = %.3f, want above 0.2", got)
	}
}

// TestNoAllocation guards against heap allocations in the calls made for each request.
func TestNoAllocation(t *testing.T) {
	tab, hot, now := New(1024), NewHeavyHitters(64, time.Second), Tick(0)
	got := testing.AllocsPerRun(1000, func() {
		now++
		key := qm.PrefixKey(now) * 7919
		tab.Add(key, EngineIndex(now%12), 1, now)
		tab.Get(key)
		tab.Drop(key-7919*5, EngineIndex(now%12))
		hot.Decay(now)
		hot.Add(key)
	})
	if got != 0 {
		t.Errorf("%.1f allocations a step, want 0", got)
	}
}

func BenchmarkAdd(b *testing.B) {
	tab, now := New(1<<15), Tick(0)
	for b.Loop() {
		now++
		tab.Add(qm.PrefixKey(now%40000)*7919, EngineIndex(now%12), 1, now)
	}
	b.ReportMetric(float64(tab.Bytes())/float64(tab.Cap()), "bytes/prefix")
}
