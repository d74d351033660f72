package place

import (
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/sketch"
)

// holderAt returns a holder seen age before now.
func holderAt(now sketch.Tick, age time.Duration) sketch.Holder {
	return sketch.Holder{Epoch: 1, Seen: now - sketch.Tick(age/sketch.TickTime)}
}

// loads tracks the requests of each engine independently of the placer: the reported ones and those sent since.
type loads map[qm.EndpointID]int

// TestRules guards, for every policy, against a decision for an engine that is excluded, leaving, not in the list, or
// suspect while a live one is left. For the Expected policy it also guards against exceeding the load bound.
func TestRules(t *testing.T) {
	policies := append(Policies(), Policy{
		Name: "pair", New: func() qm.Placer { return NewPair(HashShare) }, Reasons: map[string]string{reasonHash: "x"},
	})
	// A tight bound is reached far more often than the default one.
	tight := policies[3]
	tight.Name, tight.New = "tight", func() qm.Placer { return New(tightOptions()) }
	policies = append(policies, tight)
	for _, policy := range policies {
		t.Run(policy.Name, func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkRules(t, policy) }) })
	}
}

func tightOptions() Options {
	opt := Defaults()
	opt.LoadFactor, opt.MinLoadBound = 1.1, 1
	return opt
}

func checkRules(t *rapid.T, policy Policy) {
	p, now, rnd := policy.New(), start, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	n := rapid.IntRange(1, 12).Draw(t, "engines")
	var v []*qm.Endpoint
	sent := loads{}
	for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "pause")) * time.Millisecond)
		if step == 0 || rapid.IntRange(0, 5).Draw(t, "report") == 0 {
			v = drawView(t, n, now)
			for _, e := range v {
				sent[e.ID] = e.Load.Running + e.Load.Waiting
			}
		}
		r := newRequest("a", "v1", strconv.Itoa(step%3), uint64(step))
		for _, e := range v {
			if rapid.IntRange(0, 4).Draw(t, "exclude") == 0 {
				r.Exclude = append(r.Exclude, e.ID)
			}
		}
		d, ok := p.Place(r, v, now, rnd)
		checkDecision(t, policy, r, v, sent, d, ok)
		if ok {
			p.Dispatched(r, d, now)
			sent[d.Endpoint.ID]++
		}
	}
}

// drawView draws a view with a report for each engine. Each view has new incarnations, so that earlier dispatches do
// not count.
func drawView(t *rapid.T, n int, now time.Time) []*qm.Endpoint {
	states := []qm.MemberState{
		qm.Live, qm.Live, qm.Live, qm.Suspect, qm.Leaving,
	}
	return newEndpoints(n, func(_ int, e *qm.Endpoint) {
		e.State = rapid.SampledFrom(states).Draw(t, "state")
		e.Incarnation = qm.Incarnation(now.String())
		e.ReportedAt = now
		e.Load.Running = rapid.IntRange(0, 12).Draw(t, "running")
		e.Load.Waiting = rapid.IntRange(0, 10).Draw(t, "waiting")
		e.Load.QueuedTokens = qm.Tokens(rapid.IntRange(0, 300000).Draw(t, "queued"))
	})
}

func checkDecision(
	t *rapid.T, policy Policy, r *qm.PlaceRequest, v []*qm.Endpoint, sent loads,
	d qm.Placement, ok bool,
) {
	var live, suspect []*qm.Endpoint
	for _, e := range v {
		switch {
		case excluded(e.ID, r.Exclude):
		case e.State == qm.Live:
			live = append(live, e)
		case e.State == qm.Suspect:
			suspect = append(suspect, e)
		}
	}
	allowed := live
	if len(live) == 0 {
		allowed = suspect
	}
	if ok != (len(allowed) > 0) {
		t.Fatalf("decision made: %v, candidates: %d", ok, len(allowed))
	}
	if !ok {
		return
	}
	total, found := 0, false
	for _, e := range allowed {
		total += sent[e.ID]
		found = found || e == d.Endpoint
	}
	if !found {
		t.Fatalf("chose %s in state %s, excluded %v", d.Endpoint.ID, d.Endpoint.State, r.Exclude)
	}
	if policy.Reasons[d.Reason] == "" || d.Incarnation != d.Endpoint.Incarnation {
		t.Fatalf("reason %q is not documented, or incarnation %q is not the engine's", d.Reason, d.Incarnation)
	}
	opt := Defaults()
	switch policy.Name {
	case "expected":
	case "tight":
		opt = tightOptions()
	default:
		return
	}
	bound := math.Max(float64(opt.MinLoadBound), math.Ceil(opt.LoadFactor*float64(total+1)/float64(len(allowed))))
	if got := float64(sent[d.Endpoint.ID] + 1); got > bound {
		t.Fatalf("%s gets request %.0f, the bound is %.0f", d.Endpoint.ID, got, bound)
	}
}

// TestRetainedEvents guards against a restarted router that ignores the events that engines retained, which arrive
// before its first request, and against one that applies them to a later incarnation of the engine.
func TestRetainedEvents(t *testing.T) {
	for inc, want := range map[qm.Incarnation]qm.Tokens{"one": 12000, "zero": 0} {
		x := newTester(t)
		r := newRequest("a", "v1", "c", 1)
		for _, s := range r.Spans[:3] {
			x.p.Observe("e5", inc, []qm.CacheEvent{{Stored: true, Block: s.Key}}, false, x.now)
		}
		d := x.place(r, newEndpoints(8, nil))
		if d.CachedTokens != want || (want > 0 && d.Endpoint.ID != "e5") {
			t.Errorf("events of incarnation %q: chose %s with a hit of %d, want %d", inc, d.Endpoint.ID, d.CachedTokens, want)
		}
	}
}

// TestCoverage guards against a coverage estimate that counts caches whose events do not arrive, which would make
// copies away from home too cheap.
func TestCoverage(t *testing.T) {
	x := newTester(t)
	v := newEndpoints(2, nil)
	x.place(newRequest("a", "v1", "c", 1), v)
	none := x.p.coverage(x.p.fleet.tick(x.now))
	for _, e := range v {
		events := make([]qm.CacheEvent, 25)
		for i := range events {
			events[i] = qm.CacheEvent{Seq: int64(i + 1), Stored: true, Block: qm.PrefixKey(i)}
		}
		x.p.Observe(e.ID, "one", events, false, x.now)
	}
	half := x.p.coverage(x.p.fleet.tick(x.now))
	late := x.p.coverage(x.p.fleet.tick(x.now.Add(x.p.opt.EventTimeout + time.Second)))
	got := []float64{none, half, late}
	want := []float64{0, 0.5, 0}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("coverage without events, with events for half of the blocks, after EventTimeout (-want +got):\n%s", diff)
	}
}

// TestHashStability guards against a hash that moves keys between engines that stay when one is added.
func TestHashStability(t *testing.T) {
	p := NewHash(HashShare)
	moved := 0
	for i := range 500 {
		r := newRequest("a", "v1", "c", 0)
		r.Spans = []qm.PrefixSpan{{Key: qm.PrefixKey(i) * 7919, End: 12500}}
		before, _ := p.Place(r, newEndpoints(9, nil), start, nil)
		after, _ := p.Place(r, newEndpoints(10, nil), start, nil)
		if before.Endpoint.ID != after.Endpoint.ID {
			moved++
			if after.Endpoint.ID != "e9" {
				t.Fatalf("key %d moved from %s to %s", i, before.Endpoint.ID, after.Endpoint.ID)
			}
		}
	}
	if moved < 25 || moved > 85 {
		t.Errorf("%d of 500 keys moved to the tenth engine, want about 50", moved)
	}
}

// TestConcurrent guards against data races, and against load counters that do not return to zero.
func TestConcurrent(t *testing.T) {
	p := New(Defaults())
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(g), 1))
			for i := range 200 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				r := newRequest("a", "v1", strconv.Itoa(i%5), uint64(g*1000+i))
				d, _ := p.Place(r, newEndpoints(6, nil), now, rnd)
				p.Dispatched(r, d, now)
				p.Observe(d.Endpoint.ID, "one", []qm.CacheEvent{{Stored: true, Block: r.Spans[0].Key}}, false, now)
				p.FirstToken(r, d, d.CachedTokens, now)
				p.Finished(r, d, now)
			}
		})
	}
	wg.Wait()
	for i := range p.fleet.engines {
		if e := &p.fleet.engines[i]; e.inflight != 0 || e.pendingTokens > 1e-6 {
			t.Errorf("%s has %d requests and %.1f tokens left", e.id, e.inflight, e.pendingTokens)
		}
	}
	if len(p.fleet.dispatches) != 0 {
		t.Errorf("%d dispatches left", len(p.fleet.dispatches))
	}
}
