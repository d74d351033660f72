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

// epoch is an arbitrary fixed time to place requests at.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// eventsPerCall is the number of cache events in one call of Observe. It stands for what an engine's client gets from
// one poll.
const eventsPerCall = 64

// placementMeasures returns the measures of package place and of the packages that it uses.
func placementMeasures() []Measure {
	groups := []float64{12, 50, 100, 200, 400, 800, 1600, 3200}
	return []Measure{
		{
			Name: "DecisionTime", About: "one call of Place in a group, with 512 known contexts of 16 teams",
			X: "engines of the group", Y: "ns", Sizes: groups, Cost: decisionTime,
		},
		{
			Name: "EventTime", About: "one call of Observe with 64 events, divided by 64, at different sizes of the table",
			X: "prefixes of the table", Y: "ns", Sizes: []float64{1024, 8192, 32768, 131072}, Cost: eventTime,
		},
		{
			Name: "TableBytes", About: "the table of recent prefixes",
			X: "prefixes of the table", Y: "bytes", Sizes: []float64{1024, 8192, 32768, 131072},
			Cost: func(x float64) float64 { return HeapBytes(func() any { return sketch.New(int(x)) }) },
		},
		{
			Name: "EngineBytes", About: "a placer that has placed requests at the engines, without the list of endpoints",
			X: "engines", Y: "bytes", Sizes: groups, Cost: engineBytes,
		},
		{
			Name: "KeyTime", About: "the prefix keys of a prompt of four messages",
			X: "prompt tokens", Y: "ns", Sizes: []float64{4000, 16000, 64000}, Cost: keyTime,
		},
	}
}

// liveEndpoints returns n live endpoints of one group.
func liveEndpoints(n int) []*qm.Endpoint {
	var all []*qm.Endpoint
	for i := range n {
		all = append(all, &qm.Endpoint{
			ID: qm.EndpointID("engine" + strconv.Itoa(i)), Group: "g", State: qm.Live, Incarnation: "one",
			Version: "v1", ReportedAt: epoch, Load: qm.Load{Slots: 48, UsedBlocks: 60},
		})
	}
	return all
}

// sampleRequests returns 512 requests of 16 teams. Each prompt has six spans.
func sampleRequests() []*qm.PlaceRequest {
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

// warmPlacer returns a placer that has placed every request once and got the feedback on it.
func warmPlacer(endpoints []*qm.Endpoint, requests []*qm.PlaceRequest, rnd *rand.Rand) *place.Expected {
	p := place.New(place.Defaults())
	for i, r := range requests {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		placement, _ := p.Place(r, endpoints, now, rnd)
		p.Dispatched(r, placement, now)
		p.FirstToken(r, placement, placement.CachedTokens, now)
		p.Finished(r, placement, now)
	}
	return p
}

// decisionTime returns the nanoseconds of one placement among numEngines engines.
func decisionTime(numEngines float64) float64 {
	endpoints, requests, rnd := liveEndpoints(int(numEngines)), sampleRequests(), rand.New(rand.NewPCG(1, 2))
	p := warmPlacer(endpoints, requests, rnd)
	now := epoch.Add(time.Second)
	return NanosecondsPerCall(func(i int) { p.Place(requests[i%len(requests)], endpoints, now, rnd) })
}

// eventTime returns the nanoseconds per cache event with a table of tableSize prefixes.
func eventTime(tableSize float64) float64 {
	opt := place.Defaults()
	opt.TableSize = int(tableSize)
	p, endpoints := place.New(opt), liveEndpoints(12)
	p.Place(sampleRequests()[0], endpoints, epoch, rand.New(rand.NewPCG(1, 2)))
	events := make([]qm.CacheEvent, eventsPerCall)
	return NanosecondsPerCall(func(i int) {
		for j := range events {
			n := i*eventsPerCall + j
			events[j] = qm.CacheEvent{Seq: int64(n + 1), Stored: n%2 == 0, Block: qm.PrefixKey(n/2) * 7919}
		}
		p.Observe(endpoints[i%len(endpoints)].ID, "one", events, false, epoch)
	}) / eventsPerCall
}

// engineBytes returns the heap bytes of a placer that has placed requests at numEngines engines.
func engineBytes(numEngines float64) float64 {
	requests, rnd := sampleRequests(), rand.New(rand.NewPCG(1, 2))
	return HeapBytes(func() any { return warmPlacer(liveEndpoints(int(numEngines)), requests, rnd) })
}

// keyTime returns the nanoseconds to compute the prefix keys of a prompt of promptTokens tokens.
func keyTime(promptTokens float64) float64 {
	text := strings.Repeat("x", int(promptTokens)*qm.BytesPerToken/4)
	messages := []qm.Message{
		{Role: "system", Content: text}, {Role: "system", Content: text}, {Role: "user", Content: text},
		{Role: "user", Content: text},
	}
	scope := prefix.Scope{Team: "team", Model: "m", Version: "v1"}
	var spans []qm.PrefixSpan
	return NanosecondsPerCall(func(int) { spans = scope.Append(spans[:0], messages) })
}
