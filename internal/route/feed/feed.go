// Package feed brings the cache events of engines to the placement.
//
// A router follows only engines that it sent work to lately, and takes at most a fixed number of events a round: at the target
// size all events together are 190,000 a second, far above the 3 KB/s that a node may spend on control. What is skipped or
// lost upstream is reported to the observer as a gap, which lowers its confidence in the engine's entries.
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
	// UsedFor is how long an engine is followed after the last request was sent to it.
	FollowTimeout = 30 * time.Second
	// enginesPerRound and eventsPerRead bound the work of a round.
	enginesPerRound = 16
	eventsPerRead   = 256
	// readTimeout bounds one read, so that a silent engine delays the others little.
	readTimeout = time.Second
)

// Page is a part of an engine's events.
type Page struct {
	Incarnation qm.Incarnation
	Next        int64
	Gap         bool
	Events      []qm.CacheEvent
}

// Options are the parts that a Feed works with.
type Options struct {
	Board    *board.Board
	Observer qm.CacheObserver
	// Read returns events of an engine from a sequence number on; 0 asks for the newest ones.
	Read  func(ctx context.Context, e *qm.Endpoint, from int64, limit int) (Page, error)
	Every time.Duration
	// Paused reports whether no events are read for now; nil means never.
	Paused func() bool
	Log    logr.Logger
}

// cursor is the position in the events of one engine.
type cursor struct {
	incarnation qm.Incarnation
	next        int64
	used        time.Time
}

// Feed follows engines.
type Feed struct {
	opts Options
	loop *period.Loop

	mu      sync.Mutex
	cursors map[qm.EndpointID]*cursor
	turn    int
}

// New starts a feed. It ends with the context or with Close.
func New(ctx context.Context, opts Options) *Feed {
	f := &Feed{opts: opts, cursors: make(map[qm.EndpointID]*cursor)}
	f.loop = period.New(ctx, opts.Every, f.round)
	return f
}

// Close ends the feed and waits for it.
func (f *Feed) Close() { f.loop.Close() }

// Used tells that a request was sent to an engine.
func (f *Feed) MarkUsed(id qm.EndpointID, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c, ok := f.cursors[id]
	if !ok {
		c = &cursor{}
		f.cursors[id] = c
	}
	c.used = now
}

// round reads from the next engines in turn.
func (f *Feed) round(ctx context.Context) {
	if f.opts.Paused != nil && f.opts.Paused() {
		return
	}
	var reads sync.WaitGroup
	for _, e := range f.next(time.Now()) {
		reads.Go(func() { f.read(ctx, e) })
	}
	reads.Wait()
}

// next returns the engines of this round and drops those that were not used for a while.
func (f *Feed) next(now time.Time) []*qm.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	all, _ := f.opts.Board.Endpoints.Load()
	var used []*qm.Endpoint
	for _, e := range all {
		c, ok := f.cursors[e.ID]
		switch {
		case !ok || e.Kind != qm.KindEngine:
		case now.Sub(c.used) > FollowTimeout:
			delete(f.cursors, e.ID)
		default:
			used = append(used, e)
		}
	}
	if len(used) > enginesPerRound {
		f.turn %= len(used)
		used = append(slices.Clone(used[f.turn:]), used[:f.turn]...)[:enginesPerRound]
		f.turn += enginesPerRound
	}
	return used
}

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
			// The position belongs to the events of the old incarnation; the next round starts over.
			p = Page{Incarnation: p.Incarnation, Next: 1}
		}
	}
	f.opts.Observer.Observe(e.ID, p.Incarnation, p.Events, p.Gap && from > 0, time.Now())
	f.mu.Lock()
	defer f.mu.Unlock()
	c.incarnation, c.next = p.Incarnation, p.Next
}
