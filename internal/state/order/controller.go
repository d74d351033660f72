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

// Controller commands the engines that this router owns.
type Controller struct {
	opts Options
	stop context.CancelFunc
	work sync.WaitGroup

	mu         sync.Mutex
	nextOffset qm.Offset
	slots      slots
	// seen is when this process read the last accepted claim of each slot, by its monotonic clock.
	claimReadAt [Slots]time.Time
	// trusted is when the folded state can be acted on. Zero means not known yet.
	validFrom time.Time
	// pending are attempts of this process that were not read back yet.
	pendingClaims map[qm.AttemptID]chan decision
	alerts        int64
	// failures are the endpoints that are left alone for a while.
	failures map[qm.EndpointID]failure
}

// decision is the fold's answer to an attempt.
type decision struct {
	accepted bool
	offset   qm.Offset
}

type failure struct {
	until time.Time
	err   error
}

// New starts a controller. It ends with the context or with Close.
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

// Close ends the background work and waits for it. Claims of this process run out by themselves.
func (c *Controller) Close() error {
	c.stop()
	c.work.Wait()
	return nil
}

// follow folds the stream for as long as the controller runs.
func (c *Controller) follow(ctx context.Context) {
	wait := time.Duration(0) // the first read tells where the stream ends
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

// take folds a batch and reports false if the log ends before what was read already. Only follow changes c.next.
func (c *Controller) applyBatch(b qm.Batch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.NextOffset < c.nextOffset {
		c.alerts++
		return false
	}
	if b.FirstOffset > c.nextOffset {
		// Claims are missing. One that is misjudged for that reason is gone after forgetAfter, and so is one that was judged
		// by it. If the log keeps no record at all, every claim is older than its retention time and gone already.
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
			c.opts.Logger.Error(err, "record skipped", "Stream", Stream, "Offset", rec.Offset)
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

// job is what a slot's worker should do next.
type job struct {
	endpoint qm.EndpointID
	base     qm.Offset
	// takeover tells that the last holder did not release the slot, so that a command of it may still be on its way.
	isTakeover bool
}

// pick finds the next job of a slot. A slot whose holder's lease ran out is taken over with its endpoint.
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
		w, found := findEndpoint(all, current.endpoint)
		wait := qm.LeaseTime
		if !found || !w.fences {
			wait += MaxCommandDelay
		}
		return job{current.endpoint, current.fence, true}, now.Sub(c.claimReadAt[i]) >= wait && c.opts.Owner(current.endpoint)
	}
	claimed := c.claimedBefore(math.MaxInt64)
	skip := i
	for _, w := range all {
		id := w.endpoint.ID
		if w.isReached() || w.endpoint.State == qm.Leaving || now.Before(c.failures[id].until) || !c.opts.Owner(id) {
			continue
		}
		if slices.Contains(claimed, id) || !canTakeOut(all, w, claimed) {
			continue
		}
		// The workers start with different endpoints, so that they do not race for the same one.
		if skip > 0 {
			skip--
			claimed = append(claimed, id)
			continue
		}
		return job{id, current.fence, false}, true
	}
	return job{}, false
}

// loading returns the endpoints that were claimed before an offset. The caller holds c.mu.
func (c *Controller) claimedBefore(before qm.Offset) []qm.EndpointID {
	var out []qm.EndpointID
	for _, s := range c.slots {
		if s.fence > 0 && !s.released && s.fence < before {
			out = append(out, s.endpoint)
		}
	}
	return out
}

func (c *Controller) desiredStates() []desiredState {
	table, ok := c.opts.Board.Table.Load()
	endpoints, _ := c.opts.Board.Endpoints.Load()
	if !ok {
		return nil
	}
	return desiredStatesOf(table, endpoints)
}
