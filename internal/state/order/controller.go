package order

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
)

// Controller commands the engines that this router owns. It is safe for concurrent use.
type Controller struct {
	opts Options
	stop context.CancelFunc
	work sync.WaitGroup

	mu         sync.Mutex
	nextOffset qm.Offset
	slots      slots
	// claimReadAt is the time, by the monotonic clock, at which this process read the last accepted claim of each slot.
	claimReadAt [Slots]time.Time
	// validFrom is the time from which the folded state is complete. It is zero until the stream has been read to its end.
	validFrom time.Time
	// pendingClaims are the claims of this process that have not been read back.
	pendingClaims map[qm.AttemptID]chan decision
	alerts        int64
	// failures are the endpoints that are not commanded for failureBackoff after a failure.
	failures map[qm.EndpointID]failure
}

// decision is the fold's decision on a claim of this process.
type decision struct {
	accepted bool
	offset   qm.Offset
}

type failure struct {
	until time.Time
	err   error
}

// New returns a controller and starts its goroutines. They stop when ctx is done or Close is called.
func New(ctx context.Context, opts Options) *Controller {
	opts.setDefaults()
	ctx, stop := context.WithCancel(ctx)
	c := &Controller{
		opts: opts, stop: stop, nextOffset: 1,
		pendingClaims: make(map[qm.AttemptID]chan decision), failures: make(map[qm.EndpointID]failure),
	}
	c.work.Go(func() { c.follow(ctx) })
	for i := range Slots {
		c.work.Go(func() { c.runSlot(ctx, i) })
	}
	return c
}

// Close stops the goroutines and waits for them. It does not release the claims of this process, which expire. The error
// is always nil.
func (c *Controller) Close() error {
	c.stop()
	c.work.Wait()
	return nil
}

// follow reads and folds the stream until the context is done.
func (c *Controller) follow(ctx context.Context) {
	wait := time.Duration(0) // the first read determines the end of the stream and must return at once
	for ctx.Err() == nil {
		read, cancel := context.WithTimeout(ctx, readTimeout)
		b, err := c.opts.Log.Read(read, Stream, c.nextOffset, readLimit, wait)
		cancel()
		if err != nil || !c.applyBatch(b) {
			period.Sleep(ctx, readRetryDelay)
			continue
		}
		wait = longPoll
	}
}

// applyBatch folds a batch. It returns false if the stream ends before nextOffset, which means that the log has lost
// records. Only the goroutine of follow changes nextOffset.
func (c *Controller) applyBatch(b qm.Batch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.NextOffset < c.nextOffset {
		c.alerts++
		return false
	}
	if b.FirstOffset > c.nextOffset {
		// Records are missing. A claim that is decided wrongly for that reason expires after claimExpiry, and so does one that
		// was decided by comparison with it. If the log retains no records, all claims are older than its retention time and
		// have expired.
		c.slots, c.nextOffset, c.validFrom = slots{}, b.FirstOffset, time.Now()
		if b.FirstOffset < b.NextOffset {
			c.validFrom = c.validFrom.Add(2 * claimExpiry)
		}
	} else if c.validFrom.IsZero() && c.nextOffset+qm.Offset(len(b.Records)) >= b.NextOffset {
		c.validFrom = time.Now()
	}
	for _, rec := range b.Records {
		if rec.Offset != c.nextOffset {
			continue
		}
		c.nextOffset++
		e, err := decode(rec.Data)
		if err != nil {
			c.alerts++
			c.opts.Logger.Error(err, "skipped invalid record", "Stream", Stream, "Offset", rec.Offset)
			continue
		}
		ok := c.slots.apply(rec, e)
		if e.Claim == nil {
			continue
		}
		if ok {
			c.claimReadAt[e.Claim.Slot] = time.Now()
		}
		if ch, mine := c.pendingClaims[e.Claim.Attempt]; mine {
			ch <- decision{accepted: ok, offset: rec.Offset}
			delete(c.pendingClaims, e.Claim.Attempt)
		}
	}
	return true
}

// job is an endpoint for which a slot is to be claimed.
type job struct {
	endpoint qm.EndpointID
	// base is the offset of the slot's last claim, 0 for none.
	base qm.Offset
	// isTakeover is set if the last holder did not release the slot, so that one of its commands may still be in transit.
	isTakeover bool
}

// nextJob returns the next job of a slot, if there is one. If the lease of the slot's holder has expired, it is to take
// over the slot with the same endpoint.
func (c *Controller) nextJob(i int) (job, bool) {
	all := c.desiredStates()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.validFrom.IsZero() || now.Before(c.validFrom) || c.opts.Board.IsLeaving() {
		return job{}, false
	}
	current := c.slots[i]
	if current.fence > 0 && !current.released {
		d, found := findEndpoint(all, current.endpoint)
		wait := qm.LeaseTime
		if !found || !d.fences {
			wait += MaxCommandDelay
		}
		return job{current.endpoint, current.fence, true}, now.Sub(c.claimReadAt[i]) >= wait && c.opts.Owner(current.endpoint)
	}
	claimed := c.claimedBefore(math.MaxInt64)
	skip := i
	for _, d := range all {
		id := d.endpoint.ID
		if d.isReached() || d.endpoint.State == qm.Leaving || now.Before(c.failures[id].until) || !c.opts.Owner(id) {
			continue
		}
		if slices.Contains(claimed, id) || !canTakeOut(all, d, claimed) {
			continue
		}
		// The goroutines of the slots choose different endpoints, so that they do not compete for the same one.
		if skip > 0 {
			skip--
			claimed = append(claimed, id)
			continue
		}
		return job{id, current.fence, false}, true
	}
	return job{}, false
}

// claimedBefore returns the endpoints of the slots that are held by a claim with a lower offset. The caller must hold
// c.mu.
func (c *Controller) claimedBefore(before qm.Offset) []qm.EndpointID {
	var out []qm.EndpointID
	for _, s := range c.slots {
		if s.fence > 0 && !s.released && s.fence < before {
			out = append(out, s.endpoint)
		}
	}
	return out
}

// desiredStates returns the desired states of all engines, or nil if there is no configuration table yet.
func (c *Controller) desiredStates() []desiredState {
	table, ok := c.opts.Board.Table.Load()
	endpoints, _ := c.opts.Board.Endpoints.Load()
	if !ok {
		return nil
	}
	return desiredStatesOf(table, endpoints)
}
