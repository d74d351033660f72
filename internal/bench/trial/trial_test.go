package trial

import (
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
)

// figures returns the printed values of a result.
func figures(r *Result) []float64 {
	return []float64{
		r.HitRate(), r.RecomputedShare(), r.TTFTQuantile(0.5), r.TTFTQuantile(0.99), r.JainIndex(), r.Busy,
		float64(r.Unserved),
	}
}

// TestSameFigures guards against results that depend on the number of processors or on the iteration order of a map.
func TestSameFigures(t *testing.T) {
	runs := func(procs int) [][]float64 {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(procs))
		var all [][]float64
		merged, _ := RunAll(Deployments()[:1], Cases()[2:3], Policies(), []uint64{1, 2})
		for _, r := range merged {
			all = append(all, figures(r))
		}
		return all
	}
	if diff := cmp.Diff(runs(1), runs(4)); diff != "" {
		t.Errorf("figures differ between 1 and 4 processors:\n%s", diff)
	}
}

// TestEngine guards against a fake engine whose times to first token don't follow from the prefill and cached tokens,
// and against a crash that doesn't return all jobs of the engine.
func TestEngine(t *testing.T) {
	deployment := Deployments()[0]
	s := &simulation{
		spec: Spec{Deployment: deployment, Policy: Policies()[0]}, result: newResult(Spec{Deployment: deployment}),
	}
	e := &engine{sim: s, id: "e", prefillTokenTime: prefillTokenTime}
	e.boot()
	s.engines = []*engine{e}
	s.routers = []*router{newRouter(s, 0)}
	prompt := newTraffic(deployment, 1).spans(plan{}, 1000)
	dispatch := func() *job {
		r := &request{arrival: warmUpTime, outputTokens: 1}
		j := &job{req: r, router: s.routers[0], placeRequest: qm.PlaceRequest{Spans: prompt, PromptTokens: 21000}}
		j.placement.Endpoint = s.routers[0].endpoints[0]
		s.clock.schedule(0, func() { e.accept(j) })
		return j
	}
	s.clock.now = warmUpTime
	first := dispatch()
	s.clock.runUntil(warmUpTime + 2*time.Second)
	second := dispatch()
	s.clock.runUntil(warmUpTime + 4*time.Second)
	if first.cachedTokens != 0 || second.cachedTokens != 21000 {
		t.Errorf("cached = %d and %d, want 0 and 21000", first.cachedTokens, second.cachedTokens)
	}
	if got, want := s.result.ttftSeconds[0], (prefillOverhead + 21000*prefillTokenTime).Seconds(); got != want {
		t.Errorf("first token after %.4f s, want %.4f", got, want)
	}
	if got := e.cache.usedTokens; got != 21000 {
		t.Errorf("cache holds %d tokens, want 21000", got)
	}
	dispatch()
	s.clock.runUntil(s.clock.now)
	if lost := e.crash(); len(lost) != 1 {
		t.Errorf("%d jobs lost in the crash, want 1", len(lost))
	}
}

// TestCache guards against a cache that exceeds its limit, and against one that keeps an entry after evicting a shorter
// prefix of the same prompt.
func TestCache(t *testing.T) {
	traffic := newTraffic(Deployments()[0], 7)
	var stored, evicted int
	c := newCache(200000, func(_ qm.PrefixKey, isStored bool) {
		if isStored {
			stored++
		} else {
			evicted++
		}
	})
	for range 500 {
		r := traffic.sampleRequest(-1)
		c.store(r.prompt.Spans)
		if c.usedTokens > c.limitTokens || len(c.entries) != stored-evicted || len(c.entries) != c.recency.Len() {
			t.Fatalf("%d tokens in %d entries, %d stored, %d evicted", c.usedTokens, len(c.entries), stored, evicted)
		}
		missing := false
		for _, s := range r.prompt.Spans {
			_, ok := c.entries[s.Key]
			if ok && missing {
				t.Fatalf("entry that ends at token %d is cached without its prefix", s.End)
			}
			missing = !ok
		}
	}
	if evicted == 0 {
		t.Error("nothing was evicted")
	}
}
