// Package roll plans the rollout of new weights: which engines load them, and when.
//
// All engines load the latest desired weights and skip intermediate versions. Engines with the oldest weights come first,
// since each version has a deadline after which older ones must not be used. An engine is drained before it loads, while
// other engines load, so that the weight store is always in use. Only some of the engines are drained or load at the same
// time, because the others must serve all requests. After an order without an answer, the engine's state is checked before
// the order is sent again.
package roll

import (
	"cmp"
	"slices"
	"strings"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// loadingDivisor limits the engines of a model that load at the same time to one in five. The weight stores of the
	// deployments serve one in five to six at full speed.
	loadingDivisor = 5
	// minLoading is the lowest value of that limit.
	minLoading = 2
	// drainingFraction of that limit, but at least minDraining, is the number of additional engines that may be unavailable
	// because they are drained or because the end of their load has not been checked. More of them would finish a rollout
	// earlier but leave too few engines for the requests.
	drainingFraction = 0.5
	minDraining      = 2
	// drainTime plus drainTimePerEngine for each engine of the model is how long an engine is drained before it loads. Most
	// requests end within that time, and in larger deployments it takes longer until all routers know of the drain.
	drainTime          = 500 * time.Millisecond
	drainTimePerEngine = 10 * time.Millisecond
	// maxDrainTime is how long an engine is drained at most while it runs requests that cannot be resumed on another engine.
	maxDrainTime = 2500 * time.Millisecond
	// minLoadTime is the minimum duration of a load, and checkInterval the interval of the checks whether it has ended.
	minLoadTime   = 1900 * time.Millisecond
	checkInterval = 200 * time.Millisecond
	// unansweredRetryDelay is the delay after which an order without an answer is sent again.
	unansweredRetryDelay = time.Second
)

// Step is an action on an engine.
type Step int

// Steps of a load.
const (
	// Drain tells all routers to send no more requests to the engine.
	Drain Step = iota
	// Load orders the engine to load the weights.
	Load
	// Check asks the engine whether it has loaded the weights.
	Check
)

// Order is a step of the load of an engine.
type Order struct {
	Step     Step
	Endpoint *qm.Endpoint
	Model    qm.ModelID
	// Number is the sequence number of the version to load.
	Number int64
	// Interrupt reports whether the remaining requests may be interrupted: each can be resumed on another engine or has had
	// maxDrainTime to end.
	Interrupt bool
}

// Result is the result of an order.
type Result int

// Results of an order.
const (
	// InProgress means that the order is being executed.
	InProgress Result = iota
	// Finished means that the order was executed or that there is nothing to execute.
	Finished
	// Unanswered means that there was no answer. The order may be executed now or later.
	Unanswered
)

// engineState is the state of an engine that is drained or loads new weights.
type engineState struct {
	loading bool
	// loadEnd is the expected end of the load.
	loadEnd     time.Time
	weights     qm.DesiredWeights
	incarnation qm.Incarnation
	// drainDeadline is when a drained engine loads even if it still runs requests that cannot be resumed elsewhere.
	drainDeadline time.Time
	// nextStep is when the next step is due, and stepPending whether the result of a step has not been recorded yet.
	nextStep    time.Time
	stepPending bool
}

// Plan is the state of the rollouts. It is not safe for concurrent use.
type Plan struct {
	states map[qm.EndpointID]*engineState
}

// New returns a plan without engines that are drained or load.
func New() *Plan { return &Plan{states: make(map[qm.EndpointID]*engineState)} }

// Next returns the orders that are due. Each order except for a Drain must be followed by a call to RecordResult.
func (p *Plan) Next(endpoints []*qm.Endpoint, desired map[qm.ModelID]qm.DesiredWeights, now time.Time) []Order {
	p.removeFinished(endpoints)
	var out []Order
	for _, model := range sortedModels(desired) {
		out = append(out, p.planModel(endpoints, model, desired[model], now)...)
	}
	return out
}

// planModel returns the orders that are due for the engines of a model.
func (p *Plan) planModel(endpoints []*qm.Endpoint, model qm.ModelID, w qm.DesiredWeights, now time.Time) []Order {
	var outdated []*qm.Endpoint
	var out []Order
	// loading is the number of engines that read from the weight store. unavailable is the number of engines that take no
	// requests: they are drained, load, or have not been checked since the expected end of their load.
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

// compareEngines orders engines by version, oldest first. Of engines with equal versions, those that are not live come
// first.
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

// sortedModels returns the models in a deterministic order.
func sortedModels(desired map[qm.ModelID]qm.DesiredWeights) []qm.ModelID {
	var out []qm.ModelID
	for m := range desired {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b qm.ModelID) int { return strings.Compare(string(a), string(b)) })
	return out
}

// removeFinished removes the states of engines that have loaded the desired weights, are leaving, are no longer listed, or
// have restarted.
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

// RecordResult records the result of an order that Next has returned.
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
		// The order is sent again after unansweredRetryDelay. Both orders have the same precondition, so that at most one is
		// executed.
		st.loading, st.nextStep, st.drainDeadline = false, now.Add(unansweredRetryDelay), now.Add(unansweredRetryDelay)
	case o.Step == Load:
		st.nextStep = now.Add(minLoadTime)
	default:
		st.nextStep = now.Add(checkInterval)
	}
}
