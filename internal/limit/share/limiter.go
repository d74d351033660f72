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
	book   book
	shards [shards]shard
	// beat is the time of the last tick, in nanoseconds since start.
	beat   atomic.Int64
	kick   chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup

	// lent changes whenever a home answered.
	lent board.Cell[time.Duration]
	// warm bounds the messages for quiet teams.
	warm *rate.Limiter

	homesMu sync.Mutex
	homes   map[qm.InstanceID]*link
}

var _ qm.Limiter = (*Limiter)(nil)

// shard holds a part of the teams. Lock order: a shard before the book before homesMu.
type shard struct {
	mu    sync.Mutex
	teams map[qm.TeamID]*team
}

// New starts a Limiter. Its background work ends with the context or with Close.
func New(ctx context.Context, o Options) *Limiter {
	if o.FloorFraction <= 0 {
		o.FloorFraction = DefaultFloorFraction
	}
	if o.WarmPerSecond <= 0 {
		o.WarmPerSecond = DefaultWarmPerSecond
	}
	if o.EntrySlots <= 0 {
		o.EntrySlots = DefaultEntrySlots
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &Limiter{
		opts: o, start: time.Now(), cancel: cancel, kick: make(chan struct{}, 1),
		book:  book{accounts: map[qm.TeamID]*account{}},
		homes: map[qm.InstanceID]*link{},
		warm:  rate.NewLimiter(rate.Limit(o.WarmPerSecond), warmBurst),
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

// Close ends the background work and waits for it. Loans that are not spent run out.
func (l *Limiter) Close() {
	l.cancel()
	l.wg.Wait()
}

// at returns t as time since the start, by the monotonic clock if t has it.
func (l *Limiter) at(t time.Time) time.Duration { return t.Sub(l.start) }

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

// slots is the number of instances that have a floor.
func (l *Limiter) slots() int { return max(l.opts.EntrySlots, len(l.views.now().members)) }

// paused reports whether the background loop missed its ticks for a lease, so that other instances may have taken over.
func (l *Limiter) paused(now time.Duration) bool {
	return now-time.Duration(l.beat.Load()) > qm.LeaseTime
}

// loop borrows when a team needs it and does the regular work.
func (l *Limiter) loop(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.wake()
			l.borrow(ctx, true)
			l.book.forget(l.now())
		case <-l.kick:
			time.Sleep(gather)
			l.borrow(ctx, false)
		}
	}
}

// wake notes that this process runs. After a pause it forgets since when it is home.
func (l *Limiter) wake() {
	now := l.now()
	if l.paused(now) {
		l.views.add(l.views.now().members, now, true)
	}
	l.beat.Store(int64(now))
}

// want makes the loop borrow soon.
func (l *Limiter) want() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}
