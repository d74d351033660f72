package engsrv

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/serve"
)

// requestError is an HTTP error response to a request.
type requestError struct {
	status     int
	retryAfter int // seconds, 0 for none
	msg        string
}

// job is one admitted request.
type job struct {
	id           qm.RequestID
	answer       answer
	salt         string
	spans        []qm.PrefixSpan
	promptTokens qm.Tokens
	firstChunk   int64
	priority     int
	seq          int64         // order of arrival
	started      chan struct{} // closed when the job is assigned a slot

	ctx    context.Context
	cancel context.CancelFunc

	// The fields below are guarded by core.mu.
	produced  int64
	cached    qm.Tokens
	prefilled bool // the prompt has been computed
	ended     bool
	readers   int
	changed   chan struct{} // closed and replaced at every change
}

// waitQueue is a heap of jobs ordered by priority, highest first, and then by arrival.
type waitQueue []*job

func (q waitQueue) Len() int { return len(q) }
func (q waitQueue) Less(a, b int) bool {
	if q[a].priority != q[b].priority {
		return q[a].priority > q[b].priority
	}
	return q[a].seq < q[b].seq
}
func (q waitQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *waitQueue) Push(x any)   { *q = append(*q, x.(*job)) }
func (q *waitQueue) Pop() any {
	old := *q
	j := old[len(old)-1]
	*q = old[:len(old)-1]
	return j
}

// core is the state of one incarnation.
type core struct {
	incarnation qm.Incarnation
	opts        *Options
	slowFactor  func() float64
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	prefillSem  chan struct{} // semaphore with one permit: only one job at a time computes its prompt

	mu            sync.Mutex
	jobs          map[qm.RequestID]*job
	waiting       waitQueue
	running       int
	seq           int64 // number of admitted jobs, and sequence number of the latest one
	cache         *cache
	staleHits     int64
	prefillTokens qm.Tokens // prompt tokens computed
	queuedTokens  qm.Tokens // prompt tokens waiting for prefill
	version       qm.VersionID
	adapters      []qm.AdapterID
	role          string
	cancelLoad    context.CancelFunc // cancels the weight load in progress; nil if there is none
	fence         qm.Offset
	leaving       bool
	samples       []reportSample
}

func newCore(parent context.Context, opts *Options, slowFactor func() float64, losesEvent func() bool) *core {
	ctx, cancel := context.WithCancel(parent)
	c := &core{
		incarnation: qm.Incarnation(uuid.NewString()), opts: opts, slowFactor: slowFactor, ctx: ctx, cancel: cancel,
		prefillSem: make(chan struct{}, 1), jobs: make(map[qm.RequestID]*job), cache: newCache(opts.CapacityBlocks, losesEvent),
		version: opts.Version, adapters: opts.Adapters, role: opts.Role,
	}
	if opts.ReportLag > 0 {
		c.wg.Go(c.sampleReports)
	}
	return c
}

// close cancels everything that runs in the incarnation and waits until it has ended.
func (c *core) close() {
	c.cancel()
	c.wg.Wait()
}

// admit queues a new job. If there is already a job with the same ID, admit returns that one, so that a repeated POST doesn't
// run the request twice.
func (c *core) admit(j *job, version qm.VersionID) (*job, *requestError) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.jobs[j.id]; ok {
		return old, nil
	}
	switch {
	case c.leaving:
		return nil, &requestError{503, 1, "engine is leaving"}
	case c.cancelLoad != nil:
		return nil, &requestError{503, 1, "engine is loading weights"}
	case version != "" && version != c.version:
		return nil, &requestError{404, 0, "engine serves version " + string(c.version)}
	case c.running >= c.opts.Slots && len(c.waiting) >= c.opts.QueueLength:
		return nil, &requestError{429, 1, "queue is full"}
	}
	j.ctx, j.cancel = context.WithCancel(c.ctx)
	j.started, j.changed, j.produced = make(chan struct{}), make(chan struct{}), j.firstChunk
	c.seq++
	j.seq = c.seq
	c.jobs[j.id] = j
	c.queuedTokens += j.promptTokens
	heap.Push(&c.waiting, j)
	c.assignSlots()
	c.wg.Go(func() { c.runJob(j) })
	return j, nil
}

// assignSlots assigns free slots to waiting jobs. The caller holds c.mu.
func (c *core) assignSlots() {
	for c.running < c.opts.Slots && len(c.waiting) > 0 {
		j := heap.Pop(&c.waiting).(*job)
		c.running++
		close(j.started)
	}
}

// runJob waits for a slot, generates the answer, and removes the job StreamRetention after its end.
func (c *core) runJob(j *job) {
	select {
	case <-j.started:
		c.generate(j)
		c.mu.Lock()
		c.running--
	case <-j.ctx.Done():
		c.mu.Lock()
		c.withdraw(j)
	}
	if !j.prefilled {
		c.queuedTokens -= j.promptTokens
	}
	j.ended = true
	j.notify()
	c.assignSlots()
	c.mu.Unlock()
	serve.Sleep(j.ctx, c.opts.StreamRetention)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.jobs, j.id)
	j.cancel()
}

// withdraw removes a cancelled job from the queue, or releases its slot if it was assigned one in the meantime. The caller
// holds c.mu.
func (c *core) withdraw(j *job) {
	for i, w := range c.waiting {
		if w == j {
			heap.Remove(&c.waiting, i)
			return
		}
	}
	c.running--
}

// generate computes the prompt and then generates the chunks. Prompts are computed one at a time, chunks of all slots in
// parallel.
func (c *core) generate(j *job) {
	select {
	case c.prefillSem <- struct{}{}:
	case <-j.ctx.Done():
		return
	}
	cached := c.lookupCache(j)
	uncached := j.promptTokens - cached
	ok := c.simulateWork(j, time.Duration(uncached)*c.opts.PrefillPerToken)
	<-c.prefillSem
	if !ok {
		return
	}
	c.mu.Lock()
	for _, s := range j.spans {
		c.cache.store(block{blockKey{j.salt, s.Key}, c.version})
	}
	c.prefillTokens += uncached
	c.queuedTokens -= j.promptTokens
	j.cached, j.prefilled = cached, true
	c.mu.Unlock()
	for j.produced < j.answer.length {
		if !c.simulateWork(j, c.opts.DecodePerToken) {
			return
		}
		c.mu.Lock()
		j.produced++
		j.notify()
		c.mu.Unlock()
	}
}

// lookupCache returns the number of prompt tokens that are cached.
func (c *core) lookupCache(j *job) qm.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits, stale := c.cache.lookup(j.salt, j.spans, c.version)
	c.staleHits += int64(stale)
	if hits == 0 {
		return 0
	}
	return min(j.spans[hits-1].End, j.promptTokens)
}

// simulateWork waits for d times the slowdown factor. It reports false if the job is cancelled first.
func (c *core) simulateWork(j *job, d time.Duration) bool {
	return serve.Sleep(j.ctx, time.Duration(float64(d)*c.slowFactor()))
}

// notify wakes the connections that wait for a change of the job. The caller holds core.mu.
func (j *job) notify() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// findJob returns the job with the given ID.
func (c *core) findJob(id qm.RequestID) (*job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	return j, ok
}

// addReader registers a connection that reads the job and returns a function that unregisters it. The job is cancelled if it
// has no reader StreamRetention after one has left.
func (c *core) addReader(j *job) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	j.readers++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		j.readers--
		if j.readers > 0 || j.ended {
			return
		}
		c.wg.Go(func() {
			if !serve.Sleep(j.ctx, c.opts.StreamRetention) {
				return
			}
			c.mu.Lock()
			defer c.mu.Unlock()
			if j.readers == 0 {
				j.cancel()
			}
		})
	}
}
