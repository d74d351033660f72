package trial

import (
	"math/rand/v2"
	"strconv"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// NumRouters is the number of simulated routers.
	NumRouters = 6
	// reportInterval and eventBatchInterval are how often an engine sends load reports and batches of cache events.
	reportInterval     = 250 * time.Millisecond
	eventBatchInterval = 500 * time.Millisecond
	// lossBurstEvents is the number of consecutive events that are lost together when a restarted router reads the
	// retained ones.
	lossBurstEvents = 8
	// messageDelay is the one-way delay between two processes, refusalDelay the time until a router learns of a refused
	// connection.
	messageDelay = time.Millisecond
	refusalDelay = 5 * time.Millisecond
	// restartTime is the time from an engine's crash until it serves again with its weights loaded.
	restartTime = 4 * time.Second
	// slowEngineReduction is the fraction by which every fifth engine prefills slower than the others.
	slowEngineReduction = 0.2
	// prefillTokenTime is the time to prefill one token on an idle engine, for 40,000 tokens/s.
	prefillTokenTime = 25 * time.Microsecond
)

// Spec is the input of one simulated run.
type Spec struct {
	Deployment Deployment
	Case       Case
	Policy     Policy
	Seed       uint64
}

// simulation is the state of one run.
type simulation struct {
	spec    Spec
	clock   clock
	engines []*engine
	routers []*router
	// netRand draws delays and losses of messages. The traffic has a random source of its own, so that it is the same for
	// all policies.
	netRand *rand.Rand
	// prefillTime is the total prefill time of all engines.
	prefillTime time.Duration
	// sharedCache is the cache of all engines under policies with SharedCache, otherwise nil.
	sharedCache *cache
	result      *Result
}

// Run simulates one run and returns its result.
func Run(spec Spec) *Result {
	s := &simulation{spec: spec, netRand: rand.New(rand.NewPCG(spec.Seed, 2)), result: newResult(spec)}
	for range spec.Deployment.Engines {
		s.addEngine()
	}
	for i := range NumRouters {
		s.routers = append(s.routers, newRouter(s, i))
	}
	requests := newTraffic(spec.Deployment, spec.Seed).generate(spec.Case, TrafficTime)
	for _, r := range requests {
		s.clock.schedule(r.arrival, func() { s.routers[r.router].accept(r) })
	}
	s.scheduleFaults()
	s.clock.runUntil(TrafficTime + drainTime)
	for _, r := range requests {
		// A request that was never served counts with its waiting time until the end of the run.
		if r.arrival >= warmUpTime && !r.served {
			s.result.Unserved++
			s.result.addTTFT(r, s.clock.now-r.arrival)
		}
	}
	s.result.Busy = s.prefillTime.Seconds() / (TrafficTime.Seconds() * float64(spec.Deployment.Engines))
	return s.result
}

// scheduleFaults schedules the crashes, restarts and added engine of the case.
func (s *simulation) scheduleFaults() {
	c := s.spec.Case
	for i, at := range c.CrashTimes {
		s.clock.schedule(at, func() { s.crash(s.engines[(3+4*i)%len(s.engines)]) })
	}
	for _, at := range c.RestartTimes {
		s.clock.schedule(at, func() {
			for i := range s.routers {
				s.routers[i] = newRouter(s, i)
				s.replayEvents(s.routers[i])
			}
		})
	}
	if c.AddEngineAt > 0 {
		s.clock.schedule(c.AddEngineAt, func() { s.addEngine() })
	}
}

// addEngine starts another engine and its periodic load reports and cache events.
func (s *simulation) addEngine() {
	n := len(s.engines)
	e := &engine{sim: s, id: qm.EndpointID("engine" + strconv.Itoa(n)), prefillTokenTime: prefillTokenTime}
	if n%5 == 4 {
		e.prefillTokenTime = time.Duration(float64(prefillTokenTime) / (1 - slowEngineReduction))
	}
	s.engines = append(s.engines, e)
	e.boot()
	for _, r := range s.routers {
		r.addEngine(e)
	}
	offset := time.Duration(n) * reportInterval / 16
	s.clock.schedule(offset, func() { s.sendReport(e) })
	s.clock.schedule(offset, func() { s.publishEvents(e) })
}

// crash stops an engine. Its requests fail at once. It starts again after restartTime, with an empty cache unless the
// engines share one.
func (s *simulation) crash(e *engine) {
	for _, j := range e.crash() {
		s.clock.schedule(messageDelay, func() { j.router.handleFailure(j) })
	}
	s.clock.schedule(restartTime, e.boot)
}

// sendReport sends the load of an engine to all routers, and schedules the next report.
func (s *simulation) sendReport(e *engine) {
	s.clock.schedule(reportInterval, func() { s.sendReport(e) })
	if !e.alive {
		return
	}
	load, inc := e.loadReport(), e.incarnation()
	s.clock.schedule(s.spec.Case.reportLag(), func() {
		for _, r := range s.routers {
			r.applyReport(e, inc, load)
		}
	})
}

// publishEvents sends the pending cache events of an engine to all routers, and schedules the next batch. Each router
// may lose the batch.
func (s *simulation) publishEvents(e *engine) {
	s.clock.schedule(eventBatchInterval, func() { s.publishEvents(e) })
	batch, inc := e.pendingEvents, e.incarnation()
	e.pendingEvents = nil
	e.retainedEvents = append(e.retainedEvents, batch...)
	e.retainedEvents = e.retainedEvents[max(0, len(e.retainedEvents)-maxRetainedEvents):]
	if !e.alive || len(batch) == 0 {
		return
	}
	lag, loss := s.spec.Case.eventDelivery()
	for i := range s.routers {
		if s.netRand.Float64() < loss {
			s.routers[i].recordLostEvents(e)
			continue
		}
		s.clock.schedule(time.Duration((0.5+s.netRand.Float64())*float64(lag)), func() {
			s.routers[i].observeEvents(e, inc, batch)
		})
	}
}

// replayEvents sends the retained events of all engines to a new router. Those that were lost once are lost to it too.
func (s *simulation) replayEvents(r *router) {
	if s.spec.Case.NoEventRetention {
		return
	}
	lag, loss := s.spec.Case.eventDelivery()
	for _, e := range s.engines {
		var batch []qm.CacheEvent
		for i := 0; i < len(e.retainedEvents); i += lossBurstEvents {
			if s.netRand.Float64() < loss {
				r.recordLostEvents(e)
				continue
			}
			batch = append(batch, e.retainedEvents[i:min(len(e.retainedEvents), i+lossBurstEvents)]...)
		}
		inc := e.incarnation()
		s.clock.schedule(lag/2, func() { r.observeEvents(e, inc, batch) })
	}
}

// maxCached returns the length of the longest prefix of a prompt, in tokens, that any live engine has in its cache.
func (s *simulation) maxCached(spans []qm.PrefixSpan) qm.Tokens {
	longest := qm.Tokens(0)
	for _, e := range s.engines {
		if e.alive {
			longest = max(longest, e.cache.cachedPrefix(spans))
		}
	}
	return longest
}

// recordPrefill counts the cached and recomputed tokens of a measured job. Recomputed tokens are those that are
// prefilled although an engine had them in its cache when the job was placed.
func (s *simulation) recordPrefill(j *job) {
	if j.req.arrival >= warmUpTime && !j.continued {
		s.result.promptTokens += float64(j.placeRequest.PromptTokens)
		s.result.cachedTokens += float64(j.cachedTokens)
		s.result.recomputedTokens += float64(max(0, j.maxCached-j.cachedTokens))
	}
}

// recordFirstToken records the time to first token of a measured request, and notifies the router's placer.
func (s *simulation) recordFirstToken(j *job) {
	if j.req.arrival >= warmUpTime && !j.firstTokenSent {
		s.result.addTTFT(j.req, s.clock.now-j.req.arrival)
	}
	j.firstTokenSent, j.req.served = true, true
	s.clock.schedule(messageDelay, func() {
		j.router.placer.FirstToken(&j.placeRequest, j.placement, j.cachedTokens, s.clock.time())
	})
}

// notifyFinished notifies the router's placer that a job is done.
func (s *simulation) notifyFinished(j *job) {
	s.clock.schedule(messageDelay, func() { j.router.placer.Finished(&j.placeRequest, j.placement, s.clock.time()) })
}
