// Package lane separates long prompts from short streams: it assigns the engines of a group to two lanes, one for the routes with long
// prompts and one for the others.
//
// An engine reads prompts in chunks and makes one token of each running stream between two chunks. While long prompts follow each other,
// every event of a stream takes as many chunks as it has tokens, which can exceed the longest gap that callers accept. Balancing does not
// help, since every engine then reads a long prompt now and then. The load that this answers is a mixture of routes whose prompts differ in
// length by a large factor.
//
// Routers do not tell each other about lanes. Each derives the sizes from its own requests, and all order the engines in the same way, so
// that routers with different samples disagree on a few engines at the boundary only.
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
	// sampleTime is the time constant with which requests count for the sizes. A router of a large system sees a few requests a second.
	sampleTime = 10 * time.Second
	// minSamples is the number of recent requests from which on a router knows enough to use lanes.
	minSamples = 20
	// minRouteSamples is the decayed number of requests below which a route is forgotten.
	minRouteSamples = 0.01
	// minRatio is the ratio of the longest to the shortest mean prompt of a group's routes from which on they get lanes. Below it one route
	// delays the other little more than itself.
	minRatio = 4
	// minEngines is the number of engines from which on a group has lanes. With fewer, the loss of two engines takes a large part of a lane.
	minEngines = 24
	// maxShortFraction bounds the short lane as a fraction of the engines, since the long lane holds most of the cached prefixes.
	maxShortFraction = 1.0 / 3
	// shortUtilisation is the part of the engines' time that short routes use in their lane: a stream rarely meets another prompt then, and the
	// load can double within sampleTime.
	shortUtilisation = 0.35
	// maxShortUtilisation and maxLongUtilisation are the parts of the engines' time up to which the short lane yields to the long one.
	maxShortUtilisation = 0.7
	maxLongUtilisation  = 0.75
	// sizeStep is the ratio of two successive sizes of the short lane. Sizes are rounded up to a step, and the engines of one further step are
	// used by neither lane but for overflow, so that routers whose samples differ by a step don't mix the lanes.
	sizeStep = 1.25
	// orderTime is the time after which the order of the engines is computed again.
	orderTime = 100 * time.Millisecond
	// lateFraction is the part of a route's latency objective above which an expected first token makes a request overflow.
	lateFraction = 0.5
)

// Options are the settings of Lanes.
type Options struct {
	// Routers returns the number of routers that share the traffic.
	Routers func() int
	// OnResize is called when the size of a short lane changes; nil for nothing. 0 means no lanes.
	OnResize func(group qm.GroupID, size int)
	Log      logr.Logger
}

// Lanes holds the lanes of all groups. It is safe for concurrent use.
type Lanes struct {
	opts Options

	mu     sync.Mutex
	groups map[qm.GroupID]*group
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
	at time.Time
	// requests counts the requests, promptTokens their tokens; prefill is the time to read their prompts and running the time for which they
	// ran, in seconds.
	requests, promptTokens, prefill, running float64
}

// decay ages the sums to now.
func (r *route) decay(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		f := math.Exp(-d.Seconds() / sampleTime.Seconds())
		r.requests, r.promptTokens, r.prefill, r.running = r.requests*f, r.promptTokens*f, r.prefill*f, r.running*f
		r.at = now
	}
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
		r = &route{at: now}
		g.routes[id] = r
	}
	r.decay(now)
	return r
}

// RecordStart counts a request that was sent to an engine, and the time that the engine is expected to need for the prompt.
func (l *Lanes) RecordStart(groupID qm.GroupID, id qm.RouteID, prompt qm.Tokens, prefill time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.group(groupID).route(id, now)
	r.requests++
	r.promptTokens += float64(prompt)
	r.prefill += prefill.Seconds()
}

// RecordEnd counts the time for which a request occupied a place at its engine after its first token.
func (l *Lanes) RecordEnd(groupID qm.GroupID, id qm.RouteID, running time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.group(groupID).route(id, now).running += running.Seconds()
}

// Choice is the lane of a request.
type Choice struct {
	// Engines are the candidates in the lane, Overflow those that are used if the first token would be late in the lane. Overflow is nil if
	// the candidates are not separated.
	Engines, Overflow []*qm.Endpoint
}

// IsLate reports whether a request with the given latency objective overflows if its first token is expected after ttft.
func (c Choice) IsLate(ttft, objective time.Duration) bool {
	return len(c.Overflow) > 0 && objective > 0 && ttft > time.Duration(lateFraction*float64(objective))
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
	var c Choice
	isLong := g.isLong(r.Route, r.PromptTokens, now)
	start := int(math.Ceil(float64(g.size) * sizeStep))
	for _, e := range candidates {
		rank, known := g.ranks[e.ID]
		switch {
		case isLong && (!known || rank >= start), !isLong && known && rank < g.size:
			c.Engines = append(c.Engines, e)
		case !isLong, rank >= g.size:
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
	size := shortLane(g.demand(l.opts.Routers(), slots, now), len(g.ranks))
	if size == g.size {
		return
	}
	l.opts.Log.Info("lanes resized", "Group", id, "Short", size, "Before", g.size, "Engines", len(g.ranks))
	g.size = size
	if l.opts.OnResize != nil {
		l.opts.OnResize(id, size)
	}
}

// demand is the time of engines that the routes of a group need, in engines.
type demand struct {
	short, long float64
	// separable reports whether enough is known and the prompts of the routes differ enough.
	separable bool
}

// demand returns the demand at all routers, of which this one sees an equal part.
func (g *group) demand(routers, slots int, now time.Time) demand {
	threshold, ok := g.threshold(now)
	if !ok {
		return demand{}
	}
	d := demand{separable: true}
	scale := float64(max(1, routers)) / sampleTime.Seconds()
	for _, r := range g.routes {
		need := r.prefill
		if slots > 0 {
			need += r.running / float64(slots)
		}
		if r.requests > 0 && r.promptTokens/r.requests >= threshold {
			d.long += need * scale
		} else {
			d.short += need * scale
		}
	}
	return d
}

// threshold returns the mean length of the prompts from which on a route is long, and false if the routes are not to be separated.
func (g *group) threshold(now time.Time) (float64, bool) {
	shortest, longest, samples := math.Inf(1), 0.0, 0.0
	for _, r := range g.routes {
		r.decay(now)
		samples += r.requests
		if r.requests < 1 {
			continue
		}
		mean := r.promptTokens / r.requests
		shortest, longest = math.Min(shortest, mean), math.Max(longest, mean)
	}
	if samples < minSamples || longest < minRatio*shortest {
		return 0, false
	}
	return math.Sqrt(shortest * longest), true
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

// shortLane returns the number of engines of the short lane out of n, 0 for no lanes.
func shortLane(d demand, n int) int {
	if !d.separable || n < minEngines {
		return 0
	}
	want := d.short / shortUtilisation
	// Under high load both lanes get tighter; the short one first, down to maxShortUtilisation.
	want = math.Max(math.Min(want, float64(n)-d.long/maxLongUtilisation), d.short/maxShortUtilisation)
	most := int(maxShortFraction * float64(n))
	size := 2.0
	for size < want {
		size *= sizeStep
	}
	return min(int(math.Ceil(size)), most)
}
