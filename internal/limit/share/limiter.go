package share

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// Limiter implements quetzalmount.Limiter.
type Limiter struct {
	opts   Options
	start  time.Time
	views  views
	lender lender
	shards [shards]shard
	// lastTick is the time of the last tick, in nanoseconds since start.
	lastTick atomic.Int64
	wakeup   chan struct{}
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	// answered changes with every answer of a home. Its value is the expiry of the loans in that answer.
	answered board.Cell[time.Duration]
	// idleRefresh limits the messages that only refresh the loans of idle teams.
	idleRefresh *rate.Limiter

	homesMu sync.Mutex
	homes   map[qm.InstanceID]*homeState

	quotas quotaQueue
}

var _ qm.Limiter = (*Limiter)(nil)

// shard holds the teams whose hash maps to it. Lock order: shard, lender, homesMu.
type shard struct {
	mu    sync.Mutex
	teams map[qm.TeamID]*team
}

// New starts a Limiter. Its background work ends with the context or with Close.
func New(ctx context.Context, o Options) *Limiter {
	if o.FloorFraction <= 0 {
		o.FloorFraction = DefaultFloorFraction
	}
	if o.IdleRefreshPerSecond <= 0 {
		o.IdleRefreshPerSecond = DefaultIdleRefreshPerSecond
	}
	if o.EntrySlots <= 0 {
		o.EntrySlots = DefaultEntrySlots
	}
	if o.Team == nil {
		o.Team = func(id qm.TeamID) (*qm.Team, bool) {
			cfg, ok := o.Board.Table.Load()
			if !ok {
				return nil, false
			}
			return cfg.Teams[id], true
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &Limiter{
		opts: o, start: time.Now(), cancel: cancel, wakeup: make(chan struct{}, 1),
		lender:      lender{accounts: map[qm.TeamID]*account{}},
		homes:       map[qm.InstanceID]*homeState{},
		idleRefresh: rate.NewLimiter(rate.Limit(o.IdleRefreshPerSecond), idleRefreshBurst),
		quotas:      newQuotaQueue(),
	}
	for i := range l.shards {
		l.shards[i].teams = map[qm.TeamID]*team{}
	}
	changed := o.Board.Members.Changed()
	members, _ := o.Board.Members.Load()
	l.views.add(members, 0, true)
	l.wg.Go(func() { l.followMembers(ctx, changed) })
	l.wg.Go(func() { l.loop(ctx) })
	return l
}

// Close stops the background work and waits for it. Unspent loans expire.
func (l *Limiter) Close() {
	l.cancel()
	l.wg.Wait()
}

// sinceStart returns the time from the start of the limiter to t, by the monotonic clock if t has a reading of it.
func (l *Limiter) sinceStart(t time.Time) time.Duration { return t.Sub(l.start) }

func (l *Limiter) now() time.Duration { return time.Since(l.start) }

func (l *Limiter) shard(team qm.TeamID) *shard {
	return &l.shards[xxhash.Sum64String(string(team))%shards]
}

func (l *Limiter) followMembers(ctx context.Context, changed <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			changed = l.opts.Board.Members.Changed()
			members, _ := l.opts.Board.Members.Load()
			l.views.add(members, l.now(), false)
		}
	}
}

// floorInstances returns the number of instances for which floors are reserved.
func (l *Limiter) floorInstances() int { return max(l.opts.EntrySlots, len(l.views.now().members)) }

// paused reports whether the background loop has not ticked for a lease time, so that another instance may have become
// home.
func (l *Limiter) paused(now time.Duration) bool {
	return now-time.Duration(l.lastTick.Load()) > qm.LeaseTime
}

// loop borrows when a team needs units, and renews, returns and evicts on every tick.
func (l *Limiter) loop(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.recordTick()
			l.borrow(ctx, true)
			l.requestQuotas(ctx)
			l.lender.evictIdle(l.now())
		case <-l.quotas.wakeup:
			l.requestQuotas(ctx)
		case <-l.wakeup:
			time.Sleep(batchDelay)
			l.borrow(ctx, false)
		}
	}
}

// recordTick records that this process is running. After a pause it drops the earlier membership views, so that this
// instance counts as a new home of its teams.
func (l *Limiter) recordTick() {
	now := l.now()
	if l.paused(now) {
		l.views.add(l.views.now().members, now, true)
	}
	l.lastTick.Store(int64(now))
}

// wakeLoop makes the loop borrow without waiting for the next tick.
func (l *Limiter) wakeLoop() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}
