package trial

import (
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
)

// summary is the printed part of a result.
func summary(r *Result) []float64 {
	return []float64{
		r.HitRate(), r.Recomputed(), r.Quantile(0.5), r.Quantile(0.99), r.Fairness(), r.Busy, float64(r.Unserved),
	}
}

// TestSameFigures guards against figures that depend on the number of processors or on the order of a map.
func TestSameFigures(t *testing.T) {
	runs := func(procs int) [][]float64 {
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(procs))
		var all [][]float64
		merged, _ := Matrix(Deployments()[:1], Cases()[2:3], Policies(), []uint64{1, 2})
		for _, r := range merged {
			all = append(all, summary(r))
		}
		return all
	}
	if diff := cmp.Diff(runs(1), runs(4)); diff != "" {
		t.Errorf("figures differ between 1 and 4 processors:\n%s", diff)
	}
}

// TestEngine guards against a fake whose times do not follow from prefill and cache, and against jobs that get lost.
func TestEngine(t *testing.T) {
	dep := Deployments()[0]
	w := &world{spec: Spec{Deployment: dep, Policy: Policies()[0]}, res: newResult(Spec{Deployment: dep})}
	e := &engine{w: w, id: "e", cost: tokenCost}
	e.boot()
	w.engines = []*engine{e}
	w.routers = []*router{newRouter(w, 0)}
	prompt := newTraffic(dep, 1).spans(plan{}, 1000)
	send := func() *job {
		r := &request{at: warmTime, output: 1}
		j := &job{req: r, router: w.routers[0], place: qm.PlaceRequest{Spans: prompt, PromptTokens: 21000}}
		j.choice.Endpoint = w.routers[0].view[0]
		w.clock.after(0, func() { e.take(j) })
		return j
	}
	w.clock.now = warmTime
	a := send()
	w.clock.run(warmTime + 2*time.Second)
	b := send()
	w.clock.run(warmTime + 4*time.Second)
	if a.cached != 0 || b.cached != 21000 {
		t.Errorf("cached = %d and %d, want 0 and 21000", a.cached, b.cached)
	}
	if got, want := w.res.times[0], (stepTime + 21000*tokenCost).Seconds(); got != want {
		t.Errorf("first token after %.4f s, want %.4f", got, want)
	}
	if got := e.cache.used; got != 21000 {
		t.Errorf("cache holds %d tokens, want 21000", got)
	}
	send()
	w.clock.run(w.clock.now)
	if lost := e.crash(); len(lost) != 1 {
		t.Errorf("%d jobs lost in the crash, want 1", len(lost))
	}
}

// TestCache guards against a cache above its limit and against one that keeps a step whose prefix it dropped.
func TestCache(t *testing.T) {
	traffic := newTraffic(Deployments()[0], 7)
	var stored, evicted int
	c := newCache(200000, func(_ qm.PrefixKey, in bool) {
		if in {
			stored++
		} else {
			evicted++
		}
	})
	for range 500 {
		r := traffic.draw(-1)
		c.store(r.prompt.Spans)
		if c.used > c.limit || len(c.blocks) != stored-evicted || len(c.blocks) != c.order.Len() {
			t.Fatalf("%d tokens in %d blocks, %d stored, %d evicted", c.used, len(c.blocks), stored, evicted)
		}
		gone := false
		for _, s := range r.prompt.Spans {
			_, ok := c.blocks[s.Key]
			if ok && gone {
				t.Fatalf("step to %d is held without its prefix", s.End)
			}
			gone = !ok
		}
	}
	if evicted == 0 {
		t.Error("nothing was evicted")
	}
}
