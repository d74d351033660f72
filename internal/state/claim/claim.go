package claim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	qm "quetzalmount.dev/quetzalmount"
)

// Defaults of Options.
const (
	// AppendsPerSecond is a router's share: six routers stay under the 300 appends a second that the log takes at least.
	AppendsPerSecond = 48
	// AppendBurst lets a single call go out at once. Six routers' bursts stay within a tenth of a second of the log's rate.
	AppendBurst = 4
	// MaxBatch bounds the records of one append.
	MaxBatch = 500
	// MaxAnswer bounds the body of a recorded answer, in bytes.
	MaxAnswer = 4 << 10
	// MaxKeys bounds the keys of a shard, MaxAnswers the bytes of its recorded answers, and MaxCalls the attempts of this
	// router that are not over. A key was measured to take 393 bytes without its answer, so that the keys of all shards
	// take 19 MB and their answers 8 MB, under the 32 MB that control work may take on a node.
	MaxKeys    = 6000
	MaxAnswers = 1 << 20
	MaxCalls   = 4000
	// CallTime is the deadline of calls whose context and service have none.
	DefaultCallTimeout = 30 * time.Second
	// FlushTime is how long Close waits for dispatched calls and their records.
	FlushTimeout = 10 * time.Second
)

// Options describe a Claims. Log and Dispatch are required.
type Options struct {
	Log      qm.Log
	Instance qm.InstanceID
	Dispatch qm.DispatchFunc
	// Status may be nil if no service has a status look-up.
	Status qm.StatusFunc
	// Owner reports whether this router re-appends the live state of a shard. Nil means never.
	Owner func(shard int) bool
	// Retention is the log's retention time. 0 means that records stay for ever, and nothing is re-appended.
	Retention time.Duration
	// Log of alerts, such as records that cannot be decoded. The zero value drops them.
	Logger logr.Logger

	AppendsPerSecond float64
	AppendBurst      int
	MaxBatch         int
	MaxAnswer        int
	// KeyTime, Window, MaxKeys and MaxAnswers must be the same on all routers, or they disagree on the holder of a key.
	KeyTime      time.Duration
	Window       time.Duration
	MaxKeys      int
	MaxAnswers   int
	FlushTimeout time.Duration
}

// Claims implements quetzalmount.Claims over the claims streams of the log.
type Claims struct {
	opts          Options
	logger        logr.Logger
	appendLimiter *rate.Limiter
	shards        [Shards]*shard
	ctx           context.Context // of the background work
	stop          context.CancelFunc
	background    sync.WaitGroup
	mu            sync.Mutex
	closing       bool
	drivers       sync.WaitGroup
	calls         atomic.Int64 // attempts that are not over
}

var _ qm.CallRunner = (*Claims)(nil)

// New starts the followers and committers of all shards. They end when ctx ends or after Close.
func New(ctx context.Context, opts Options) (*Claims, error) {
	if opts.Log == nil || opts.Dispatch == nil {
		return nil, errors.New("claim: Log and Dispatch are required")
	}
	setDefaults(&opts)
	c := &Claims{opts: opts, logger: opts.Logger, appendLimiter: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), opts.AppendBurst)}
	c.ctx, c.stop = context.WithCancel(ctx)
	for i := range c.shards {
		s := newShard(i, rules{keyRetention: opts.KeyTime, window: opts.Window, maxKeys: opts.MaxKeys, maxAnswers: opts.MaxAnswers})
		c.shards[i] = s
		c.background.Go(func() { c.follow(c.ctx, s) })
		c.background.Go(func() { c.appendRecords(c.ctx, s) })
	}
	c.background.Go(func() { c.runSnapshots(c.ctx) })
	return c, nil
}

func setDefaults(o *Options) {
	setDefault(&o.AppendsPerSecond, AppendsPerSecond)
	setDefault(&o.AppendBurst, AppendBurst)
	setDefault(&o.MaxBatch, MaxBatch)
	setDefault(&o.MaxAnswer, MaxAnswer)
	setDefault(&o.KeyTime, KeyRetention)
	setDefault(&o.Window, ClaimWindow)
	setDefault(&o.MaxKeys, MaxKeys)
	setDefault(&o.MaxAnswers, MaxAnswers)
	setDefault(&o.FlushTimeout, FlushTimeout)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Close refuses new calls, waits for dispatched calls and their records for at most FlushTime, and stops.
func (c *Claims) Close() error {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	fctx, cancel := context.WithTimeout(c.ctx, c.opts.FlushTimeout)
	defer cancel()
	for fctx.Err() == nil && !c.idle() {
		sleepJittered(fctx, flushPollInterval)
	}
	clean := c.idle()
	c.stop()
	c.drivers.Wait()
	c.background.Wait()
	if !clean {
		return errors.New("claim: stopped before all records were in the log")
	}
	return nil
}

// flushPoll is how often Close looks whether all is done.
const flushPollInterval = 20 * time.Millisecond

func (c *Claims) idle() bool {
	if c.calls.Load() > 0 {
		return false
	}
	for _, s := range c.shards {
		s.mu.Lock()
		n := len(s.pending) + s.inFlight
		s.mu.Unlock()
		if n > 0 {
			return false
		}
	}
	return true
}

// enter counts a new attempt, and reports an error if there must be none. leave undoes it.
func (c *Claims) beginAttempt() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.ctx.Err() != nil {
		return qm.Refuse(qm.CodeLeaving, "claim", "this router is stopping; retry at another address").WithRetryAfter(time.Second)
	}
	if c.calls.Load() >= MaxCalls {
		return qm.Refuse(qm.CodeQueueFull, "claim", "too many calls wait for the log; retry later").WithRetryAfter(time.Second)
	}
	c.calls.Add(1)
	c.drivers.Add(1)
	return nil
}

func (c *Claims) endAttempt() {
	c.calls.Add(-1)
	c.drivers.Done()
}
