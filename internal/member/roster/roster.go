// Package roster knows the routers and the endpoints and their states.
//
// It joins four sources: the platform's instance list, which lags; the load reports of engines; what this router
// observes when it uses an endpoint; and hints of other routers. A list that is down or empty keeps the last known
// members. An endpoint that any source calls leaving gets no new work until it answers with another incarnation. An
// endpoint that fails is suspect only after a probe over a new connection failed as well, or after FailuresToSuspect
// failures in a row.
//
// At 3,200 engines a router cannot poll them all within 3 KB/s. Each round polls at most Options.PollsPerRound engines:
// first those that got work from this router within Options.UsedFor, then those that rendezvous hashing assigns to it,
// each time those with the oldest report first. The load of any other engine is not known: its ReportedAt is zero or
// old, placement treats it by its own dispatches, and the first dispatch makes it an engine to poll.
package roster

import (
	"context"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Roster owns the members and the endpoints on the board.
type Roster struct {
	opts   Options
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// background runs a function once a probe slot is free, unless the Roster is closed. The caller holds mu.
	background func(func(context.Context))

	mu        sync.Mutex
	members   map[qm.InstanceID]*member
	endpoints map[qm.EndpointID]*entry
	hints     []timedHint
	// newMembers and newEndpoints tell that a cell of the board is behind; moved that members or endpoints came, went or
	// changed their state, so that the engines to poll have to be assigned again.
	newMembers, newEndpoints, moved bool
	// sorted is the endpoints by id, nil if some came or went: sorting 3,200 for each report would take most of its time.
	sorted   []*entry
	assigned map[qm.EndpointID]bool
	closed   bool
	listed   bool
	listErr  error
}

// New starts a Roster. It ends with the context or with Close.
func New(ctx context.Context, o Options) *Roster {
	o.fill()
	ctx, cancel := context.WithCancel(ctx)
	r := &Roster{
		opts: o, cancel: cancel,
		members:   map[qm.InstanceID]*member{},
		endpoints: map[qm.EndpointID]*entry{},
	}
	slots := make(chan struct{}, probesAtOnce)
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
	r.newMembers, r.newEndpoints = true, true
	r.publish()
	r.mu.Unlock()
	r.every(ctx, o.ListInterval, r.readList)
	if o.FetchReport != nil {
		r.every(ctx, o.PollInterval, r.pollRound)
	}
	if o.Probe != nil {
		r.every(ctx, o.PollInterval, r.probeSuspects)
	}
	r.wg.Go(func() { r.followLeaving(ctx) })
	return r
}

// Close ends all background work and waits for it.
func (r *Roster) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.cancel()
	r.wg.Wait()
}

// every runs f at once and then once in each period.
func (r *Roster) every(ctx context.Context, period time.Duration, f func(context.Context)) {
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

// followLeaving shows in the own entry when this router starts to stop.
func (r *Roster) followLeaving(ctx context.Context) {
	for {
		changed := r.opts.Board.Leaving.Changed()
		if r.opts.Board.IsLeaving() {
			r.mu.Lock()
			r.members[r.opts.Self.Instance].view.State = qm.Leaving
			r.newMembers = true
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

// readList takes the members and endpoints of the instance list.
func (r *Roster) readList(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, r.opts.ListInterval)
	members, endpoints, err := r.opts.List(cctx)
	cancel()
	for _, e := range r.takeList(members, endpoints, err) {
		r.opts.OnRestart(e.ID, e.Incarnation)
	}
}

// takeList takes what the instance list said and returns the endpoints that have restarted.
func (r *Roster) takeList(members []qm.Member, endpoints []*qm.Endpoint, err error) (restarted []*qm.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listErr = err
	if err != nil {
		return nil
	}
	r.listed = true
	// An empty list is taken for a fault of the list: a system without members has nothing to route.
	if len(members) > 0 {
		r.mergeMembers(members)
	}
	if len(endpoints) > 0 {
		restarted = r.mergeEndpoints(endpoints)
	}
	r.publish()
	return restarted
}

// Listed reports whether the list was read since the start, and the error of the last attempt.
func (r *Roster) ListStatus() (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed, r.listErr
}

// publish replaces the cells of the board that are behind. The caller holds r.mu.
func (r *Roster) publish() {
	if r.newMembers {
		r.newMembers = false
		r.opts.Board.Members.Store(r.memberViews())
	}
	if r.newEndpoints {
		r.newEndpoints = false
		r.opts.Board.Endpoints.Store(r.endpointViews())
	}
}
