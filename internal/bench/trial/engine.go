package trial

import (
	"strconv"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// engineSlots is the batch size of an engine.
	engineSlots = 48
	// prefillChunkTokens is the maximum number of tokens prefilled between two decoding steps.
	prefillChunkTokens = 2000
	// prefillOverhead is the fixed cost of a prefill.
	prefillOverhead = 4 * time.Millisecond
	// maxDecodeSlowdown is the fraction by which prefill takes longer when all slots are decoding.
	maxDecodeSlowdown = 0.5
	// maxRetainedEvents is the number of cache events that an engine retains for new readers.
	maxRetainedEvents = 512
	// decodeTokenTime is the time between two tokens of one answer.
	decodeTokenTime = 25 * time.Millisecond
)

// job is one attempt to serve a request at an engine.
type job struct {
	req          *request
	router       *router
	placeRequest qm.PlaceRequest
	placement    qm.Placement
	// maxCached is the longest prefix of the prompt, in tokens, that any engine had in its cache when the job was placed.
	maxCached qm.Tokens
	// cachedTokens is the length of the prefix that the engine found in its cache.
	cachedTokens qm.Tokens
	// firstTokenSent reports whether the caller has got the first token, also from an earlier job of the request.
	firstTokenSent bool
	// continued reports whether the job continues an answer after a crash. Its prefill and first token aren't measured.
	continued bool
}

// engine is a fake of a model server.
type engine struct {
	sim       *simulation
	id        qm.EndpointID
	bootCount int
	alive     bool
	// prefillTokenTime is the time to prefill one token while nothing is decoding.
	prefillTokenTime time.Duration
	cache            *cache
	// waiting holds the jobs without a slot, admitted those with a slot that aren't prefilled yet. If prefilling is
	// set, the first of admitted is being prefilled.
	waiting, admitted []*job
	decoding          map[*job]bool
	prefilling        bool
	// prefillLeft is the number of tokens that remain of the current prefill.
	prefillLeft    qm.Tokens
	evictedEntries int64
	// pendingEvents holds the events since the last batch, retainedEvents those that a new reader can still get.
	pendingEvents, retainedEvents []qm.CacheEvent
	lastSeq                       int64
}

// boot starts the engine with an empty cache, or adds it to the shared cache.
func (e *engine) boot() {
	e.bootCount++
	e.alive = true
	capacity := e.sim.spec.Deployment.CacheBlocks * qm.BlockTokens
	switch {
	case !e.sim.spec.Policy.SharedCache:
		e.cache = newCache(capacity, e.recordEvent)
	case e.sim.sharedCache == nil:
		e.sim.sharedCache = newCache(capacity, e.recordEvent)
		e.cache = e.sim.sharedCache
	case e.bootCount == 1:
		e.sim.sharedCache.limitTokens += capacity
		e.cache = e.sim.sharedCache
	}
	e.waiting, e.admitted, e.prefilling, e.evictedEntries, e.pendingEvents, e.retainedEvents =
		nil, nil, false, 0, nil, nil
	e.decoding = map[*job]bool{}
}

// recordEvent adds a change of the cache to the pending events.
func (e *engine) recordEvent(key qm.PrefixKey, stored bool) {
	e.lastSeq++
	if !stored {
		e.evictedEntries++
	}
	e.pendingEvents = append(e.pendingEvents, qm.CacheEvent{Seq: e.lastSeq, Stored: stored, Block: key})
}

// incarnation returns the ID of the engine's current run, which differs after each start.
func (e *engine) incarnation() qm.Incarnation {
	return qm.Incarnation(string(e.id) + "." + strconv.Itoa(e.bootCount))
}

// accept queues a job. It returns false if the engine is down.
func (e *engine) accept(j *job) bool {
	if !e.alive {
		return false
	}
	e.waiting = append(e.waiting, j)
	e.admit()
	return true
}

// admit assigns free slots to waiting jobs, and starts a prefill if none is running.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.admitted)+len(e.decoding) < engineSlots {
		e.admitted = append(e.admitted, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if !e.prefilling && len(e.admitted) > 0 {
		e.prefilling = true
		e.startPrefill()
	}
}

// startPrefill starts the prefill of the first admitted job.
func (e *engine) startPrefill() {
	j := e.admitted[0]
	j.cachedTokens = e.cache.cachedPrefix(j.placeRequest.Spans)
	e.cache.markUsed(j.placeRequest.Spans)
	e.prefillLeft = max(1, j.placeRequest.PromptTokens-j.cachedTokens)
	e.sim.recordPrefill(j)
	overhead := prefillOverhead
	if importTokenTime := e.sim.spec.Policy.ImportTokenTime; importTokenTime > 0 {
		imported := max(0, e.sim.maxCached(j.placeRequest.Spans)-j.cachedTokens)
		e.prefillLeft = max(1, e.prefillLeft-imported)
		overhead += time.Duration(imported) * importTokenTime
	}
	e.prefillChunk(e.bootCount, overhead)
}

// prefillChunk prefills the next chunk, and continues until the prefill is complete or the engine has crashed.
// bootCount is the run of the engine in which the prefill started, overhead a fixed time added to this chunk.
func (e *engine) prefillChunk(bootCount int, overhead time.Duration) {
	tokens := min(e.prefillLeft, prefillChunkTokens)
	slowdown := 1 + maxDecodeSlowdown*float64(len(e.decoding))/engineSlots
	duration := overhead + time.Duration(float64(tokens)*float64(e.prefillTokenTime)*slowdown)
	e.sim.prefillTime += duration
	e.sim.clock.schedule(duration, func() {
		if e.bootCount != bootCount || !e.alive {
			return
		}
		if e.prefillLeft -= tokens; e.prefillLeft > 0 {
			e.prefillChunk(bootCount, 0)
			return
		}
		e.finishPrefill()
	})
}

// finishPrefill ends a prefill: it stores the prompt in the cache, sends the first token and starts decoding.
func (e *engine) finishPrefill() {
	j := e.admitted[0]
	e.admitted = e.admitted[1:]
	e.cache.store(j.placeRequest.Spans)
	e.decoding[j] = true
	e.sim.recordFirstToken(j)
	bootCount := e.bootCount
	e.sim.clock.schedule(time.Duration(j.req.outputTokens)*decodeTokenTime, func() {
		if e.bootCount != bootCount || !e.alive {
			return
		}
		delete(e.decoding, j)
		e.sim.notifyFinished(j)
		e.admit()
	})
	e.prefilling = false
	e.admit()
}

// crash stops the engine and returns its jobs, which are lost, in the order of their arrival.
func (e *engine) crash() []*job {
	e.alive = false
	lost := append(append([]*job{}, e.admitted...), e.waiting...)
	for j := range e.decoding {
		lost = append(lost, j)
	}
	sortJobs(lost)
	return lost
}

// loadReport returns the current load of the engine.
func (e *engine) loadReport() qm.Load {
	l := qm.Load{
		Running: len(e.admitted) + len(e.decoding), Waiting: len(e.waiting), Slots: engineSlots,
		CapacityBlocks: int64(e.sim.spec.Deployment.CacheBlocks), UsedBlocks: int64(e.cache.recency.Len()),
		EvictedBlocks: e.evictedEntries,
	}
	if e.prefilling {
		l.QueuedTokens = e.prefillLeft
	}
	for i, j := range append(append([]*job{}, e.admitted...), e.waiting...) {
		if i > 0 || !e.prefilling {
			l.QueuedTokens += max(1, j.placeRequest.PromptTokens-e.cache.cachedPrefix(j.placeRequest.Spans))
		}
	}
	return l
}
