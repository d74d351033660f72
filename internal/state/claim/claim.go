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
	// AppendsPerSecond is the append rate of one router. Six routers together stay below the 300 appends per second that
	// the log service guarantees.
	AppendsPerSecond = 48
	// AppendBurst is the number of appends that may exceed the rate, so that a single call is not delayed. The bursts of
	// six routers together equal less than 100 ms of the log's guaranteed rate.
	AppendBurst = 4
	// MaxBatch is the maximum number of records per append.
	MaxBatch = 500
	// MaxAnswer is the maximum size of a recorded answer, in bytes.
	MaxAnswer = 4 << 10
	// MaxKeys is the maximum number of keys per shard, MaxAnswers the maximum total size of a shard's recorded answers in
	// bytes, and MaxCalls the maximum number of unfinished attempts of this router. A key takes 393 bytes without its
	// answer, so the keys of all shards take 19 MB and the answers 8 MB, within the 32 MB per node for control work.
	MaxKeys    = 6000
	MaxAnswers = 1 << 20
	MaxCalls   = 4000
	// DefaultCallTimeout applies to calls if neither their context nor their service sets a deadline.
	DefaultCallTimeout = 30 * time.Second
	// FlushTimeout is the maximum time that Close waits for dispatched calls and their records.
	FlushTimeout = 10 * time.Second
)

// Options configures a Claims. Log and Dispatch are required.
type Options struct {
	Log      qm.Log
	Instance qm.InstanceID
	Dispatch qm.DispatchFunc
	// Status queries a service for the outcome of an operation. It may be nil if no service supports that.
	Status qm.StatusFunc
	// Owner reports whether this router writes the snapshots of a shard. Nil means that it writes none.
	Owner func(shard int) bool
	// Retention is the log's retention time. If it is 0, the log keeps all records and no snapshots are written.
	Retention time.Duration
	// Logger receives errors, such as records that cannot be decoded. The zero value discards them.
	Logger logr.Logger

	// The fields below default to the constants of the package.

	AppendsPerSecond float64
	AppendBurst      int
	MaxBatch         int
	MaxAnswer        int
	// KeyRetention, Window (see ClaimWindow), MaxKeys and MaxAnswers must be equal on all routers. Otherwise the routers
	// disagree on the holder of a key.
	KeyRetention time.Duration
	Window       time.Duration
	MaxKeys      int
	MaxAnswers   int
	FlushTimeout time.Duration
}

// Claims implements quetzalmount.CallRunner with the claims streams of the log.
type Claims struct {
	opts          Options
	logger        logr.Logger
	appendLimiter *rate.Limiter
	shards        [Shards]*shard
	ctx           context.Context // context of the background goroutines
	stop          context.CancelFunc
	background    sync.WaitGroup
	mu            sync.Mutex
	closing       bool
	drivers       sync.WaitGroup
	calls         atomic.Int64 // unfinished attempts
}

var _ qm.CallRunner = (*Claims)(nil)

// New returns a Claims and starts its goroutines, which read and append to the streams of all shards. They stop when ctx
// is done or Close is called.
func New(ctx context.Context, opts Options) (*Claims, error) {
	if opts.Log == nil || opts.Dispatch == nil {
		return nil, errors.New("claim: Log and Dispatch are required")
	}
	setDefaults(&opts)
	c := &Claims{opts: opts, logger: opts.Logger, appendLimiter: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), opts.AppendBurst)}
	c.ctx, c.stop = context.WithCancel(ctx)
	for i := range c.shards {
		s := newShard(i, rules{keyRetention: opts.KeyRetention, window: opts.Window, maxKeys: opts.MaxKeys, maxAnswers: opts.MaxAnswers})
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
	setDefault(&o.KeyRetention, KeyRetention)
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

// Close refuses new calls, waits up to Options.FlushTimeout for dispatched calls and the appends of their records, and
// stops the goroutines. It returns an error if some records may not have been appended.
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
		return errors.New("claim: closed before all records were appended")
	}
	return nil
}

// flushPollInterval is the interval at which Close checks for unfinished calls and records.
const flushPollInterval = 20 * time.Millisecond

// idle reports whether no attempt is unfinished and no record waits to be appended.
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

// beginAttempt counts a new attempt, or returns an error if this router is stopping or has MaxCalls unfinished attempts.
// Each successful call must be followed by a call to endAttempt.
func (c *Claims) beginAttempt() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.ctx.Err() != nil {
		return qm.Refuse(qm.CodeLeaving, "claim", "this router is stopping; retry at another address").WithRetryAfter(time.Second)
	}
	if c.calls.Load() >= MaxCalls {
		return qm.Refuse(qm.CodeQueueFull, "claim", "too many unfinished calls; retry later").WithRetryAfter(time.Second)
	}
	c.calls.Add(1)
	c.drivers.Add(1)
	return nil
}

func (c *Claims) endAttempt() {
	c.calls.Add(-1)
	c.drivers.Done()
}
