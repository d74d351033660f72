package trial

import (
	"strconv"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// slots is the batch size of an engine.
	slots = 48
	// chunkTokens is the prefill done between two steps of the decoding requests.
	chunkTokens = 2000
	// stepTime is the fixed cost of a prefill.
	stepTime = 4 * time.Millisecond
	// decodeTax is how much slower prefill is when all slots are decoding.
	decodeTax = 0.5
	// keptEvents is the number of events that an engine retains for new readers.
	keptEvents = 512
	// tokenTime is the time between two tokens of one answer.
	tokenTime = 25 * time.Millisecond
)

// job is one request on its way through an engine.
type job struct {
	req    *request
	router *router
	place  qm.PlaceRequest
	choice qm.Placement
	// held is the most that any engine held when the job was placed.
	held   qm.Tokens
	cached qm.Tokens
	// started tells that the caller has got the first token.
	started bool
	// again tells that the job continues an answer after a crash; its first token is not measured.
	again bool
}

// engine is a fake of a model engine.
type engine struct {
	w     *world
	id    qm.EndpointID
	run   int
	alive bool
	// cost is the time to prefill one token alone.
	cost  time.Duration
	cache *cache
	// waiting have no slot, ready have one and wait for prefill; the first of ready is being prefilled if busy.
	waiting, ready []*job
	decoding       map[*job]bool
	busy           bool
	// left is the tokens of the current prefill that remain.
	left    qm.Tokens
	evicted int64
	// log holds the events since the last batch, kept those that a new reader can still get.
	log, kept []qm.CacheEvent
	seq       int64
}

// boot starts the engine with an empty cache.
func (e *engine) boot() {
	e.run++
	e.alive = true
	size := e.w.spec.Deployment.CacheBlocks * qm.BlockTokens
	switch {
	case !e.w.spec.Policy.Pool:
		e.cache = newCache(size, e.record)
	case e.w.pool == nil:
		e.w.pool = newCache(size, e.record)
		e.cache = e.w.pool
	case e.run == 1:
		e.w.pool.limit += size
		e.cache = e.w.pool
	}
	e.waiting, e.ready, e.busy, e.evicted, e.log, e.kept = nil, nil, false, 0, nil, nil
	e.decoding = map[*job]bool{}
}

// record notes a cache event.
func (e *engine) record(key qm.PrefixKey, stored bool) {
	e.seq++
	if !stored {
		e.evicted++
	}
	e.log = append(e.log, qm.CacheEvent{Seq: e.seq, Stored: stored, Block: key})
}

// incarnation names the current run.
func (e *engine) incarnation() qm.Incarnation {
	return qm.Incarnation(string(e.id) + "." + strconv.Itoa(e.run))
}

// take accepts a job or refuses it.
func (e *engine) take(j *job) bool {
	if !e.alive {
		return false
	}
	e.waiting = append(e.waiting, j)
	e.admit()
	return true
}

// admit gives free slots to waiting jobs.
func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.ready)+len(e.decoding) < slots {
		e.ready = append(e.ready, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if !e.busy && len(e.ready) > 0 {
		e.busy = true
		e.prefill()
	}
}

// prefill starts the first ready job.
func (e *engine) prefill() {
	j := e.ready[0]
	j.cached = e.cache.held(j.place.Spans)
	e.cache.use(j.place.Spans)
	e.left = max(1, j.place.PromptTokens-j.cached)
	e.w.prefilled(j)
	fixed := stepTime
	if each := e.w.spec.Policy.Import; each > 0 {
		n := max(0, e.w.held(j.place.Spans)-j.cached)
		e.left = max(1, e.left-n)
		fixed += time.Duration(n) * each
	}
	e.chunk(e.run, fixed)
}

// chunk does a part of a prefill.
func (e *engine) chunk(run int, fixed time.Duration) {
	n := min(e.left, chunkTokens)
	tax := 1 + decodeTax*float64(len(e.decoding))/slots
	d := fixed + time.Duration(float64(n)*float64(e.cost)*tax)
	e.w.busy += d
	e.w.clock.after(d, func() {
		if e.run != run || !e.alive {
			return
		}
		if e.left -= n; e.left > 0 {
			e.chunk(run, 0)
			return
		}
		e.first()
	})
}

// first ends a prefill: the first token leaves and decoding begins.
func (e *engine) first() {
	j := e.ready[0]
	e.ready = e.ready[1:]
	e.cache.store(j.place.Spans)
	e.decoding[j] = true
	e.w.firstToken(j)
	run := e.run
	e.w.clock.after(time.Duration(j.req.output)*tokenTime, func() {
		if e.run != run || !e.alive {
			return
		}
		delete(e.decoding, j)
		e.w.finished(j)
		e.admit()
	})
	e.busy = false
	e.admit()
}

// crash loses the cache and all jobs, which it returns in the order of their arrival.
func (e *engine) crash() []*job {
	e.alive = false
	lost := append(append([]*job{}, e.ready...), e.waiting...)
	for j := range e.decoding {
		lost = append(lost, j)
	}
	sortJobs(lost)
	return lost
}

// load returns the engine's report.
func (e *engine) load() qm.Load {
	l := qm.Load{
		Running: len(e.ready) + len(e.decoding), Waiting: len(e.waiting), Slots: slots,
		CapacityBlocks: int64(e.w.spec.Deployment.CacheBlocks), UsedBlocks: int64(e.cache.order.Len()),
		EvictedBlocks: e.evicted,
	}
	if e.busy {
		l.QueuedTokens = e.left
	}
	for i, j := range append(append([]*job{}, e.ready...), e.waiting...) {
		if i > 0 || !e.busy {
			l.QueuedTokens += max(1, j.place.PromptTokens-e.cache.held(j.place.Spans))
		}
	}
	return l
}
