// Package roll plans the rollout of new weights: which engines load them, and when.
//
// All engines load the latest desired weights and skip intermediate versions. Engines with the oldest weights come first, since each
// version has a deadline after which older ones must not be used. An engine is drained before it loads, while other engines load, so that
// the weight store is always in use. How many load at the same time follows from the load times that are seen (see pace), how many are
// away from the load (see spareEngines) and the time left (see neededEngines). After an order without an answer, the engine's state is checked before the order
// is sent again; an engine that refuses orders or does not answer keeps no other engine waiting.
package roll

import (
	"cmp"
	"slices"
	"strings"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// runGrace is how long the requests of an engine may run on after all routers know of the drain. Most end within that time; the rest
	// are resumed at another engine, which reads their prompts again.
	runGrace = 500 * time.Millisecond
	// nonResumableGrace is the same for requests that cannot be resumed, maxGraceFraction its limit as a fraction of the time left. The engine lets those
	// that run for longer end before it loads; until then it counts as one that loads.
	nonResumableGrace = 2500 * time.Millisecond
	maxGraceFraction  = 0.25
	// minCheckInterval is the shortest interval of the checks whether a load has ended, and checkFraction the interval as a fraction of the
	// time that it has taken so far. The first check is due after firstCheckFraction of the expected time.
	minCheckInterval   = 100 * time.Millisecond
	checkFraction      = 0.1
	firstCheckFraction = 0.95
	// unknownLoadTime is the assumed time of a load until one was seen. Meanwhile one engine is checked often and the others after this time.
	unknownLoadTime = time.Second
	// maxEndedDivisor makes one load in four of the window count as ended before a check has shown it.
	maxEndedDivisor = 4
	// lateAnswer is the time after which an engine that has not accepted its order no longer keeps another one from loading.
	lateAnswer = 300 * time.Millisecond
	// minReorderDelay is the time after which an order is sent again to an engine that says that it is not executing it. Reports lag by
	// some hundred milliseconds.
	minReorderDelay = time.Second
	// minRetryDelay and maxRetryDelay bound the delay after which an order is sent again to an engine that refused it or did not answer. It
	// doubles with each failure.
	minRetryDelay = time.Second
	maxRetryDelay = 8 * time.Second
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
	// KeepRuns is set for a Load if requests that can't be continued at another engine may still run there: some are known, no other engine of its group has a
	// free slot, or the engine was drained for too short a time for the loads of all routers to be known. The engine must let its runs end first.
	KeepRuns bool
}

// Result is the result of an order.
type Result int

// Results of an order.
const (
	// Accepted means that the engine accepted the order and started to execute it.
	Accepted Result = iota
	// InProgress means that the engine is executing this or another order.
	InProgress
	// Finished means that the engine has the weights.
	Finished
	// NotStarted means that the engine answered a Check, does not have the weights and is not executing an order.
	NotStarted
	// Refused means that the engine refused the order.
	Refused
	// Unanswered means that there was no answer. The order may be executed now or later.
	Unanswered
)

// phase is what an engine that has yet to load is doing.
type phase int

const (
	draining phase = iota
	loading
	// waiting engines refused an order or did not answer. They take requests if they can.
	waiting
)

// engineState is the state of an engine from the start of its drain to the end of its load.
type engineState struct {
	phase       phase
	model       qm.ModelID
	weights     qm.DesiredWeights
	incarnation qm.Incarnation
	// since is when the drain was announced.
	since time.Time
	// orderedAt is when the order was sent, concurrent how many engines were loading then.
	// accepted reports whether the engine accepted the order, so that the time of the load is known; busy whether it was executing
	// another one, which a previous leader may have sent.
	orderedAt  time.Time
	busy       bool
	accepted   bool
	concurrent int
	// nextStep is when the next check or retry is due, and stepPending whether the result of a step has not been recorded yet.
	nextStep    time.Time
	stepPending bool
	failures    int
}

// Options describe the deployment.
type Options struct {
	// Bound is how long older weights may be used after newer ones were set, 0 if there is no bound.
	Bound time.Duration
	// Spread returns the time within which all routers learn that an engine takes no requests.
	Spread func() time.Duration
}

// Plan is the state of the rollouts. It is not safe for concurrent use.
type Plan struct {
	opts   Options
	states map[qm.EndpointID]*engineState
	paces  map[qm.ModelID]*pace
}

// New returns a plan without engines that are drained or load.
func New(opts Options) *Plan {
	if opts.Spread == nil {
		opts.Spread = func() time.Duration { return 0 }
	}
	return &Plan{opts: opts, states: make(map[qm.EndpointID]*engineState), paces: make(map[qm.ModelID]*pace)}
}

// Active reports whether engines are drained, load or wait for another order.
func (p *Plan) Active() bool { return len(p.states) > 0 }

// Next returns the orders that are due. Each order except for a Drain must be followed by a call to RecordResult.
func (p *Plan) Next(endpoints []*qm.Endpoint, desired map[qm.ModelID]qm.DesiredWeights, now time.Time) []Order {
	for model := range desired {
		p.pace(model).update(p.loading(model), now)
	}
	p.removeFinished(endpoints, now)
	var out []Order
	for _, model := range sortedModels(desired) {
		r := &rollout{plan: p, pace: p.pace(model), model: model, weights: desired[model], now: now, free: make(map[qm.GroupID]int)}
		out = append(out, r.next(endpoints)...)
	}
	return out
}

func (p *Plan) pace(model qm.ModelID) *pace {
	if p.paces[model] == nil {
		p.paces[model] = newPace()
	}
	return p.paces[model]
}

// rollout is the planning of one step of the rollout of a model.
type rollout struct {
	plan    *Plan
	pace    *pace
	model   qm.ModelID
	weights qm.DesiredWeights
	now     time.Time

	// engines counts the engines of the model, away those that take no requests, loading those that load and overdue those of them that are
	// expected to have ended.
	engines, away, loading, overdue int
	// free counts the engines of each group that take requests and have a free slot.
	free map[qm.GroupID]int
	// outdated engines have older weights and are not drained yet, drained ones may be ordered to load.
	outdated, drained []*qm.Endpoint
	orders            []Order
}

func (r *rollout) next(endpoints []*qm.Endpoint) []Order {
	for _, e := range endpoints {
		if _, ok := e.Models[r.model]; ok && e.State != qm.Leaving {
			r.classify(e)
		}
	}
	slices.SortStableFunc(r.drained, func(a, b *qm.Endpoint) int {
		return r.plan.states[a.ID].since.Compare(r.plan.states[b.ID].since)
	})
	window, needed := r.pace.limit(r.engines), r.neededByBound()
	// Loads that take longer than expected show that the expectation is wrong, so that few of them are taken for ended.
	ended := min(r.overdue, max(1, window/maxEndedDivisor))
	for _, e := range r.drained {
		if r.loading-ended < window {
			r.load(e)
		}
	}
	limit := min(max(needed, spareEngines(r.engines, busyFraction(endpoints, r.model))), window+r.pipeline(window))
	for _, e := range r.firstOutdated(limit - r.away) {
		r.plan.states[e.ID] = &engineState{model: r.model, weights: r.weights, incarnation: e.Incarnation, since: r.now}
		r.add(Drain, e)
	}
	return r.orders
}

func (r *rollout) add(s Step, e *qm.Endpoint) {
	r.orders = append(r.orders, Order{Step: s, Endpoint: e, Model: r.model, Number: r.weights.Number})
}

// classify counts an engine and adds a Check if one is due.
func (r *rollout) classify(e *qm.Endpoint) {
	r.engines++
	st := r.plan.states[e.ID]
	if st == nil && e.State == qm.Live && (e.Load.Slots == 0 || e.Load.Running+e.Load.Waiting < e.Load.Slots) {
		r.free[e.Group]++
	}
	switch {
	case st == nil:
		if e.Models[r.model] != r.weights.Version {
			r.outdated = append(r.outdated, e)
		}
	case st.model != r.model:
		// The engine is away for another one of its models, which comes first.
		r.away++
	case st.phase == loading:
		r.away++
		r.loading++
		if r.isLoadOver(st) {
			r.overdue++
		}
		if !st.stepPending && !r.now.Before(st.nextStep) {
			st.stepPending = true
			r.orders = append(r.orders, Order{Step: Check, Endpoint: e, Model: r.model, Number: st.weights.Number})
		}
	case st.phase == waiting:
		if !r.now.Before(st.nextStep) {
			r.drained = append(r.drained, e)
		}
	default:
		r.away++
		if r.isDrained(e, st) {
			r.drained = append(r.drained, e)
		}
	}
}

// isLoadOver reports whether a load is expected to have ended, so that the next one may start without waiting for a check. An engine that
// is late to accept an order is not expected to load.
func (r *rollout) isLoadOver(st *engineState) bool {
	since := r.now.Sub(st.orderedAt)
	if !st.accepted {
		return !st.busy && since >= lateAnswer
	}
	expected, known := r.pace.expected(st.concurrent)
	return known && since >= expected
}

// isDrained reports whether an engine may load: all routers know of the drain, and its requests have ended or had time to. If its weights
// may not be used for much longer, it loads at once.
func (r *rollout) isDrained(e *qm.Endpoint, st *engineState) bool {
	drainedFor := r.now.Sub(st.since) - r.plan.opts.Spread()
	left := r.timeLeft(e)
	if r.plan.opts.Bound > 0 && left < r.loadTime() {
		return true
	}
	if drainedFor < 0 {
		return false
	}
	if e.Load.NonResumable > 0 {
		grace := nonResumableGrace
		if r.plan.opts.Bound > 0 {
			grace = min(grace, time.Duration(maxGraceFraction*float64(left)))
		}
		return drainedFor >= grace
	}
	return e.Load.Running+e.Load.Waiting == 0 || drainedFor >= runGrace
}

func (r *rollout) timeLeft(e *qm.Endpoint) time.Duration {
	return timeLeft(r.weights, qm.VersionNumber(e.Models[r.model]), r.plan.opts.Bound, r.now)
}

// load orders an engine to load the weights.
func (r *rollout) load(e *qm.Endpoint) {
	r.loading++
	st := r.plan.states[e.ID]
	keepRuns := e.Load.NonResumable > 0 || r.free[e.Group] == 0 || st.phase != draining || r.now.Sub(st.since)-r.plan.opts.Spread() < runGrace
	if st.phase == draining {
		r.pace.recordDrain(r.now.Sub(st.since))
	}
	st.phase, st.stepPending, st.weights, st.accepted, st.busy = loading, true, r.weights, false, false
	st.orderedAt, st.concurrent = r.now, r.loading
	r.add(Load, e)
	r.orders[len(r.orders)-1].KeepRuns = keepRuns
}

// loadTime returns the expected time of a load.
func (r *rollout) loadTime() time.Duration {
	if r.pace.typical > 0 {
		return r.pace.typical
	}
	return unknownLoadTime
}

// overhead returns how long an engine is away in addition to its load: it is drained before, and the end of the load is noticed late.
func (r *rollout) overhead() time.Duration {
	drain := r.pace.drain
	if drain == 0 {
		drain = r.plan.opts.Spread() + runGrace
	}
	return drain + minCheckInterval
}

// pipeline returns how many engines are away in addition to those that load, so that a drained engine is ready whenever a load ends.
func (r *rollout) pipeline(window int) int {
	load := r.loadTime()
	return int((time.Duration(window)*r.overhead() + load - 1) / load)
}

// neededByBound returns how many engines must be away for the bound on older weights to be kept, 0 if there is none. While older weights
// may be used, one engine keeps serving.
func (r *rollout) neededByBound() int {
	if r.plan.opts.Bound <= 0 {
		return 0
	}
	left := make([]time.Duration, 0, len(r.outdated))
	for _, e := range r.outdated {
		left = append(left, r.timeLeft(e))
	}
	needed := neededEngines(r.away, left, r.overhead()+r.loadTime())
	if len(left) > 0 && slices.Max(left) > 0 {
		needed = min(needed, r.engines-1)
	}
	return needed
}

// firstOutdated returns the n outdated engines to load first: those with the oldest weights, and of equal ones those that are not live.
func (r *rollout) firstOutdated(n int) []*qm.Endpoint {
	if n <= 0 || len(r.outdated) == 0 {
		return nil
	}
	type candidate struct {
		endpoint *qm.Endpoint
		number   int64
		rank     int
	}
	all := make([]candidate, len(r.outdated))
	for i, e := range r.outdated {
		all[i] = candidate{endpoint: e, number: qm.VersionNumber(e.Models[r.model])}
		if e.State == qm.Live {
			all[i].rank = 1
		}
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.rank, b.rank))
	})
	out := make([]*qm.Endpoint, 0, min(n, len(all)))
	for _, c := range all[:min(n, len(all))] {
		out = append(out, c.endpoint)
	}
	return out
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

// removeFinished removes the states of engines that have loaded the desired weights, are leaving, are no longer listed, or have restarted,
// and records the time of finished loads.
func (p *Plan) removeFinished(endpoints []*qm.Endpoint, now time.Time) {
	byID := make(map[qm.EndpointID]*qm.Endpoint, len(endpoints))
	for _, e := range endpoints {
		byID[e.ID] = e
	}
	for id, st := range p.states {
		e := byID[id]
		if e == nil || e.State == qm.Leaving || e.Incarnation != st.incarnation {
			delete(p.states, id)
			continue
		}
		if e.Models[st.model] == st.weights.Version {
			p.finish(id, now)
		}
	}
}

// finish removes the state of an engine that has loaded its weights and records the time that it took.
func (p *Plan) finish(id qm.EndpointID, now time.Time) {
	st := p.states[id]
	if st.phase == loading && st.accepted {
		p.pace(st.model).record(now.Sub(st.orderedAt), now)
		p.advanceChecks(st.model)
	}
	delete(p.states, id)
}

// loading returns the number of engines that are loading a model's weights and have not been seen to finish.
func (p *Plan) loading(model qm.ModelID) int {
	n := 0
	for _, st := range p.states {
		if st.phase == loading && (st.accepted || st.busy) && st.model == model {
			n++
		}
	}
	return n
}

// RecordResult records the result of an order that Next has returned.
func (p *Plan) RecordResult(o Order, f Result, now time.Time) {
	st := p.states[o.Endpoint.ID]
	if st == nil {
		return
	}
	st.stepPending = false
	switch f {
	case Finished:
		p.finish(o.Endpoint.ID, now)
	case Refused, Unanswered:
		// An order without an answer may still be executed. The next one has the same precondition, so that at most one is.
		st.phase, st.busy, st.nextStep = waiting, false, now.Add(min(maxRetryDelay, minRetryDelay<<min(st.failures, 8)))
		st.failures++
	case NotStarted:
		st.busy = false
		if now.Sub(st.orderedAt) >= max(minReorderDelay, 2*p.pace(o.Model).typical) {
			st.phase, st.nextStep = waiting, now
			return
		}
		st.nextStep = now.Add(minCheckInterval)
	case Accepted:
		st.accepted, st.failures = true, 0
		st.nextStep = st.orderedAt.Add(p.firstCheck(o.Endpoint.ID, o.Model))
	case InProgress:
		st.busy = true
		st.nextStep = now.Add(max(minCheckInterval, time.Duration(checkFraction*float64(now.Sub(st.orderedAt)))))
	}
}

// firstCheck returns the time from an order to the first check. While no load time is known, one engine is checked early and often.
func (p *Plan) firstCheck(id qm.EndpointID, model qm.ModelID) time.Duration {
	if expected, known := p.pace(model).expected(p.states[id].concurrent); known {
		return time.Duration(firstCheckFraction * float64(expected))
	}
	for other, st := range p.states {
		if other != id && st.phase == loading && st.accepted {
			return unknownLoadTime
		}
	}
	return minCheckInterval
}

// advanceChecks moves the checks of engines that loaded before the load time was known.
func (p *Plan) advanceChecks(model qm.ModelID) {
	for id, st := range p.states {
		if st.phase != loading || !st.accepted {
			continue
		}
		if due := st.orderedAt.Add(p.firstCheck(id, model)); due.Before(st.nextStep) {
			st.nextStep = due
		}
	}
}
