package trial

import (
	"math/rand/v2"
	"strconv"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// Routers is the number of entry instances.
	Routers = 6
	// reportTime and batchTime are the intervals of load reports and of batches of cache events.
	reportTime = 250 * time.Millisecond
	batchTime  = 500 * time.Millisecond
	// lostTogether is the number of consecutive events that are lost together when a new router reads the retained ones.
	lostTogether = 8
	// hop is the time of a message between two processes, failTime that of a refused connection.
	hop      = time.Millisecond
	failTime = 5 * time.Millisecond
	// bootTime is the time in which a crashed engine returns with its weights loaded.
	bootTime = 4 * time.Second
	// slowShare is the part of prefill speed that every fifth engine lacks.
	slowShare = 0.2
	// tokenCost is the time to prefill one token on an idle engine, for 40,000 tokens/s.
	tokenCost = 25 * time.Microsecond
)

// Spec describes one run.
type Spec struct {
	Deployment Deployment
	Case       Case
	Policy     Policy
	Seed       uint64
}

// world is the state of one run.
type world struct {
	spec    Spec
	clock   clock
	engines []*engine
	routers []*router
	// net draws delays and losses; it is apart from the traffic, which is the same for all policies.
	net  *rand.Rand
	busy time.Duration
	// pool is the common cache of all engines in runs of the oracle.
	pool *cache
	res  *Result
}

// Run runs one trial.
func Run(spec Spec) *Result {
	w := &world{spec: spec, net: rand.New(rand.NewPCG(spec.Seed, 2)), res: newResult(spec)}
	for range spec.Deployment.Engines {
		w.addEngine()
	}
	for i := range Routers {
		w.routers = append(w.routers, newRouter(w, i))
	}
	all := newTraffic(spec.Deployment, spec.Seed).generate(spec.Case, Length)
	for _, r := range all {
		w.clock.after(r.at, func() { w.routers[r.router].accept(r) })
	}
	w.plan()
	w.clock.run(Length + drainTime)
	for _, r := range all {
		// A request that was never served counts with the time that it has waited.
		if r.at >= warmTime && !r.served {
			w.res.Unserved++
			w.res.first(r, w.clock.now-r.at)
		}
	}
	w.res.Busy = w.busy.Seconds() / (Length.Seconds() * float64(spec.Deployment.Engines))
	return w.res
}

// plan schedules the faults of the case.
func (w *world) plan() {
	c := w.spec.Case
	for i, at := range c.Crash {
		w.clock.after(at, func() { w.crash(w.engines[(3+4*i)%len(w.engines)]) })
	}
	for _, at := range c.Restart {
		w.clock.after(at, func() {
			for i := range w.routers {
				w.routers[i] = newRouter(w, i)
				w.replay(w.routers[i])
			}
		})
	}
	if c.Add > 0 {
		w.clock.after(c.Add, func() { w.addEngine() })
	}
}

// addEngine starts another engine, which reports its load and its events from now on.
func (w *world) addEngine() {
	n := len(w.engines)
	e := &engine{w: w, id: qm.EndpointID("engine" + strconv.Itoa(n)), cost: tokenCost}
	if n%5 == 4 {
		e.cost = time.Duration(float64(tokenCost) / (1 - slowShare))
	}
	w.engines = append(w.engines, e)
	e.boot()
	for _, r := range w.routers {
		r.meet(e)
	}
	offset := time.Duration(n) * reportTime / 16
	w.clock.after(offset, func() { w.report(e) })
	w.clock.after(offset, func() { w.publish(e) })
}

// crash stops an engine. Its requests fail at once, and it returns later with an empty cache.
func (w *world) crash(e *engine) {
	for _, j := range e.crash() {
		w.clock.after(hop, func() { j.router.failed(j) })
	}
	w.clock.after(bootTime, e.boot)
}

// report sends the load of an engine to all routers.
func (w *world) report(e *engine) {
	w.clock.after(reportTime, func() { w.report(e) })
	if !e.alive {
		return
	}
	load, inc := e.load(), e.incarnation()
	w.clock.after(w.spec.Case.reportLag(), func() {
		for _, r := range w.routers {
			r.report(e, inc, load)
		}
	})
}

// publish sends the cache events of an engine to all routers, each of which may lose them.
func (w *world) publish(e *engine) {
	w.clock.after(batchTime, func() { w.publish(e) })
	batch, inc := e.log, e.incarnation()
	e.log = nil
	e.kept = append(e.kept, batch...)
	e.kept = e.kept[max(0, len(e.kept)-keptEvents):]
	if !e.alive || len(batch) == 0 {
		return
	}
	lag, loss := w.spec.Case.events()
	for i := range w.routers {
		if w.net.Float64() < loss {
			w.routers[i].miss(e)
			continue
		}
		w.clock.after(time.Duration((0.5+w.net.Float64())*float64(lag)), func() { w.routers[i].observe(e, inc, batch) })
	}
}

// replay sends the retained events of all engines to a new router. Those that were lost once are lost to it too.
func (w *world) replay(r *router) {
	if w.spec.Case.Forgetful {
		return
	}
	lag, loss := w.spec.Case.events()
	for _, e := range w.engines {
		var batch []qm.CacheEvent
		for i := 0; i < len(e.kept); i += lostTogether {
			if w.net.Float64() < loss {
				r.miss(e)
				continue
			}
			batch = append(batch, e.kept[i:min(len(e.kept), i+lostTogether)]...)
		}
		inc := e.incarnation()
		w.clock.after(lag/2, func() { r.observe(e, inc, batch) })
	}
}

// held returns the most tokens of a prompt that any live engine has in its cache.
func (w *world) held(spans []qm.PrefixSpan) qm.Tokens {
	most := qm.Tokens(0)
	for _, e := range w.engines {
		if e.alive {
			most = max(most, e.cache.held(spans))
		}
	}
	return most
}

// prefilled notes what a job found in the cache.
func (w *world) prefilled(j *job) {
	if j.req.at >= warmTime && !j.again {
		w.res.prompt += float64(j.place.PromptTokens)
		w.res.cached += float64(j.cached)
		w.res.recomputed += float64(max(0, j.held-j.cached))
	}
}

// firstToken notes the time of a first token and tells the router.
func (w *world) firstToken(j *job) {
	if j.req.at >= warmTime && !j.started {
		w.res.first(j.req, w.clock.now-j.req.at)
	}
	j.started, j.req.served = true, true
	w.clock.after(hop, func() { j.router.placer.FirstToken(&j.place, j.choice, j.cached, w.clock.time()) })
}

// finished tells the router that a job is done.
func (w *world) finished(j *job) {
	w.clock.after(hop, func() { j.router.placer.Finished(&j.place, j.choice, w.clock.time()) })
}
