// Package feed reads the cache events of engines for the placement.
//
// A router follows only engines that it sent requests to lately, and reads at most a fixed number of events per
// round: at the target size, all events together are 190,000 per second, far above the 3 kB/s that a node may spend
// on control traffic. Events that were skipped or lost on the way are reported to the observer as a gap, which
// lowers its confidence in the engine's entries.
package feed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/logs"
	"quetzalmount.dev/quetzalmount/internal/infra/period"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

const (
	// FollowTimeout is how long an engine is followed after the last request was sent to it.
	FollowTimeout = 30 * time.Second
	// enginesPerRound and eventsPerRead bound the work of a round.
	enginesPerRound = 16
	eventsPerRead   = 256
	// readTimeout bounds one read, so that an unresponsive engine does not delay the round for long.
	readTimeout = time.Second
)

// Page is a part of an engine's events.
type Page struct {
	Incarnation qm.Incarnation
	// Next is the sequence number from which to read the following page.
	Next int64
	// Gap reports whether events before those of the page were lost.
	Gap    bool
	Events []qm.CacheEvent
}

// Options are the dependencies and parameters of a Feed.
type Options struct {
	Board    *board.Board
	Observer qm.CacheObserver
	// Read returns events of an engine from a sequence number on; 0 asks for the newest ones.
	Read func(ctx context.Context, e *qm.Endpoint, from int64, limit int) (Page, error)
	// Interval is the time between rounds.
	Interval time.Duration
	// Paused reports whether rounds are skipped for now; nil means never.
	Paused func() bool
	Log    logr.Logger
}

// cursor is the position in the events of one engine.
type cursor struct {
	incarnation qm.Incarnation
	next        int64
	lastUsed    time.Time
}

// Feed follows the cache events of engines.
type Feed struct {
	opts Options
	loop *period.Loop

	mu      sync.Mutex
	cursors map[qm.EndpointID]*cursor
	// nextStart is the position, among the engines in use, where the next round starts if one round cannot read all
	// of them.
	nextStart int
}

// New starts a feed, which runs until ctx is done or Close is called.
func New(ctx context.Context, opts Options) *Feed {
	f := &Feed{opts: opts, cursors: make(map[qm.EndpointID]*cursor)}
	f.loop = period.New(ctx, opts.Interval, f.round)
	return f
}

// Close stops the feed and waits for the current round to end.
func (f *Feed) Close() { f.loop.Close() }

// MarkUsed records that a request was sent to an engine, which is followed for FollowTimeout from then on.
func (f *Feed) MarkUsed(id qm.EndpointID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.cursors[id]
	if !ok {
		c = &cursor{}
		f.cursors[id] = c
	}
	c.lastUsed = now
}

// round reads events from the engines whose turn it is.
func (f *Feed) round(ctx context.Context) {
	if f.opts.Paused != nil && f.opts.Paused() {
		return
	}
	var reads sync.WaitGroup
	for _, e := range f.roundEngines(time.Now()) {
		reads.Go(func() { f.read(ctx, e) })
	}
	reads.Wait()
}

// roundEngines returns the engines of this round, in round-robin order, and drops the cursors of those that were not
// used within FollowTimeout.
func (f *Feed) roundEngines(now time.Time) []*qm.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, _ := f.opts.Board.Endpoints.Load()
	var used []*qm.Endpoint
	for _, e := range all {
		c, ok := f.cursors[e.ID]
		switch {
		case !ok || e.Kind != qm.KindEngine:
		case now.Sub(c.lastUsed) > FollowTimeout:
			delete(f.cursors, e.ID)
		default:
			used = append(used, e)
		}
	}
	if len(used) > enginesPerRound {
		f.nextStart %= len(used)
		used = append(slices.Clone(used[f.nextStart:]), used[:f.nextStart]...)[:enginesPerRound]
		f.nextStart += enginesPerRound
	}
	return used
}

// read reads the next page of one engine and passes it to the observer.
func (f *Feed) read(ctx context.Context, e *qm.Endpoint) {
	f.mu.Lock()
	c, ok := f.cursors[e.ID]
	if !ok {
		f.mu.Unlock()
		return
	}
	from, inc := c.next, c.incarnation
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p, err := f.opts.Read(ctx, e, max(from, 1), eventsPerRead)
	if err != nil {
		f.opts.Log.V(1).Info("cache events not read", logs.Endpoint, e.ID, "Cause", err.Error())
		return
	}
	if p.Incarnation != inc {
		f.opts.Observer.Forget(e.ID, p.Incarnation)
		if from > 1 {
			// The position belongs to the events of the previous incarnation; the next round starts from the first event.
			p = Page{Incarnation: p.Incarnation, Next: 1}
		}
	}
	f.opts.Observer.Observe(e.ID, p.Incarnation, p.Events, p.Gap && from > 0, time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	c.incarnation, c.next = p.Incarnation, p.Next
}
