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
	loadingDivisor = 5
	// leastLoading is the least number of engines that load at the same time.
	minLoading = 2
	// awayShare of that part, or leastAway if that is more, is the number of engines that take no work beside those that load, since they
	// are emptied or were not asked yet whether they have loaded. More would end a roll-out sooner and leave too few for the load meanwhile.
	drainingFraction = 0.5
	minDraining      = 2
	// emptyTime is how long an engine gets no new requests before it loads, for each engine of the model that much longer: most runs
	// end in that time, and in larger systems it takes longer until all routers have heard of it.
	drainTime          = 500 * time.Millisecond
	drainTimePerEngine = 10 * time.Millisecond
	// longestEmpty is how long an engine is emptied at most while requests run on it that can't be continued elsewhere.
	maxDrainTime = 2500 * time.Millisecond
	// loadTime is the least time that a load takes, lookEvery the time between two looks at whether it has ended.
	minLoadTime   = 1900 * time.Millisecond
	checkInterval = 200 * time.Millisecond
	// lostTime is the time after which an order that is neither carried out nor under way is given again.
	unansweredRetryDelay = time.Second
)

// Step is what is to be done with an engine now.
type Step int

// Steps of a load.
const (
	// Empty tells all routers to send the engine no more requests.
	Drain Step = iota
	// Load gives the order.
	Load
	// Look asks the engine whether it has loaded.
	Check
)

// Order is one step of the load of one engine.
type Order struct {
	Step     Step
	Endpoint *qm.Endpoint
	Model    qm.ModelID
	// Number is the order of the version that the engine is to load.
	Number int64
	// Cut tells that the runs that are left may be cut: each can be continued elsewhere, or it has had enough time.
	Interrupt bool
}

// Result is what is known of an order.
type Result int

// Fates of an order.
const (
	// Loading orders are being carried out.
	InProgress Result = iota
	// Ended orders were carried out, or there is nothing to carry out.
	Finished
	// Lost orders got no answer: they may be carried out, now or later.
	Unanswered
)

// phase is where an engine is on its way to new weights.
type engineState struct {
	loading bool
	// loaded is when the load is expected to have ended.
	loadEnd     time.Time
	weights     qm.DesiredWeights
	incarnation qm.Incarnation
	// latest is when an engine that is emptied loads although it still runs requests.
	drainDeadline time.Time
	// next is when the next step is due; busy tells that a step is under way.
	nextStep    time.Time
	stepPending bool
}

// Plan is the state of the roll-outs of one holder. It is not safe for concurrent use.
type Plan struct {
	states map[qm.EndpointID]*engineState
}

// New returns a plan in which no engine loads.
func New() *Plan { return &Plan{states: make(map[qm.EndpointID]*engineState)} }

// Next returns the steps that are due. Each but Empty must be followed by Did.
func (p *Plan) Next(endpoints []*qm.Endpoint, wanted map[qm.ModelID]qm.DesiredWeights, now time.Time) []Order {
	p.removeFinished(endpoints)
	var out []Order
	for _, model := range sortedModels(wanted) {
		out = append(out, p.planModel(endpoints, model, wanted[model], now)...)
	}
	return out
}

// model returns the steps for the engines of one model.
func (p *Plan) planModel(endpoints []*qm.Endpoint, model qm.ModelID, w qm.DesiredWeights, now time.Time) []Order {
	var outdated []*qm.Endpoint
	var out []Order
	// loading counts the engines that take from the weight store, away all that take no work: those that are emptied, load, or were not
	// asked yet whether they have loaded.
	engines, loading, unavailable := 0, 0, 0
	for _, e := range endpoints {
		has, ok := e.Models[model]
		if !ok || e.State == qm.Leaving {
			continue
		}
		engines++
		switch st := p.states[e.ID]; {
		case st == nil && has != w.Version:
			outdated = append(outdated, e)
		case st == nil:
		case st.loading:
			unavailable++
			if now.Before(st.loadEnd) {
				loading++
			}
			if !st.stepPending && !now.Before(st.nextStep) {
				st.stepPending = true
				out = append(out, Order{Step: Check, Endpoint: e, Model: model, Number: st.weights.Number})
			}
		default:
			unavailable++
		}
	}
	limit := max(minLoading, engines/loadingDivisor)
	for _, e := range endpoints {
		st := p.states[e.ID]
		if _, ok := e.Models[model]; !ok || st == nil || st.loading || loading >= limit || now.Before(st.nextStep) {
			continue
		}
		if e.Load.NonResumable > 0 && now.Before(st.drainDeadline) {
			continue
		}
		loading++
		st.loading, st.stepPending, st.weights, st.loadEnd = true, true, w, now.Add(minLoadTime)
		out = append(out, Order{Step: Load, Endpoint: e, Model: model, Number: w.Number, Interrupt: true})
	}
	slices.SortStableFunc(outdated, func(a, b *qm.Endpoint) int { return compareEngines(a, b, model) })
	for _, e := range outdated {
		if unavailable >= limit+max(minDraining, int(drainingFraction*float64(limit))) {
			break
		}
		unavailable++
		p.states[e.ID] = &engineState{weights: w, incarnation: e.Incarnation, nextStep: now.Add(drainTime + time.Duration(engines)*drainTimePerEngine), drainDeadline: now.Add(maxDrainTime)}
		out = append(out, Order{Step: Drain, Endpoint: e, Model: model, Number: w.Number})
	}
	return out
}

// compare orders engines by their weights, oldest first, and among equals those first that take no work anyway.
func compareEngines(a, b *qm.Endpoint, model qm.ModelID) int {
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

func sortedModels(wanted map[qm.ModelID]qm.DesiredWeights) []qm.ModelID {
	var out []qm.ModelID
	for m := range wanted {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b qm.ModelID) int { return strings.Compare(string(a), string(b)) })
	return out
}

// settle forgets engines that have the weights that they were to load, that leave or are gone, or that have restarted.
func (p *Plan) removeFinished(endpoints []*qm.Endpoint) {
	byID := make(map[qm.EndpointID]*qm.Endpoint, len(endpoints))
	for _, e := range endpoints {
		byID[e.ID] = e
	}
	for id, st := range p.states {
		e := byID[id]
		if e == nil || e.State == qm.Leaving || e.Incarnation != st.incarnation || hasVersion(e, st.weights.Version) {
			delete(p.states, id)
		}
	}
}

func hasVersion(e *qm.Endpoint, v qm.VersionID) bool {
	for _, m := range e.Models {
		if m == v {
			return true
		}
	}
	return false
}

// RecordResult tells what became of a step.
func (p *Plan) RecordResult(o Order, f Result, now time.Time) {
	st := p.states[o.Endpoint.ID]
	if st == nil {
		return
	}
	st.stepPending = false
	switch {
	case f == Finished:
		delete(p.states, o.Endpoint.ID)
	case f == Unanswered:
		// Another order is given after a look; the precondition of both lets only one be carried out.
		st.loading, st.nextStep, st.drainDeadline = false, now.Add(unansweredRetryDelay), now.Add(unansweredRetryDelay)
	case o.Step == Load:
		st.nextStep = now.Add(minLoadTime)
	default:
		st.nextStep = now.Add(checkInterval)
	}
}
