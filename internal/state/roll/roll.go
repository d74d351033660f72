// Package roll decides which engines load new weights, and when.
//
// The weights that are named last are the goal; versions in between are skipped, and engines with the oldest weights come first, since
// every version has a time after which none of the older ones may be used. An engine is emptied before it loads, while others load, so
// that the weight store never waits. Only a part of the engines is emptied or loads at the same time, because the others carry the load.
// An order whose fate is not known is looked into before it is given again.
package roll

import (
	"cmp"
	"slices"
	"strings"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// loadingShare is the part of the engines of a model that load at the same time: one in five. The deployments' weight stores
	// serve one in five to six at full speed.
	loadingShare = 5
	// leastLoading is the least number of engines that load at the same time.
	leastLoading = 2
	// awayShare of that part, or leastAway if that is more, is the number of engines that take no work beside those that load, since they
	// are emptied or were not asked yet whether they have loaded. More would end a roll-out sooner and leave too few for the load meanwhile.
	awayShare = 0.5
	leastAway = 2
	// emptyTime is how long an engine gets no new requests before it loads, for each engine of the model that much longer: most runs
	// end in that time, and in larger systems it takes longer until all routers have heard of it.
	emptyTime      = 500 * time.Millisecond
	emptyPerEngine = 10 * time.Millisecond
	// longestEmpty is how long an engine is emptied at most while requests run on it that can't be continued elsewhere.
	longestEmpty = 2500 * time.Millisecond
	// loadTime is the least time that a load takes, lookEvery the time between two looks at whether it has ended.
	loadTime  = 1900 * time.Millisecond
	lookEvery = 200 * time.Millisecond
	// lostTime is the time after which an order that is neither carried out nor under way is given again.
	lostTime = time.Second
)

// Step is what is to be done with an engine now.
type Step int

// Steps of a load.
const (
	// Empty tells all routers to send the engine no more requests.
	Empty Step = iota
	// Load gives the order.
	Load
	// Look asks the engine whether it has loaded.
	Look
)

// Order is one step of the load of one engine.
type Order struct {
	Step     Step
	Endpoint *qm.Endpoint
	Model    qm.ModelID
	// Number is the order of the version that the engine is to load.
	Number int64
	// Cut tells that the runs that are left may be cut: each can be continued elsewhere, or it has had enough time.
	Cut bool
}

// Fate is what is known of an order.
type Fate int

// Fates of an order.
const (
	// Loading orders are being carried out.
	Loading Fate = iota
	// Ended orders were carried out, or there is nothing to carry out.
	Ended
	// Lost orders got no answer: they may be carried out, now or later.
	Lost
)

// phase is where an engine is on its way to new weights.
type phase struct {
	loading bool
	// loaded is when the load is expected to have ended.
	loaded  time.Time
	weights qm.DesiredWeights
	inc     qm.Incarnation
	// latest is when an engine that is emptied loads although it still runs requests.
	latest time.Time
	// next is when the next step is due; busy tells that a step is under way.
	next time.Time
	busy bool
}

// Plan is the state of the roll-outs of one holder. It is not safe for concurrent use.
type Plan struct {
	phases map[qm.EndpointID]*phase
}

// New returns a plan in which no engine loads.
func New() *Plan { return &Plan{phases: make(map[qm.EndpointID]*phase)} }

// Next returns the steps that are due. Each but Empty must be followed by Did.
func (p *Plan) Next(endpoints []*qm.Endpoint, wanted map[qm.ModelID]qm.DesiredWeights, now time.Time) []Order {
	p.settle(endpoints)
	var out []Order
	for _, model := range models(wanted) {
		out = append(out, p.model(endpoints, model, wanted[model], now)...)
	}
	return out
}

// model returns the steps for the engines of one model.
func (p *Plan) model(endpoints []*qm.Endpoint, model qm.ModelID, w qm.DesiredWeights, now time.Time) []Order {
	var behind []*qm.Endpoint
	var out []Order
	// loading counts the engines that take from the weight store, away all that take no work: those that are emptied, load, or were not
	// asked yet whether they have loaded.
	engines, loading, away := 0, 0, 0
	for _, e := range endpoints {
		has, ok := e.Models[model]
		if !ok || e.State == qm.Leaving {
			continue
		}
		engines++
		switch ph := p.phases[e.ID]; {
		case ph == nil && has != w.Version:
			behind = append(behind, e)
		case ph == nil:
		case ph.loading:
			away++
			if now.Before(ph.loaded) {
				loading++
			}
			if !ph.busy && !now.Before(ph.next) {
				ph.busy = true
				out = append(out, Order{Step: Look, Endpoint: e, Model: model, Number: ph.weights.Number})
			}
		default:
			away++
		}
	}
	limit := max(leastLoading, engines/loadingShare)
	for _, e := range endpoints {
		ph := p.phases[e.ID]
		if _, ok := e.Models[model]; !ok || ph == nil || ph.loading || loading >= limit || now.Before(ph.next) {
			continue
		}
		if e.Load.NonResumable > 0 && now.Before(ph.latest) {
			continue
		}
		loading++
		ph.loading, ph.busy, ph.weights, ph.loaded = true, true, w, now.Add(loadTime)
		out = append(out, Order{Step: Load, Endpoint: e, Model: model, Number: w.Number, Cut: true})
	}
	slices.SortStableFunc(behind, func(a, b *qm.Endpoint) int { return compare(a, b, model) })
	for _, e := range behind {
		if away >= limit+max(leastAway, int(awayShare*float64(limit))) {
			break
		}
		away++
		p.phases[e.ID] = &phase{weights: w, inc: e.Incarnation, next: now.Add(emptyTime + time.Duration(engines)*emptyPerEngine), latest: now.Add(longestEmpty)}
		out = append(out, Order{Step: Empty, Endpoint: e, Model: model, Number: w.Number})
	}
	return out
}

// compare orders engines by their weights, oldest first, and among equals those first that take no work anyway.
func compare(a, b *qm.Endpoint, model qm.ModelID) int {
	if c := cmp.Compare(qm.VersionNumber(a.Models[model]), qm.VersionNumber(b.Models[model])); c != 0 {
		return c
	}
	return cmp.Compare(rank(a), rank(b))
}

func rank(e *qm.Endpoint) int {
	if e.State == qm.Live {
		return 1
	}
	return 0
}

func models(wanted map[qm.ModelID]qm.DesiredWeights) []qm.ModelID {
	var out []qm.ModelID
	for m := range wanted {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b qm.ModelID) int { return strings.Compare(string(a), string(b)) })
	return out
}

// settle forgets engines that have the weights that they were to load, that leave or are gone, or that have restarted.
func (p *Plan) settle(endpoints []*qm.Endpoint) {
	byID := make(map[qm.EndpointID]*qm.Endpoint, len(endpoints))
	for _, e := range endpoints {
		byID[e.ID] = e
	}
	for id, ph := range p.phases {
		e := byID[id]
		if e == nil || e.State == qm.Leaving || e.Incarnation != ph.inc || has(e, ph.weights.Version) {
			delete(p.phases, id)
		}
	}
}

func has(e *qm.Endpoint, v qm.VersionID) bool {
	for _, m := range e.Models {
		if m == v {
			return true
		}
	}
	return false
}

// Did tells what became of a step.
func (p *Plan) Did(o Order, f Fate, now time.Time) {
	ph := p.phases[o.Endpoint.ID]
	if ph == nil {
		return
	}
	ph.busy = false
	switch {
	case f == Ended:
		delete(p.phases, o.Endpoint.ID)
	case f == Lost:
		// Another order is given after a look; the precondition of both lets only one be carried out.
		ph.loading, ph.next, ph.latest = false, now.Add(lostTime), now.Add(lostTime)
	case o.Step == Load:
		ph.next = now.Add(loadTime)
	default:
		ph.next = now.Add(lookEvery)
	}
}
