package lane_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/lane"
)

// load is a mixture of two routes at a fleet of engines.
type load struct {
	engines, routers, slots int
	// perSecond counts the requests at all routers, prompt is the mean length of a prompt; the engines read tokensPerMs.
	perSecond, prompt [2]float64
	tokensPerMs       float64
	running           [2]time.Duration
	// rank is the priority of the routes; 0 is the most urgent.
	rank [2]int
}

// largeFleet has long prompts that take 100 ms to read and short streams, as 77 routers see them.
var largeFleet = load{
	engines: 90, routers: 77, slots: 32, perSecond: [2]float64{252, 361}, prompt: [2]float64{9190, 826}, tokensPerMs: 92,
	running: [2]time.Duration{300 * time.Millisecond, 1200 * time.Millisecond}, rank: [2]int{2, 0},
}

func engines(n int) []*qm.Endpoint {
	var out []*qm.Endpoint
	for i := range n {
		out = append(out, &qm.Endpoint{ID: qm.EndpointID(fmt.Sprintf("e-%03d", i)), Group: "g", State: qm.Live})
	}
	return out
}

var routeIDs = [2]qm.RouteID{"long", "short"}

// play records the parts of a load that routers see in d.
func play(w load, d time.Duration, rnd *rand.Rand, routers ...*lane.Lanes) {
	for range int(d / (100 * time.Millisecond)) {
		for _, l := range routers {
			playStep(l, w, rnd)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// playStep records what one router sees in 100 ms.
func playStep(l *lane.Lanes, w load, rnd *rand.Rand) {
	for i, id := range routeIDs {
		n := w.perSecond[i] / float64(w.routers) / 10
		count := int(n)
		if rnd.Float64() < n-float64(count) {
			count++
		}
		for range count {
			tokens := w.prompt[i] * (0.5 + rnd.Float64())
			l.RecordStart("g", &qm.Route{ID: id, Priority: w.rank[i]}, qm.Tokens(tokens), time.Duration(tokens/w.tokensPerMs*float64(time.Millisecond)), time.Now())
			l.RecordEnd("g", id, w.running[i], time.Now())
		}
	}
}

func newLanes() *lane.Lanes { return lane.New(lane.Options{}) }

// exchange gives a router the demand of all routers, derived from that of a sample.
func (w load) exchange(l *lane.Lanes, sample ...*lane.Lanes) {
	var sum qm.LaneDemand
	for _, m := range sample {
		sum = sum.Plus(m.Demand(time.Now())["g"], float64(w.routers)/float64(len(sample)))
	}
	l.SetDemand(map[qm.GroupID]qm.LaneDemand{"g": sum})
}

func (w load) choose(l *lane.Lanes, route int, all []*qm.Endpoint) lane.Choice {
	r := lane.Request{Group: "g", Route: routeIDs[route], PromptTokens: qm.Tokens(w.prompt[route]), Slots: w.slots}
	return l.Choose(r, all, all, time.Now())
}

// TestSeparation guards against long prompts at engines that run short streams: under the mixture of largeFleet, also ten times as large and ten
// times as small, no engine is in the lanes of both routes, although each of several routers has its own sample, and neither lane is too small.
func TestSeparation(t *testing.T) {
	for _, scale := range []float64{0.3, 1, 10} {
		t.Run(fmt.Sprint(scale), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := largeFleet
				w.engines, w.routers = int(float64(w.engines)*scale), max(1, int(float64(w.routers)*scale))
				w.perSecond[0], w.perSecond[1] = w.perSecond[0]*scale, w.perSecond[1]*scale
				all := engines(w.engines)
				shortAt, longAt := map[qm.EndpointID]int{}, map[qm.EndpointID]int{}
				const sampled = 12
				routers := make([]*lane.Lanes, sampled)
				for i := range routers {
					routers[i] = newLanes()
				}
				play(w, 30*time.Second, rand.New(rand.NewPCG(1, 1)), routers...)
				// Each lacks the reports of two others, so that their sums differ.
				for i, l := range routers {
					w.exchange(l, slices.Concat(routers[i:], routers[:i])[:sampled-2]...)
				}
				for seed, l := range routers {
					long, short := w.choose(l, 0, all), w.choose(l, 1, all)
					if n := len(short.Engines); float64(n) < 0.08*float64(w.engines) || n > w.engines/2 {
						t.Errorf("router %d: %d of %d engines in the short lane", seed, n, w.engines)
					}
					if n := len(long.Engines); n < w.engines*2/5 {
						t.Errorf("router %d: %d of %d engines in the long lane", seed, n, w.engines)
					}
					for _, e := range short.Engines {
						shortAt[e.ID]++
					}
					for _, e := range long.Engines {
						longAt[e.ID]++
					}
				}
				mixed := 0
				for id, n := range shortAt {
					mixed += min(n, longAt[id])
				}
				if mixed > sampled*w.engines/50 {
					t.Errorf("engines in both lanes: %d pairs of routers and engines of %d", mixed, sampled*w.engines)
				}
			})
		})
	}
}

// TestBurst guards against a burst of long prompts that takes engines from the more urgent streams, and against one that has no engines left.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := largeFleet
		l, all, rnd := newLanes(), engines(w.engines), rand.New(rand.NewPCG(1, 2))
		play(w, 20*time.Second, rnd, l)
		w.exchange(l, l)
		before := len(w.choose(l, 1, all).Engines)
		w.perSecond[0] *= 2.6
		play(w, 20*time.Second, rnd, l)
		w.exchange(l, l)
		after := len(w.choose(l, 1, all).Engines)
		if after < before*4/5 || after > w.engines/2 {
			t.Errorf("short lane of %d engines after %d in calm", after, before)
		}
		if c := w.choose(l, 0, all); c.IsLate(time.Hour, time.Second) {
			t.Error("a long prompt overflows to the short lane")
		}
		if c := w.choose(l, 1, all); !c.IsLate(1300*time.Millisecond, 1200*time.Millisecond) || c.IsLate(1100*time.Millisecond, 1200*time.Millisecond) {
			t.Error("a request overflows if its first token is expected later than its objective, and not otherwise")
		}
	})
}

// TestNoLanes guards against lanes where they do harm: few engines, routes with prompts of similar lengths, a single route, no sample yet.
func TestNoLanes(t *testing.T) {
	for name, change := range map[string]func(*load){
		"few engines":      func(w *load) { w.engines = 12 },
		"similar prompts":  func(w *load) { w.prompt[1] = 4000 },
		"equal ranks":      func(w *load) { w.rank = [2]int{1, 1} },
		"nearly as urgent": func(w *load) { w.rank = [2]int{1, 0} },
		"one route":        func(w *load) { w.perSecond[1] = 0 },
		"no sample":        func(w *load) { w.perSecond = [2]float64{} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := largeFleet
				change(&w)
				l, all := newLanes(), engines(w.engines)
				play(w, 20*time.Second, rand.New(rand.NewPCG(1, 1)), l)
				w.exchange(l, l)
				for route := range routeIDs {
					if c := w.choose(l, route, all); len(c.Engines) != len(all) || len(c.Overflow) != 0 {
						t.Errorf("%s: %d engines and %d for overflow, want all %d", routeIDs[route], len(c.Engines), len(c.Overflow), len(all))
					}
				}
			})
		})
	}
}

// TestLaneLost guards against a request that is refused because all engines of its lane are excluded, lost or without its weights.
func TestLaneLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := largeFleet
		l, all := newLanes(), engines(w.engines)
		play(w, 20*time.Second, rand.New(rand.NewPCG(3, 1)), l)
		w.exchange(l, l)
		others := w.choose(l, 1, all).Overflow
		r := lane.Request{Group: "g", Route: "short", PromptTokens: 800, Slots: w.slots}
		if c := l.Choose(r, all, others, time.Now()); len(c.Engines) != len(others) {
			t.Errorf("%d engines without those of the lane, want the %d others", len(c.Engines), len(others))
		}
	})
}
