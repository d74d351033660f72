package trial

import (
	"math/rand/v2"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Policy is a placement policy to simulate.
type Policy struct {
	Name string
	// New returns the placer of one router. Only the oracle uses s.
	New func(s *simulation) qm.Placer
	// SharedCache gives all engines of a run one common cache.
	SharedCache bool
	// ImportTokenTime is the time to import one token of KV cache from the store instead of prefilling it, 0 for no
	// import. The store is assumed to have what any engine has in its cache.
	ImportTokenTime time.Duration
}

// router is the part of a router that places requests: the real placer and its view of the engines.
type router struct {
	sim       *simulation
	placer    qm.Placer
	rnd       *rand.Rand
	endpoints []*qm.Endpoint
	// failedIncarnation is the incarnation of each engine that last refused or lost a job.
	failedIncarnation map[qm.EndpointID]qm.Incarnation
	// eventsLost reports whether events of an engine were lost since the last batch that arrived.
	eventsLost map[qm.EndpointID]bool
}

func newRouter(s *simulation, i int) *router {
	r := &router{
		sim: s, placer: s.spec.Policy.New(s), rnd: rand.New(rand.NewPCG(s.spec.Seed, uint64(10+i))),
		failedIncarnation: map[qm.EndpointID]qm.Incarnation{}, eventsLost: map[qm.EndpointID]bool{},
	}
	for _, e := range s.engines {
		r.addEngine(e)
	}
	return r
}

// addEngine adds an engine to the router's endpoints, without a load report.
func (r *router) addEngine(e *engine) {
	r.endpoints = append(r.endpoints, &qm.Endpoint{
		ID: e.id, Kind: qm.KindEngine, Group: "engines", State: qm.Live, Version: "v1",
		Incarnation: e.incarnation(),
	})
}

// updateEndpoint replaces the router's entry of an engine by an edited copy.
func (r *router) updateEndpoint(id qm.EndpointID, edit func(*qm.Endpoint)) {
	for i, e := range r.endpoints {
		if e.ID == id {
			c := *e
			edit(&c)
			r.endpoints[i] = &c
		}
	}
}

// applyReport applies a load report unless its incarnation is known to have failed.
func (r *router) applyReport(e *engine, inc qm.Incarnation, load qm.Load) {
	if r.failedIncarnation[e.id] == inc {
		return
	}
	r.updateEndpoint(e.id, func(ep *qm.Endpoint) {
		ep.State, ep.Incarnation, ep.Load, ep.ReportedAt = qm.Live, inc, load, r.sim.clock.time()
	})
}

// recordLostEvents records that a batch of events of an engine was lost.
func (r *router) recordLostEvents(e *engine) { r.eventsLost[e.id] = true }

// observeEvents passes cache events to the placer if it uses them.
func (r *router) observeEvents(e *engine, inc qm.Incarnation, batch []qm.CacheEvent) {
	if o, ok := r.placer.(qm.CacheObserver); ok {
		o.Observe(e.id, inc, batch, r.eventsLost[e.id], r.sim.clock.time())
	}
	r.eventsLost[e.id] = false
}

// accept handles a caller's request.
func (r *router) accept(req *request) {
	r.dispatch(&job{req: req, router: r, placeRequest: req.prompt})
}

// dispatch places a job and sends it to the chosen engine.
func (r *router) dispatch(j *job) {
	now := r.sim.clock.time()
	placement, ok := r.placer.Place(&j.placeRequest, r.endpoints, now, r.rnd)
	if !ok {
		// All engines failed this job: retry it later at any of them.
		j.placeRequest.Exclude = nil
		r.sim.clock.schedule(10*refusalDelay, func() { r.dispatch(j) })
		return
	}
	j.placement, j.maxCached = placement, r.sim.maxCached(j.placeRequest.Spans)
	r.sim.result.countReason(placement.Reason)
	r.placer.Dispatched(&j.placeRequest, placement, now)
	target := r.sim.engineByID(placement.Endpoint.ID)
	r.sim.clock.schedule(messageDelay, func() {
		if !target.accept(j) {
			r.sim.clock.schedule(refusalDelay, func() { r.handleFailure(j) })
		}
	})
}

// handleFailure handles a lost or refused job: it marks the engine as suspect and dispatches a new job to another one.
// If the first token was sent, the new job continues the answer.
func (r *router) handleFailure(j *job) {
	now := r.sim.clock.time()
	r.placer.Finished(&j.placeRequest, j.placement, now)
	id := j.placement.Endpoint.ID
	r.failedIncarnation[id] = j.placement.Incarnation
	r.updateEndpoint(id, func(ep *qm.Endpoint) {
		if ep.Incarnation == j.placement.Incarnation {
			ep.State = qm.Suspect
		}
	})
	next := &job{
		req: j.req, router: r, placeRequest: j.placeRequest, firstTokenSent: j.firstTokenSent,
		continued: j.firstTokenSent || j.continued,
	}
	next.placeRequest.Exclude = append(append([]qm.EndpointID{}, j.placeRequest.Exclude...), id)
	r.dispatch(next)
}

// engineByID returns the engine with an ID, nil if there is none.
func (s *simulation) engineByID(id qm.EndpointID) *engine {
	for _, e := range s.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// oracle places each request at the engine with the shortest prefill queue, of which it knows the current state. In
// its runs all engines share one cache with their total capacity, so its hit rate is the upper bound for least recently
// used caches in the memory of the engines.
type oracle struct {
	sim *simulation
}

// Place implements quetzalmount.Placer.
func (o *oracle) Place(
	_ *qm.PlaceRequest, engines []*qm.Endpoint, _ time.Time, _ *rand.Rand,
) (qm.Placement, bool) {
	var best *engine
	var bestEndpoint *qm.Endpoint
	var shortest float64
	for _, ep := range engines {
		e := o.sim.engineByID(ep.ID)
		if !e.alive {
			continue
		}
		if queue := float64(e.loadReport().QueuedTokens) * float64(e.prefillTokenTime); best == nil || queue < shortest {
			best, bestEndpoint, shortest = e, ep, queue
		}
	}
	if best == nil {
		return qm.Placement{}, false
	}
	return qm.Placement{Endpoint: bestEndpoint, Incarnation: best.incarnation(), Reason: "oracle"}, true
}

func (*oracle) Dispatched(*qm.PlaceRequest, qm.Placement, time.Time) {}
func (*oracle) FirstToken(*qm.PlaceRequest, qm.Placement, qm.Tokens, time.Time) {
}
func (*oracle) Finished(*qm.PlaceRequest, qm.Placement, time.Time) {}
