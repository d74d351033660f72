package trial

import (
	"math/rand/v2"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Policy is a way to place requests. New gets the run, which only the oracle uses.
type Policy struct {
	Name string
	New  func(w *world) qm.Placer
	// Pool gives all engines of the run one common cache.
	Pool bool
	// Import is the time to import one token of KV cache from the store instead of prefilling it, 0 for no import. The store
	// is assumed to have what any engine holds.
	Import time.Duration
}

// router is the part of a router that places requests: the real decision code and its view of the engines.
type router struct {
	w      *world
	placer qm.Placer
	rnd    *rand.Rand
	view   []*qm.Endpoint
	// dead is the incarnation that refused a connection last, gap tells that events of the engine were lost.
	dead map[qm.EndpointID]qm.Incarnation
	gap  map[qm.EndpointID]bool
}

func newRouter(w *world, i int) *router {
	r := &router{
		w: w, placer: w.spec.Policy.New(w), rnd: rand.New(rand.NewPCG(w.spec.Seed, uint64(10+i))),
		dead: map[qm.EndpointID]qm.Incarnation{}, gap: map[qm.EndpointID]bool{},
	}
	for _, e := range w.engines {
		r.meet(e)
	}
	return r
}

// meet adds an engine to the view, without a load report.
func (r *router) meet(e *engine) {
	r.view = append(r.view, &qm.Endpoint{
		ID: e.id, Kind: qm.KindEngine, Group: "engines", State: qm.Live, Version: "v1",
		Incarnation: e.incarnation(),
	})
}

// update replaces the view of an engine.
func (r *router) update(id qm.EndpointID, edit func(*qm.Endpoint)) {
	for i, e := range r.view {
		if e.ID == id {
			c := *e
			edit(&c)
			r.view[i] = &c
		}
	}
}

// report takes a load report unless it comes from an incarnation known to be dead.
func (r *router) report(e *engine, inc qm.Incarnation, load qm.Load) {
	if r.dead[e.id] == inc {
		return
	}
	r.update(e.id, func(ep *qm.Endpoint) {
		ep.State, ep.Incarnation, ep.Load, ep.ReportedAt = qm.Live, inc, load, r.w.clock.time()
	})
}

// miss notes that a batch of events was lost.
func (r *router) miss(e *engine) { r.gap[e.id] = true }

// observe passes events on.
func (r *router) observe(e *engine, inc qm.Incarnation, batch []qm.CacheEvent) {
	if o, ok := r.placer.(qm.CacheObserver); ok {
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
	r.update(id, func(ep *qm.Endpoint) {
		if ep.Incarnation == j.choice.Incarnation {
			ep.State = qm.Suspect
		}
	})
	next := &job{req: j.req, router: r, place: j.place, started: j.started, again: j.started || j.again}
	next.place.Exclude = append(append([]qm.EndpointID{}, j.place.Exclude...), id)
	r.send(next)
}

// engine returns the engine with an id.
func (w *world) engine(id qm.EndpointID) *engine {
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
	_ *qm.PlaceRequest, engines []*qm.Endpoint, _ time.Time, _ *rand.Rand,
) (qm.Placement, bool) {
	var best *engine
	var at *qm.Endpoint
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
		return qm.Placement{}, false
	}
	return qm.Placement{Endpoint: at, Incarnation: best.incarnation(), Reason: "oracle"}, true
}

func (*oracle) Dispatched(*qm.PlaceRequest, qm.Placement, time.Time) {}
func (*oracle) FirstToken(*qm.PlaceRequest, qm.Placement, qm.Tokens, time.Time) {
}
func (*oracle) Finished(*qm.PlaceRequest, qm.Placement, time.Time) {}
