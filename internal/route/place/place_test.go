package place

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/prefix"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newEndpoints returns n live engines with an empty queue, each changed by edit if it is not nil.
func newEndpoints(n int, edit func(i int, e *qm.Endpoint)) []*qm.Endpoint {
	var all []*qm.Endpoint
	for i := range n {
		e := &qm.Endpoint{
			ID: qm.EndpointID("e" + strconv.Itoa(i)), Group: "g", State: qm.Live, Incarnation: "one",
			Version: "v1", ReportedAt: start, Load: qm.Load{Slots: 48, UsedBlocks: 50},
		}
		if edit != nil {
			edit(i, e)
		}
		all = append(all, e)
	}
	return all
}

// newRequest returns a request whose prompt has three prefixes that other prompts may share and a question of its own.
func newRequest(team, version, context string, question uint64) *qm.PlaceRequest {
	s := prefix.Scope{Team: qm.TeamID(team), Model: "m", Version: qm.VersionID(version)}
	r := &qm.PlaceRequest{Team: s.Team, Model: "m", PromptTokens: 12500}
	key := s.Root()
	for i, id := range []uint64{1, uint64(len(context)) + 10, uint64(len(context)) + 20, question + 1000} {
		key = prefix.NextKey(key, id)
		r.Spans = append(r.Spans, qm.PrefixSpan{Key: key, End: min(12500, qm.Tokens(i+1)*4000)})
	}
	return r
}

// tester drives one placer with a simulated clock.
type tester struct {
	t   *testing.T
	p   *Expected
	rnd *rand.Rand
	now time.Time
}

func newTester(t *testing.T) *tester {
	return &tester{t: t, p: New(Defaults()), rnd: rand.New(rand.NewPCG(1, 2)), now: start}
}

// serve runs a request to its end in 0.4 s of simulated time.
func (x *tester) serve(r *qm.PlaceRequest, d qm.Placement) {
	x.p.Dispatched(r, d, x.now)
	x.now = x.now.Add(400 * time.Millisecond)
	x.p.FirstToken(r, d, d.CachedTokens, x.now)
	x.p.Finished(r, d, x.now)
}

func (x *tester) place(r *qm.PlaceRequest, v []*qm.Endpoint) qm.Placement {
	x.t.Helper()
	d, ok := x.p.Place(r, v, x.now, x.rnd)
	if !ok {
		x.t.Fatal("no engine chosen")
	}
	return d
}

// reportBlocks sends stored events of other prompts from all engines, as many as their caches hold blocks, so that
// events cover the caches in full.
func (x *tester) reportBlocks(v []*qm.Endpoint) {
	for _, e := range v {
		events := make([]qm.CacheEvent, e.Load.UsedBlocks)
		for i := range events {
			events[i] = qm.CacheEvent{Seq: int64(i + 1), Stored: true, Block: qm.PrefixKey(i + 1)}
		}
		x.p.Observe(e.ID, e.Incarnation, events, false, x.now)
	}
}

// TestReuse guards against decisions that rely on entries of another incarnation, of another team or of older
// weights, and against the loss of entries that are still valid.
func TestReuse(t *testing.T) {
	with := func(edit func(*qm.Endpoint)) []*qm.Endpoint {
		return newEndpoints(8, func(_ int, e *qm.Endpoint) { edit(e) })
	}
	tests := []struct {
		name string
		view []*qm.Endpoint
		req  *qm.PlaceRequest
		then func(x *tester, e qm.EndpointID)
		want qm.Tokens
	}{
		{name: "same prefix", req: newRequest("a", "v1", "c", 2), want: 12000},
		{name: "other context", req: newRequest("a", "v1", "other", 2), want: 4000},
		{name: "other team", req: newRequest("b", "v1", "c", 2)},
		{name: "older weights", req: newRequest("a", "v0", "c", 2)},
		{name: "restarted engine", req: newRequest("a", "v1", "c", 2),
			view: with(func(e *qm.Endpoint) { e.Incarnation = "two" })},
		{name: "new weights in the same process", req: newRequest("a", "v1", "c", 2),
			view: with(func(e *qm.Endpoint) { e.Version = "v2" })},
		{name: "forgotten", req: newRequest("a", "v1", "c", 2), view: with(func(e *qm.Endpoint) { e.Incarnation = "two" }),
			then: func(x *tester, e qm.EndpointID) { x.p.Forget(e, "two") }},
		{name: "forgotten, and the view is older", req: newRequest("a", "v1", "c", 2),
			then: func(x *tester, e qm.EndpointID) { x.p.Forget(e, "two") }},
		{name: "events of a previous incarnation", req: newRequest("a", "v1", "c", 2),
			view: with(func(e *qm.Endpoint) { e.Incarnation = "two" }),
			then: func(x *tester, e qm.EndpointID) {
				x.p.Forget(e, "two")
				for _, s := range newRequest("a", "v1", "c", 2).Spans {
					x.p.Observe(e, "one", []qm.CacheEvent{{Stored: true, Block: s.Key}}, false, x.now)
				}
			}},
		{name: "evicted", req: newRequest("a", "v1", "c", 2), want: 4000,
			then: func(x *tester, e qm.EndpointID) {
				x.now = x.now.Add(time.Second)
				for _, s := range newRequest("a", "v1", "c", 2).Spans[1:] {
					x.p.Observe(e, "one", []qm.CacheEvent{{Block: s.Key}}, false, x.now)
				}
			}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := newTester(t)
			first := newRequest("a", "v1", "c", 1)
			d := x.place(first, newEndpoints(8, nil))
			if d.CachedTokens != 0 {
				t.Errorf("first request expects a hit of %d tokens", d.CachedTokens)
			}
			x.serve(first, d)
			x.reportBlocks(newEndpoints(8, nil))
			if tt.then != nil {
				tt.then(x, d.Endpoint.ID)
			}
			v := tt.view
			if v == nil {
				v = newEndpoints(8, nil)
			}
			again := x.place(tt.req, v)
			if got := (again.CachedTokens + 100) / 1000 * 1000; got != tt.want {
				t.Errorf("expected hit = %d, want about %d", again.CachedTokens, tt.want)
			}
			if tt.want > 8000 && again.Endpoint.ID != d.Endpoint.ID {
				t.Errorf("chose %s, the prefix is at %s", again.Endpoint.ID, d.Endpoint.ID)
			}
		})
	}
}

// TestConfidence guards against confidence in entries that are doubtful because of the engine's eviction rate, a gap
// in its events, or missing events.
func TestConfidence(t *testing.T) {
	x := newTester(t)
	fresh := engine{residence: 10, lastEvent: 3000, lossRate: 0.3}
	tests := []struct {
		name     string
		edit     func(e *engine)
		age      time.Duration
		low, top float64
	}{
		{"new entry", func(*engine) {}, 0, 1, 1},
		{"old entry, all events since", func(*engine) {}, 20 * time.Second, 1, 1},
		{"old entry, gap since", func(e *engine) { e.lastGap = 2900 }, 20 * time.Second, 0.3, 0.6},
		{"old entry, gap since, few lost", func(e *engine) { e.lastGap, e.lossRate = 2900, 0.01 }, 20 * time.Second, 0.9, 1},
		{"old entry, gap since, all lost", func(e *engine) { e.lastGap, e.lossRate = 2900, 1 }, 20 * time.Second, 0.1, 0.3},
		{"recent entry, gap since", func(e *engine) { e.lastGap = 2990 }, time.Second, 0.99, 1},
		{"old entry, no events", func(e *engine) { e.lastEvent = 0 }, 20 * time.Second, 0, 0.1},
		{"old entry, silence", func(e *engine) { e.lastEvent = 2000 }, 20 * time.Second, 0, 0.1},
		{"half as old as blocks get", func(e *engine) { e.lastEvent = 0 }, 5 * time.Second, 0.9, 1},
		{"fast eviction", func(e *engine) { e.lastEvent, e.residence = 0, 1 }, 5 * time.Second, 0, 0.01},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := fresh
			tt.edit(&e)
			h := holderAt(3000, tt.age)
			if got := x.p.confidence(&e, h, 3000); got < tt.low || got > tt.top {
				t.Errorf("confidence = %.3f, want %.2f to %.2f", got, tt.low, tt.top)
			}
		})
	}
}

// TestLoss guards against a loss rate that does not match the gaps in the sequence numbers of events.
func TestLoss(t *testing.T) {
	x := newTester(t)
	x.place(newRequest("a", "v1", "c", 1), newEndpoints(1, nil))
	seq, early := int64(70000), 0.0
	for i := range 200 {
		events := make([]qm.CacheEvent, 10)
		for j := range events {
			seq++
			events[j] = qm.CacheEvent{Seq: seq, Stored: true, Block: qm.PrefixKey(seq)}
		}
		if i%4 != 3 {
			// The first events that a new reader gets follow a gap, which does not count as loss.
			x.p.Observe("e0", "one", events, i%4 == 0, x.now)
		}
		if i == 0 {
			early = x.p.fleet.engines[0].lossRate
		}
	}
	e := x.p.fleet.engines[0]
	if early > 0 {
		t.Errorf("share of lost events = %.2f after the first batch, want 0", early)
	}
	if e.lossRate < 0.2 || e.lossRate > 0.3 || e.lastGap == 0 {
		t.Errorf("share of lost events = %.2f, gap at %d, want 0.25 and a gap", e.lossRate, e.lastGap)
	}
}

// TestResidence guards against an eviction rate that does not follow the cumulative count in the reports.
func TestResidence(t *testing.T) {
	x := newTester(t)
	for i := range 40 {
		now := start.Add(time.Duration(i) * 250 * time.Millisecond)
		x.place(newRequest("a", "v1", "c", uint64(i)), newEndpoints(1, func(_ int, e *qm.Endpoint) {
			e.ReportedAt, e.Load.EvictedBlocks = now, int64(i*5)
		}))
	}
	if got := x.p.fleet.engines[0].residence; got < 2 || got > 3.2 {
		t.Errorf("residence = %.2f s, want that of 50 blocks at 20 evictions a second", got)
	}
}

// TestQueue guards against a decision that ignores queued tokens, this router's dispatches since the report, or a
// slow engine.
func TestQueue(t *testing.T) {
	x := newTester(t)
	r := newRequest("a", "v1", "c", 1)
	home := x.place(r, newEndpoints(3, nil)).Endpoint.ID
	busy := newEndpoints(3, func(_ int, e *qm.Endpoint) {
		if e.ID == home {
			e.Load.QueuedTokens, e.ReportedAt = 200000, start.Add(time.Second)
		}
	})
	if d := x.place(r, busy); d.Endpoint.ID == home {
		t.Errorf("chose %s, where 200,000 tokens wait", home)
	}
	own := newTester(t)
	d := own.place(r, newEndpoints(3, nil))
	for i := range 4 {
		long := newRequest("b", "v1", strconv.Itoa(i), uint64(i))
		long.PromptTokens = 50000
		own.p.Dispatched(long, qm.Placement{Endpoint: d.Endpoint, Incarnation: d.Incarnation}, own.now)
	}
	if again := own.place(r, newEndpoints(3, nil)); again.Endpoint.ID == home {
		t.Errorf("chose %s, where 200,000 tokens of this router's requests wait", home)
	}
	slow := newTester(t)
	for i := range 400 {
		r := newRequest("a", "v1", strconv.Itoa(i), uint64(i))
		r.Spans = r.Spans[3:]
		d := slow.place(r, newEndpoints(2, nil))
		slow.p.Dispatched(r, d, slow.now)
		slow.now = slow.now.Add(200 * time.Millisecond)
		if d.Endpoint.ID == "e1" {
			slow.now = slow.now.Add(400 * time.Millisecond)
		}
		slow.p.FirstToken(r, d, 0, slow.now)
		slow.p.Finished(r, d, slow.now)
	}
	if e := slow.p.fleet.engines; e[1].prefillCost < 1.5*e[0].prefillCost {
		t.Errorf("learned costs %g and %g s/token, want the second 3 times the first", e[0].prefillCost, e[1].prefillCost)
	}
}

// TestBacklogModel guards against decisions based on reports that do not predict the backlog that requests meet.
func TestBacklogModel(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	good, bad := newBacklogModel(), newBacklogModel()
	for range 1000 {
		x, y := rnd.Float64()*40000, rnd.Float64()*40000
		good.observe(x, x, 1)
		bad.observe(x, y, 1)
	}
	if _, slope := good.coefficients(1); slope < 0.95 {
		t.Errorf("slope of exact reports = %.2f, want 1", slope)
	}
	if base, slope := bad.coefficients(1); slope > 0.25 || base < 12000 || base > 28000 {
		t.Errorf("line of useless reports = %.0f + %.2f x, want about 20000 + 0 x", base, slope)
	}
}

// TestBacklogModelLearns guards against a placer that does not lower the slope although first tokens contradict the
// reports.
func TestBacklogModelLearns(t *testing.T) {
	x := newTester(t)
	for i := range 400 {
		x.now = x.now.Add(time.Second)
		r := newRequest("a", "v1", "c", uint64(i))
		d := x.place(r, newEndpoints(3, func(n int, e *qm.Endpoint) {
			e.ReportedAt, e.Load.QueuedTokens = x.now, qm.Tokens((i*7+n*5)%11*4000)
		}))
		x.p.Dispatched(r, d, x.now)
		x.p.FirstToken(r, d, d.CachedTokens, x.now.Add(time.Duration(float64(r.PromptTokens-d.CachedTokens)*initialPrefillCost*1e9)))
		x.p.Finished(r, d, x.now)
	}
	if base, slope := x.p.backlog.coefficients(x.p.fleet.tick(x.now)); slope > 0.1 || base > 2000 {
		t.Errorf("expected backlog = %.0f + %.2f x, while first tokens met none", base, slope)
	}
}

// TestTieBreaking guards against all routers choosing the same one of several equal engines.
func TestTieBreaking(t *testing.T) {
	x := newTester(t)
	r := newRequest("a", "v1", "c", 1)
	home := x.place(r, newEndpoints(4, nil)).Endpoint.ID
	busy := newEndpoints(4, func(_ int, e *qm.Endpoint) {
		if e.ReportedAt = start.Add(time.Second); e.ID == home {
			e.Load.QueuedTokens = 900000
		}
	})
	used := map[qm.EndpointID]bool{}
	for range 50 {
		used[x.place(r, busy).Endpoint.ID] = true
	}
	if len(used) != 3 || used[home] {
		t.Errorf("used %v, want all but %s", used, home)
	}
}

// TestFailedRequest guards against relying on the cache of an engine where the request failed before its first token.
func TestFailedRequest(t *testing.T) {
	x := newTester(t)
	r := newRequest("a", "v1", "c", 1)
	d := x.place(r, newEndpoints(4, nil))
	x.p.Dispatched(r, d, x.now)
	if held := x.place(newRequest("a", "v1", "c", 2), newEndpoints(4, nil)).CachedTokens; held < 11900 {
		t.Errorf("hit behind a waiting request = %d, want about 12000", held)
	}
	x.p.Finished(r, d, x.now)
	if held := x.place(newRequest("a", "v1", "c", 3), newEndpoints(4, nil)).CachedTokens; held != 0 {
		t.Errorf("hit after the request failed = %d, want 0", held)
	}
}

// TestHotPrefix guards against a hot prefix that stays on one engine, and against a rare prefix that is spread.
func TestHotPrefix(t *testing.T) {
	for _, events := range []bool{true, false} {
		x := newTester(t)
		reasons := map[string]int{}
		for i := range 400 {
			// A quarter of the group's requests have the hot prefix, the others are spread over many teams.
			name, r := "hot ", newRequest("a", "v1", "c", uint64(i))
			if i%4 > 0 {
				name, r = "rare ", newRequest("b"+strconv.Itoa(i%97), "v1", "c", uint64(i))
			}
			for j := range uint64(10) {
				// Requests of other groups must not change the shares in this one.
				x.place(newRequest("d", "v1", strconv.Itoa(i), j), newEndpoints(8, func(_ int, e *qm.Endpoint) {
					e.ID, e.Group = "x"+e.ID, "other"
				}))
			}
			if events {
				x.reportBlocks(newEndpoints(8, nil))
			}
			d := x.place(r, newEndpoints(8, nil))
			x.now = x.now.Add(10 * time.Millisecond)
			if i > 200 {
				reasons[name+d.Reason]++
				x.p.Dispatched(r, d, x.now)
			}
		}
		if reasons["hot "+reasonSpread] < 25 || reasons["rare "+reasonSpread] > 5 {
			t.Errorf("events %v: reasons %v, want spread for the hot prefix only", events, reasons)
		}
	}
}

// TestIndexReuse guards against memory that grows with the number of engines that were ever seen.
func TestIndexReuse(t *testing.T) {
	f := newFleet()
	now := start
	for i := range 100 {
		f.sync(newEndpoints(2, func(n int, e *qm.Endpoint) {
			e.ID = qm.EndpointID(strconv.Itoa(i) + "." + strconv.Itoa(n))
		}), now)
		now = now.Add(idleTimeout + time.Second)
	}
	if len(f.engines) > 4 || len(f.byID) != len(f.engines) {
		t.Errorf("%d entries and %d IDs for 2 engines at a time", len(f.engines), len(f.byID))
	}
}
