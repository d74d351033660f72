package trial

import (
	"math/rand/v2"
	"time"

	"quetzalmount.dev/quetzalmount"
)

// Policy is a way to place requests. New gets the run, which only the oracle uses.
type Policy struct {
	Name string
	New  func(w *world) quetzalmount.Placer
	// Pool gives all engines of the run one common cache.
	Pool bool
	// Import is the time to import one token of KV cache from the store instead of prefilling it, 0 for no import. The store
	// is assumed to have what any engine holds.
	Import time.Duration
}

// router is the part of a router that places requests: the real decision code and its view of the engines.
type router struct {
	w      *world
	placer quetzalmount.Placer
	rnd    *rand.Rand
	view   []*quetzalmount.Endpoint
	// dead is the incarnation that refused a connection last, gap tells that events of the engine were lost.
	dead map[quetzalmount.EndpointID]quetzalmount.Incarnation
	gap  map[quetzalmount.EndpointID]bool
}

func newRouter(w *world, i int) *router {
	r := &router{
		w: w, placer: w.spec.Policy.New(w), rnd: rand.New(rand.NewPCG(w.spec.Seed, uint64(10+i))),
		dead: map[quetzalmount.EndpointID]quetzalmount.Incarnation{}, gap: map[quetzalmount.EndpointID]bool{},
	}
	for _, e := range w.engines {
		r.meet(e)
	}
	return r
}

// meet adds an engine to the view, without a load report.
func (r *router) meet(e *engine) {
	r.view = append(r.view, &quetzalmount.Endpoint{
		ID: e.id, Kind: quetzalmount.KindEngine, Group: "engines", State: quetzalmount.Live, Version: "v1",
		Incarnation: e.incarnation(),
	})
}

// update replaces the view of an engine.
func (r *router) update(id quetzalmount.EndpointID, edit func(*quetzalmount.Endpoint)) {
	for i, e := range r.view {
		if e.ID == id {
			c := *e
			edit(&c)
			r.view[i] = &c
		}
	}
}

// report takes a load report unless it comes from an incarnation known to be dead.
func (r *router) report(e *engine, inc quetzalmount.Incarnation, load quetzalmount.Load) {
	if r.dead[e.id] == inc {
		return
	}
	r.update(e.id, func(ep *quetzalmount.Endpoint) {
		ep.State, ep.Incarnation, ep.Load, ep.ReportedAt = quetzalmount.Live, inc, load, r.w.clock.time()
	})
}

// miss notes that a batch of events was lost.
func (r *router) miss(e *engine) { r.gap[e.id] = true }

// observe passes events on.
func (r *router) observe(e *engine, inc quetzalmount.Incarnation, batch []quetzalmount.CacheEvent) {
	if o, ok := r.placer.(quetzalmount.CacheObserver); ok {
		o.Observe(e.id, inc, batch, r.gap[e.id], r.w.clock.time())
	}
	r.gap[e.id] = false
}

// accept places a caller's request.
func (r *router) accept(req *request) {
	r.send(&job{req: req, router: r, place: req.prompt})
}

// send places a job and dispatches it.
func (r *router) send(j *job) {
	now := r.w.clock.time()
	d, ok := r.placer.Place(&j.place, r.view, now, r.rnd)
	if !ok {
		// All engines failed this job, so the next round starts over.
		j.place.Exclude = nil
		r.w.clock.after(10*failTime, func() { r.send(j) })
		return
	}
	j.choice, j.held = d, r.w.held(j.place.Spans)
	r.w.res.reason(d.Reason)
	r.placer.Dispatched(&j.place, d, now)
	target := r.w.engine(d.Endpoint.ID)
	r.w.clock.after(hop, func() {
		if !target.take(j) {
			r.w.clock.after(failTime, func() { r.failed(j) })
		}
	})
}

// failed handles a lost or refused job: the engine becomes suspect and the job goes elsewhere. A job whose answer has begun
// is continued there.
func (r *router) failed(j *job) {
	now := r.w.clock.time()
	r.placer.Finished(&j.place, j.choice, now)
	id := j.choice.Endpoint.ID
	r.dead[id] = j.choice.Incarnation
	r.update(id, func(ep *quetzalmount.Endpoint) {
		if ep.Incarnation == j.choice.Incarnation {
			ep.State = quetzalmount.Suspect
		}
	})
	next := &job{req: j.req, router: r, place: j.place, started: j.started, again: j.started || j.again}
	next.place.Exclude = append(append([]quetzalmount.EndpointID{}, j.place.Exclude...), id)
	r.send(next)
}

// engine returns the engine with an id.
func (w *world) engine(id quetzalmount.EndpointID) *engine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// oracle knows every queue as it is now and takes the shortest. In its runs all engines share one cache as large as all of
// theirs, so its hit rate is the bound that the engines' memory sets for caches that evict the least recently used step.
type oracle struct {
	w *world
}

// Place implements quetzalmount.Placer.
func (o *oracle) Place(
	_ *quetzalmount.PlaceRequest, engines []*quetzalmount.Endpoint, _ time.Time, _ *rand.Rand,
) (quetzalmount.Decision, bool) {
	var best *engine
	var at *quetzalmount.Endpoint
	var low float64
	for _, ep := range engines {
		e := o.w.engine(ep.ID)
		if !e.alive {
			continue
		}
		if queue := float64(e.load().QueuedTokens) * float64(e.cost); best == nil || queue < low {
			best, at, low = e, ep, queue
		}
	}
	if best == nil {
		return quetzalmount.Decision{}, false
	}
	return quetzalmount.Decision{Endpoint: at, Incarnation: best.incarnation(), Reason: "oracle"}, true
}

func (*oracle) Dispatched(*quetzalmount.PlaceRequest, quetzalmount.Decision, time.Time) {}
func (*oracle) FirstToken(*quetzalmount.PlaceRequest, quetzalmount.Decision, quetzalmount.Tokens, time.Time) {
}
func (*oracle) Finished(*quetzalmount.PlaceRequest, quetzalmount.Decision, time.Time) {}
