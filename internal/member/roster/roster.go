// Package roster tracks the routers, the endpoints and their states.
//
// It combines four sources: the platform's instance list, which lags; the load reports of engines; the results of this
// router's own requests; and hints from other routers. If the instance list is unavailable or empty, the last known
// members stay. An endpoint that any source reports as leaving receives no new requests until it answers with another
// incarnation. An endpoint that fails becomes suspect only after a probe over a new connection has failed as well, or
// after FailuresToSuspect failures in a row.
//
// With 3,200 engines a router cannot poll them all within 3 kB/s. Each round polls at most Options.PollsPerRound engines:
// first those that this router sent requests to within Options.RecentUse, then those that rendezvous hashing assigns to
// it, each time those with the oldest report first. The load of any other engine is unknown: its ReportedAt is zero or
// old, placement relies on its own dispatches, and the first dispatch adds the engine to the polls.
package roster

import (
	"context"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Roster maintains the members and the endpoints on the board. It is safe for concurrent use.
type Roster struct {
	opts   Options
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// background runs a function in a new goroutine once a probe slot is free, unless the Roster is closed. The caller holds mu.
	background func(func(context.Context))

	mu        sync.Mutex
	members   map[qm.InstanceID]*member
	endpoints map[qm.EndpointID]*endpoint
	hints     []timedHint
	// leaving holds the incarnations that declared that they are leaving.
	leaving map[qm.EndpointID]qm.Incarnation
	// membersChanged and endpointsChanged are set while the board lacks a change. assignmentStale is set when members or endpoints were
	// added, removed or changed their state, so that the engines to poll must be assigned again.
	membersChanged, endpointsChanged, assignmentStale bool
	// sorted caches the endpoints ordered by ID; nil after one was added or removed. Sorting 3,200 endpoints for each report would take
	// most of the time of the report.
	sorted []*endpoint
	// assigned holds the engines that rendezvous hashing assigns to this router.
	assigned map[qm.EndpointID]bool
	closed   bool
	listRead bool
	listErr  error
}

// New returns a Roster whose background work runs until ctx is done or Close is called.
func New(ctx context.Context, o Options) *Roster {
	o.setDefaults()
	ctx, cancel := context.WithCancel(ctx)
	r := &Roster{
		opts: o, cancel: cancel,
		members:   map[qm.InstanceID]*member{},
		endpoints: map[qm.EndpointID]*endpoint{},
		leaving:   map[qm.EndpointID]qm.Incarnation{},
	}
	slots := make(chan struct{}, maxConcurrentProbes)
	r.background = func(f func(context.Context)) {
		if r.closed {
			return
		}
		r.wg.Go(func() {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			case <-ctx.Done():
				return
			}
			cctx, cancel := context.WithTimeout(ctx, o.Timeout)
			defer cancel()
			f(cctx)
		})
	}
	r.members[o.Self.Instance] = &member{view: o.Self}
	r.mu.Lock()
	r.membersChanged, r.endpointsChanged = true, true
	r.publish()
	r.mu.Unlock()
	r.runPeriodically(ctx, o.ListInterval, r.readList)
	if o.FetchReport != nil {
		r.runPeriodically(ctx, o.PollInterval, r.pollRound)
	}
	if o.Probe != nil {
		r.runPeriodically(ctx, o.PollInterval, r.probeSuspects)
	}
	r.wg.Go(func() { r.watchLeaving(ctx) })
	return r
}

// Close stops all background work and waits for it to end.
func (r *Roster) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.wg.Wait()
}

// runPeriodically starts a goroutine that runs f immediately and then once per period.
func (r *Roster) runPeriodically(ctx context.Context, period time.Duration, f func(context.Context)) {
	r.wg.Go(func() {
		tick := time.NewTicker(period)
		defer tick.Stop()
		for {
			f(ctx)
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	})
}

// watchLeaving sets this router's own state to leaving once it begins to shut down.
func (r *Roster) watchLeaving(ctx context.Context) {
	for {
		changed := r.opts.Board.Leaving.Changed()
		if r.opts.Board.IsLeaving() {
			r.mu.Lock()
			r.members[r.opts.Self.Instance].view.State = qm.Leaving
			r.membersChanged = true
			r.publish()
			r.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// readList reads the instance list and applies it.
func (r *Roster) readList(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, r.opts.ListInterval)
	members, endpoints, err := r.opts.List(cctx)
	cancel()
	for _, e := range r.applyList(members, endpoints, err) {
		r.opts.OnRestart(e.ID, e.Incarnation)
	}
}

// applyList applies the result of reading the instance list and returns the endpoints that have restarted.
func (r *Roster) applyList(members []qm.Member, endpoints []*qm.Endpoint, err error) (restarted []*qm.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listErr = err
	if err != nil {
		return nil
	}
	r.listRead = true
	// An empty list is treated as a fault of the list, because a system without members has nothing to route.
	if len(members) > 0 {
		r.mergeMembers(members)
	}
	if len(endpoints) > 0 {
		restarted = r.mergeEndpoints(endpoints)
	}
	r.publish()
	return restarted
}

// ListStatus reports whether the instance list has been read since the start, and the error of the last attempt.
func (r *Roster) ListStatus() (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listRead, r.listErr
}

// publish stores the changed members and endpoints on the board. The caller holds r.mu.
func (r *Roster) publish() {
	if r.membersChanged {
		r.membersChanged = false
		r.opts.Board.Members.Store(r.memberViews())
	}
	if r.endpointsChanged {
		r.endpointsChanged = false
		r.opts.Board.Endpoints.Store(r.endpointViews())
	}
}
