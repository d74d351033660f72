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

// refusal is an answer that refuses a request.
type refusal struct {
	status int
	after  int // seconds, 0 for none
	msg    string
}

// job is one request on the engine.
type job struct {
	id       qm.RequestID
	answer   answer
	salt     string
	spans    []qm.PrefixSpan
	prompt   qm.Tokens
	from     int64
	priority int
	seq      int64
	start    chan struct{} // closed when the job gets a slot

	ctx    context.Context
	cancel context.CancelFunc

	// The core's lock guards the rest.
	produced int64
	cached   qm.Tokens
	ready    bool // prefill is over
	ended    bool
	readers  int
	news     chan struct{} // closed at every change
}

// waitQueue orders jobs by priority, larger first, and then by arrival.
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
	inc     qm.Incarnation
	opts    *Options
	slow    func() float64
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	prefill chan struct{} // held by the job that computes its prompt; prompts are computed one after the other

	mu       sync.Mutex
	jobs     map[qm.RequestID]*job
	waiting  waitQueue
	running  int
	seq      int64
	cache    *cache
	stale    int64
	missed   qm.Tokens // prompt tokens computed
	queued   qm.Tokens // prompt tokens that wait for prefill
	version  qm.VersionID
	adapters []qm.AdapterID
	role     string
	loading  context.CancelFunc // ends the load in progress; nil if there is none
	fence    qm.Offset
	leaving  bool
	reports  []report
}

func newCore(parent context.Context, opts *Options, slow func() float64, lost func() bool) *core {
	ctx, cancel := context.WithCancel(parent)
	c := &core{
		inc: qm.Incarnation(uuid.NewString()), opts: opts, slow: slow, ctx: ctx, cancel: cancel,
		prefill: make(chan struct{}, 1), jobs: make(map[qm.RequestID]*job), cache: newCache(opts.CapacityBlocks, lost),
		version: opts.Version, adapters: opts.Adapters, role: opts.Role,
	}
	if opts.LoadLag > 0 {
		c.wg.Go(c.sample)
	}
	return c
}

// close ends everything that runs in the incarnation.
func (c *core) close() {
	c.cancel()
	c.wg.Wait()
}

// admit takes a request in, or returns the job that already has its id, so that a repeated POST runs nothing twice.
func (c *core) admit(j *job, version qm.VersionID) (*job, *refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.jobs[j.id]; ok {
		return old, nil
	}
	switch {
	case c.leaving:
		return nil, &refusal{503, 1, "engine is leaving"}
	case c.loading != nil:
		return nil, &refusal{503, 1, "engine is loading weights"}
	case version != "" && version != c.version:
		return nil, &refusal{404, 0, "engine serves version " + string(c.version)}
	case c.running >= c.opts.Slots && len(c.waiting) >= c.opts.QueueLength:
		return nil, &refusal{429, 1, "queue is full"}
	}
	j.ctx, j.cancel = context.WithCancel(c.ctx)
	j.start, j.news, j.produced = make(chan struct{}), make(chan struct{}), j.from
	c.seq++
	j.seq = c.seq
	c.jobs[j.id] = j
	c.queued += j.prompt
	heap.Push(&c.waiting, j)
	c.fill()
	c.wg.Go(func() { c.run(j) })
	return j, nil
}

// fill gives free slots to waiting jobs. The caller holds c.mu.
func (c *core) fill() {
	for c.running < c.opts.Slots && len(c.waiting) > 0 {
		j := heap.Pop(&c.waiting).(*job)
		c.running++
		close(j.start)
	}
}

// run takes a job from the queue to its end and forgets it after ResumeTime.
func (c *core) run(j *job) {
	select {
	case <-j.start:
		c.compute(j)
		c.mu.Lock()
		c.running--
	case <-j.ctx.Done():
		c.mu.Lock()
		c.leaveQueue(j)
	}
	if !j.ready {
		c.queued -= j.prompt
	}
	j.ended = true
	j.wake()
	c.fill()
	c.mu.Unlock()
	serve.Sleep(j.ctx, c.opts.ResumeTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.jobs, j.id)
	j.cancel()
}

// leaveQueue takes a cancelled job out of the queue, or gives back the slot that it got meanwhile. The caller holds c.mu.
func (c *core) leaveQueue(j *job) {
	for i, w := range c.waiting {
		if w == j {
			heap.Remove(&c.waiting, i)
			return
		}
	}
	c.running--
}

// compute runs the prefill and generates the chunks. Prompts are computed one at a time, chunks of all slots in parallel.
func (c *core) compute(j *job) {
	select {
	case c.prefill <- struct{}{}:
	case <-j.ctx.Done():
		return
	}
	cached := c.lookup(j)
	missed := j.prompt - cached
	ok := c.work(j, time.Duration(missed)*c.opts.PrefillPerToken)
	<-c.prefill
	if !ok {
		return
	}
	c.mu.Lock()
	for _, s := range j.spans {
		c.cache.store(block{blockKey{j.salt, s.Key}, c.version})
	}
	c.missed += missed
	c.queued -= j.prompt
	j.cached, j.ready = cached, true
	c.mu.Unlock()
	for j.produced < j.answer.length {
		if !c.work(j, c.opts.DecodePerToken) {
			return
		}
		c.mu.Lock()
		j.produced++
		j.wake()
		c.mu.Unlock()
	}
}

func (c *core) lookup(j *job) qm.Tokens {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits, stale := c.cache.lookup(j.salt, j.spans, c.version)
	c.stale += int64(stale)
	if hits == 0 {
		return 0
	}
	return min(j.spans[hits-1].End, j.prompt)
}

// work takes d of the engine's time, longer while the engine is slow.
func (c *core) work(j *job, d time.Duration) bool {
	return serve.Sleep(j.ctx, time.Duration(float64(d)*c.slow()))
}

// wake tells the connections of the job to look again. The caller holds c.mu.
func (j *job) wake() {
	close(j.news)
	j.news = make(chan struct{})
}

// find returns a job by its id.
func (c *core) find(id qm.RequestID) (*job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	return j, ok
}

// attach counts a connection that reads the job. The returned function ends it; a job without a reader for ResumeTime is
// dropped.
func (c *core) attach(j *job) func() {
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
			if !serve.Sleep(j.ctx, c.opts.ResumeTime) {
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
