// Package lane separates long prompts from short streams: it assigns the engines of a group to two lanes, one for the routes with long
// prompts and one for the others.
//
// An engine reads prompts in chunks and makes one token of each running stream between two chunks. While long prompts follow each other,
// every event of a stream takes as many chunks as it has tokens, which can exceed the longest gap that callers accept. Balancing does not
// help, since every engine then reads a long prompt now and then. The load that this answers is a mixture of routes whose prompts differ in
// length by a large factor.
//
// Each router derives the sizes of the lanes from the demand at all routers, which they exchange with their loads, and all order the engines in
// the same way. Routers whose sums are of different moments disagree on a few engines at the boundary only.
package lane

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// sampleTime is the time constant with which requests count for the demand. A router of a large system sees a few requests a second.
	sampleTime = 10 * time.Second
	// minSamples is the number of recent requests, and minSampled the time, from which on a router knows enough to use lanes.
	minSamples = 8
	minSampled = 2 * time.Second
	// minRouteSamples is the decayed number of requests below which a route is forgotten.
	minRouteSamples = 0.01
	// minRatio is the ratio of the longest to the shortest mean prompt of a group's routes from which on they get lanes. Below it one route
	// delays the other little more than itself.
	minRatio = 4
	// minRankGap is the number of ranks by which the routes with long prompts must be less urgent than the others. Lanes take engines, and with them
	// cached prefixes, from the long prompts, whose callers are served worse by it.
	minRankGap = 2
	// minEngines is the number of engines from which on a group has lanes. With fewer, the loss of two engines takes a large part of a lane.
	minEngines = 24
	// maxShortFraction bounds the short lane as a fraction of the engines, so that the routes with long prompts are never left without.
	maxShortFraction = 0.5
	// shortSlots and shortPrefill are the parts of the places and of the time for prompts that short routes use in their lane. Streams rarely
	// meet another prompt then, and the load can nearly double within sampleTime.
	shortSlots   = 0.4
	shortPrefill = 0.2
	// sizeStep is the ratio of two successive sizes of the short lane. Sizes are rounded up to a step, so that routers whose sums differ a little
	// have the same lanes.
	sizeStep = 1.2
	// keepStep is the part of a step by which the demand must change for another size, so that sizes don't alternate.
	keepStep = 0.3
	// orderTime is the time after which the order of the engines is computed again.
	orderTime = 100 * time.Millisecond
)

// Options are the settings of Lanes.
type Options struct {
	// OnResize is called when the size of a short lane changes; nil for nothing. 0 means no lanes.
	OnResize func(group qm.GroupID, size int)
	Log      logr.Logger
}

// Lanes holds the lanes of all groups. It is safe for concurrent use.
type Lanes struct {
	opts Options

	mu     sync.Mutex
	groups map[qm.GroupID]*group
	// total is the demand at all routers.
	total map[qm.GroupID]qm.LaneDemand
}

// New returns Lanes without samples, which separate nothing yet.
func New(opts Options) *Lanes { return &Lanes{opts: opts, groups: map[qm.GroupID]*group{}} }

// group is the state of one group of engines.
type group struct {
	routes map[qm.RouteID]*route
	// ranks holds the position of each engine in the order by hash. It was computed at orderedAt.
	ranks     map[qm.EndpointID]int
	orderedAt time.Time
	// size is the last size of the short lane, 0 if there are no lanes.
	size int
}

// route holds decayed sums over the recent requests of one route.
type route struct {
	since, at time.Time
	// rank is the priority of the route; 0 is the most urgent.
	rank int
	// requests counts the requests, promptTokens their tokens; prefill is the time to read their prompts, in seconds.
	requests, promptTokens, prefill float64
	// ended counts the requests that have ended, running is the time for which they ran, in seconds.
	ended, running float64
}

// decay ages the sums to now.
func (r *route) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		f := math.Exp(-d.Seconds() / sampleTime.Seconds())
		r.requests, r.promptTokens, r.prefill = r.requests*f, r.promptTokens*f, r.prefill*f
		r.ended, r.running = r.ended*f, r.running*f
		r.at = now
	}
}

// sampled returns the time over which the sums count, which is shorter than sampleTime after the first request.
func (r *route) sampled() float64 {
	return sampleTime.Seconds() * (1 - math.Exp(-r.at.Sub(r.since).Seconds()/sampleTime.Seconds()))
}

// perSecond returns the rate of the route's requests, the time that reading their prompts takes each second, and the mean number that run.
func (r *route) perSecond() (requests, prefill, running float64) {
	d := math.Max(r.sampled(), minSampled.Seconds())
	requests, prefill = r.requests/d, r.prefill/d
	if r.ended > 0 {
		running = requests * r.running / r.ended
	}
	return requests, prefill, running
}

func (l *Lanes) group(id qm.GroupID) *group {
	g := l.groups[id]
	if g == nil {
		g = &group{routes: map[qm.RouteID]*route{}}
		l.groups[id] = g
	}
	return g
}

func (g *group) route(id qm.RouteID, now time.Time) *route {
	r := g.routes[id]
	if r == nil {
		r = &route{since: now, at: now}
		g.routes[id] = r
	}
	r.decay(now)
	return r
}

// RecordStart counts a request that was sent to an engine, and the time that the engine is expected to need for the prompt.
func (l *Lanes) RecordStart(groupID qm.GroupID, route *qm.Route, prompt qm.Tokens, prefill time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.group(groupID).route(route.ID, now)
	r.rank = route.Priority
	r.requests++
	r.promptTokens += float64(prompt)
	r.prefill += prefill.Seconds()
}

// RecordEnd counts the time for which a request occupied a place at its engine after its first token.
func (l *Lanes) RecordEnd(groupID qm.GroupID, id qm.RouteID, running time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.group(groupID).route(id, now)
	r.ended++
	r.running += running.Seconds()
}

// Choice is the lane of a request.
type Choice struct {
	// Engines are the candidates in the lane, Overflow those that are used if the first token would be late in the lane. Long prompts have no
	// overflow: at the engines of the short lane each of them would delay many streams.
	Engines, Overflow []*qm.Endpoint
	Lane              qm.Lane
}

// IsLate reports whether a request with the given latency objective overflows if its first token is expected after ttft.
func (c Choice) IsLate(ttft, objective time.Duration) bool {
	return len(c.Overflow) > 0 && objective > 0 && ttft > objective
}

// Request describes a request to Choose.
type Request struct {
	Group        qm.GroupID
	Route        qm.RouteID
	PromptTokens qm.Tokens
	// Slots is the number of requests that an engine runs at once, 0 if not known.
	Slots int
}

// Choose returns the lane of a request among candidates. engines are all engines of the group, from which the lanes are formed.
func (l *Lanes) Choose(r Request, engines, candidates []*qm.Endpoint, now time.Time) Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.group(r.Group)
	if now.Sub(g.orderedAt) >= orderTime || g.ranks == nil {
		g.order(r.Group, engines, now)
		l.resize(r.Group, g, r.Slots, now)
	}
	if g.size == 0 {
		return Choice{Engines: candidates}
	}
	isLong := g.isLong(r.Route, r.PromptTokens, now)
	c := Choice{Lane: qm.LaneShort}
	if isLong {
		c.Lane = qm.LaneLong
	}
	for _, e := range candidates {
		rank, known := g.ranks[e.ID]
		switch inShort := known && rank < g.size; {
		case isLong != inShort:
			c.Engines = append(c.Engines, e)
		case !isLong:
			c.Overflow = append(c.Overflow, e)
		}
	}
	if len(c.Engines) == 0 {
		// No engine of the lane can take the request, for example because none has the weights yet.
		return Choice{Engines: candidates}
	}
	return c
}

// order computes the ranks of the engines of a group that are not leaving. The order is the same at all routers, and an engine that comes or
// goes moves no other one by more than a place.
func (g *group) order(id qm.GroupID, engines []*qm.Endpoint, now time.Time) {
	type hashed struct {
		id   qm.EndpointID
		hash uint64
	}
	var list []hashed
	for _, e := range engines {
		if e.Group == id && e.State != qm.Leaving {
			list = append(list, hashed{e.ID, xxhash.Sum64String("lane " + string(e.ID))})
		}
	}
	slices.SortFunc(list, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
	// Routes that the configuration has dropped are forgotten.
	maps.DeleteFunc(g.routes, func(_ qm.RouteID, r *route) bool {
		r.decay(now)
		return r.requests < minRouteSamples
	})
	g.ranks = make(map[qm.EndpointID]int, len(list))
	for i, h := range list {
		g.ranks[h.id] = i
	}
	g.orderedAt = now
}

// resize computes the size of the short lane.
func (l *Lanes) resize(id qm.GroupID, g *group, slots int, now time.Time) {
	size := 0
	if _, ok := g.threshold(now); ok {
		size = shortLane(l.total[id], slots, len(g.ranks), g.size)
	}
	if size == g.size {
		return
	}
	l.opts.Log.Info("lanes resized", "Group", id, "Short", size, "Before", g.size, "Engines", len(g.ranks))
	g.size = size
	if l.opts.OnResize != nil {
		l.opts.OnResize(id, size)
	}
}

// SetDemand sets the demand at all routers.
func (l *Lanes) SetDemand(total map[qm.GroupID]qm.LaneDemand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total = total
}

// Demand returns the demand at this router for the groups whose routes differ enough.
func (l *Lanes) Demand(now time.Time) map[qm.GroupID]qm.LaneDemand {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[qm.GroupID]qm.LaneDemand{}
	for id, g := range l.groups {
		threshold, ok := g.threshold(now)
		if !ok {
			continue
		}
		var d qm.LaneDemand
		for _, r := range g.routes {
			_, prefill, running := r.perSecond()
			m := qm.LaneDemand{ShortRunning: running, ShortPrefill: prefill}
			if r.requests > 0 && r.promptTokens/r.requests >= threshold {
				m = qm.LaneDemand{LongRunning: running, LongPrefill: prefill}
			}
			d = d.Plus(m, 1)
		}
		out[id] = d
	}
	return out
}

// threshold returns the mean length of the prompts from which on a route is long, and false if the routes are not to be separated.
func (g *group) threshold(now time.Time) (float64, bool) {
	shortest, longest, samples, sampled := math.Inf(1), 0.0, 0.0, 0.0
	for _, r := range g.routes {
		r.decay(now)
		samples += r.requests
		sampled = math.Max(sampled, r.sampled())
		if r.requests < 1 {
			continue
		}
		mean := r.promptTokens / r.requests
		shortest, longest = math.Min(shortest, mean), math.Max(longest, mean)
	}
	if samples < minSamples || sampled < minSampled.Seconds()*(1-minSampled.Seconds()/sampleTime.Seconds()) || longest < minRatio*shortest {
		return 0, false
	}
	limit := math.Sqrt(shortest * longest)
	return limit, g.rankGap(limit) >= minRankGap
}

// rankGap returns the number of ranks by which the most urgent route with long prompts is less urgent than the least urgent one of the others.
func (g *group) rankGap(limit float64) int {
	long, short := math.MaxInt, 0
	for _, r := range g.routes {
		switch {
		case r.requests < 1:
		case r.promptTokens/r.requests >= limit:
			long = min(long, r.rank)
		default:
			short = max(short, r.rank)
		}
	}
	return long - short
}

// isLong reports whether a request belongs to the long lane: by the mean of its route, or by its own prompt if the route is new.
func (g *group) isLong(id qm.RouteID, prompt qm.Tokens, now time.Time) bool {
	threshold, ok := g.threshold(now)
	if !ok {
		return false
	}
	if r := g.routes[id]; r != nil && r.requests >= 1 {
		return r.promptTokens/r.requests >= threshold
	}
	return float64(prompt) >= threshold
}

// shortLane returns the number of engines of the short lane out of n, 0 for no lanes. It doesn't depend on the demand of the long lane: its routes are less
// urgent, so that they are refused first when there is too much of both. slots is the number of requests that an engine runs at
// once, 0 if not known, and current the present size.
func shortLane(d qm.LaneDemand, slots, n, current int) int {
	if n < minEngines || d.ShortPrefill <= 0 {
		return 0
	}
	want := d.ShortPrefill / shortPrefill
	if slots > 0 {
		want = math.Max(want, d.ShortRunning/(shortSlots*float64(slots)))
	}
	most := int(maxShortFraction * float64(n))
	lower, size := 0.0, 2.0
	for size < want {
		lower, size = size, size*sizeStep
	}
	next := min(int(math.Ceil(size)), most)
	switch tolerance := keepStep * (size - lower); {
	case next > current && current > 0 && want < lower+tolerance && int(math.Ceil(lower)) == current:
		return current
	case next < current && want > size-tolerance && min(int(math.Ceil(size*sizeStep)), most) == current:
		return current
	}
	return next
}
