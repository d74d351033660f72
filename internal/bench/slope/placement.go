package slope

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/place"
	"quetzalmount.dev/quetzalmount/internal/route/prefix"
	"quetzalmount.dev/quetzalmount/internal/route/sketch"
)

// start is an arbitrary time for decisions.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// eventBatch is the number of events in one call, as an engine's client gets them from one poll.
const eventBatch = 64

// placement returns the measures of package place and what it uses.
func placement() []Measure {
	groups := []float64{12, 50, 100, 200, 400, 800, 1600, 3200}
	return []Measure{
		{
			Name: "DecisionTime", About: "one call of Place in a group, with 512 known contexts of 16 teams",
			X: "engines of the group", Y: "ns", Sizes: groups, Cost: decision,
		},
		{
			Name: "EventTime", About: "one call of Observe with 64 events, divided by 64, at different sizes of the table",
			X: "prefixes of the table", Y: "ns", Sizes: []float64{1024, 8192, 32768, 131072}, Cost: event,
		},
		{
			Name: "TableBytes", About: "the table of recent prefixes",
			X: "prefixes of the table", Y: "bytes", Sizes: []float64{1024, 8192, 32768, 131072},
			Cost: func(x float64) float64 { return Bytes(func() any { return sketch.New(int(x)) }) },
		},
		{
			Name: "EngineBytes", About: "a placer that has met the engines, without the view of them",
			X: "engines", Y: "bytes", Sizes: groups, Cost: engineBytes,
		},
		{
			Name: "KeyTime", About: "the prefix keys of a prompt of four messages",
			X: "prompt tokens", Y: "ns", Sizes: []float64{4000, 16000, 64000}, Cost: keys,
		},
	}
}

// view returns live engines.
func view(n int) []*qm.Endpoint {
	var all []*qm.Endpoint
	for i := range n {
		all = append(all, &qm.Endpoint{
			ID: qm.EndpointID("engine" + strconv.Itoa(i)), Group: "g", State: qm.Live, Incarnation: "one",
			Version: "v1", ReportedAt: start, Load: qm.Load{Slots: 48, UsedBlocks: 60},
		})
	}
	return all
}

// requests returns prompts of six steps.
func requests() []*qm.PlaceRequest {
	var all []*qm.PlaceRequest
	for i := range uint64(512) {
		scope := prefix.Scope{Team: qm.TeamID("team" + strconv.FormatUint(i%16, 10)), Model: "m", Version: "v1"}
		r := &qm.PlaceRequest{Team: scope.Team, Model: "m", PromptTokens: 21000}
		key := scope.Root()
		for j, id := range []uint64{1, 1, i, i, i, 1000 + i} {
			key = prefix.NextKey(key, id)
			r.Spans = append(r.Spans, qm.PrefixSpan{Key: key, End: min(21000, qm.Tokens(j+1)*4000)})
		}
		all = append(all, r)
	}
	return all
}

// warm returns a placer that has served all requests once.
func warm(v []*qm.Endpoint, reqs []*qm.PlaceRequest, rnd *rand.Rand) *place.Expected {
	p := place.New(place.Defaults())
	for i, r := range reqs {
		now := start.Add(time.Duration(i) * time.Millisecond)
		d, _ := p.Place(r, v, now, rnd)
		p.Dispatched(r, d, now)
		p.FirstToken(r, d, d.CachedTokens, now)
		p.Finished(r, d, now)
	}
	return p
}

func decision(engines float64) float64 {
	v, reqs, rnd := view(int(engines)), requests(), rand.New(rand.NewPCG(1, 2))
	p := warm(v, reqs, rnd)
	now := start.Add(time.Second)
	return Nanoseconds(func(i int) { p.Place(reqs[i%len(reqs)], v, now, rnd) })
}

func event(prefixes float64) float64 {
	opt := place.Defaults()
	opt.TableSize = int(prefixes)
	p, v := place.New(opt), view(12)
	p.Place(requests()[0], v, start, rand.New(rand.NewPCG(1, 2)))
	events := make([]qm.CacheEvent, eventBatch)
	return Nanoseconds(func(i int) {
		for j := range events {
			n := i*eventBatch + j
			events[j] = qm.CacheEvent{Seq: int64(n + 1), Stored: n%2 == 0, Block: qm.PrefixKey(n/2) * 7919}
		}
		p.Observe(v[i%len(v)].ID, "one", events, false, start)
	}) / eventBatch
}

func engineBytes(engines float64) float64 {
	reqs, rnd := requests(), rand.New(rand.NewPCG(1, 2))
	return Bytes(func() any { return warm(view(int(engines)), reqs, rnd) })
}

func keys(tokens float64) float64 {
	text := strings.Repeat("x", int(tokens)*qm.BytesPerToken/4)
	m := []qm.Message{
		{Role: "system", Content: text}, {Role: "system", Content: text}, {Role: "user", Content: text},
		{Role: "user", Content: text},
	}
	scope := prefix.Scope{Team: "team", Model: "m", Version: "v1"}
	var spans []qm.PrefixSpan
	return Nanoseconds(func(int) { spans = scope.Append(spans[:0], m) })
}
