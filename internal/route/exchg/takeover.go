package exchg

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// maxOverlap is the longest time for which a silent endpoint keeps a stream after another one has begun to go on with it, without an event so
// far. An endpoint sends its first event with the head, and the users count a stream on which two endpoints work for 400 ms as run twice.
const maxOverlap = 300 * time.Millisecond

// endpointRun is an attempt at an endpoint and what has been received of its response.
type endpointRun struct {
	*placedAttempt
	// ctx is that of the attempt; cancel ends it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	began  time.Time
	// end is the function of beginRun, nil before.
	end func(ctx context.Context, answered bool, err error)
	// response is nil before the head has arrived. answered is set if its status is a success, isStream if it is a stream of events.
	response           *qm.Response
	answered, isStream bool
	// complete is the whole response if it is no stream, nil before it has arrived. body is the part of its body that was read from limited.
	complete *completeResponse
	body     []byte
	limited  *pool.LimitedBody
	// events reads the events of a stream, nil before the first read. ahead gets the first one if it is read ahead, else it is nil.
	events *eventReader
	ahead  chan eventRead
}

// eventRead is the result of eventReader.next.
type eventRead struct {
	raw []byte
	id  string
	err error
}

func newEndpointRun(ctx context.Context, p *placedAttempt) *endpointRun {
	a := &endpointRun{placedAttempt: p, began: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	return a
}

// nextEvent returns the next event like eventReader.next.
func (a *endpointRun) nextEvent() (raw []byte, id string, err error) {
	if a.ahead != nil {
		e := <-a.ahead
		a.ahead = nil
		return e.raw, e.id, e.err
	}
	if a.events == nil {
		a.events = newEventReader(a.ctx, a.response.Body)
	}
	return a.events.next()
}

// readAhead reads the first event. If a goes on with a stream, it waits for at most maxOverlap and leaves the rest to the background. It returns an
// error if there is no such event.
func (a *endpointRun) readAhead() error {
	a.events, a.ahead = newEventReader(a.ctx, a.response.Body), make(chan eventRead, 1)
	go func(events *eventReader, ahead chan<- eventRead) {
		var e eventRead
		e.raw, e.id, e.err = events.next()
		ahead <- e
	}(a.events, a.ahead)
	resumes := a.exchangeAttempt.LastEventID != ""
	var overlapped <-chan time.Time
	if resumes {
		timer := time.NewTimer(maxOverlap)
		defer timer.Stop()
		overlapped = timer.C
	}
	select {
	case <-overlapped:
		return nil
	case e := <-a.ahead:
		a.ahead <- e
		switch {
		case isCleanEnd(e.err):
			return errNoEvents(a)
		case e.err != nil:
			return qm.Fail(qm.CodeEndpointFailed, "read events", a.placement.Endpoint.Address, e.err)
		case resumes && !hasNumber(e.id):
			return errNoNumber(a, e.id)
		}
		return nil
	}
}

// close ends the attempt and releases what it holds, except for a complete response.
func (a *endpointRun) close() {
	defer a.cancel(nil)
	if a.ahead != nil {
		a.cancel(nil)
		<-a.ahead
		a.ahead = nil
	}
	if a.events != nil {
		a.events.close()
	}
	if a.response != nil {
		_ = a.response.Body.Close()
	}
}

// watch starts a takeover when the endpoint of an attempt is silent for too long. The attempt ends only if another endpoint has a response.
type watch struct {
	task *task
	// ctx is that of the exchange.
	ctx context.Context
	run *endpointRun

	mu    sync.Mutex
	timer *time.Timer
	// timeout is the time without progress after which a takeover begins, at due. It is 0 while the endpoint isn't waited for.
	timeout time.Duration
	due     time.Time
	// lastEvent is the ID of the last event delivered before the endpoint was waited for.
	lastEvent string
	// current is the takeover in progress, winner the attempt that has taken over. Both are nil if there is none.
	current *takeover
	winner  *endpointRun
	// takeovers counts the goroutines of takeovers.
	takeovers sync.WaitGroup
}

// begin starts to wait for the endpoint. A takeover begins after timeout without progress, 0 means never.
func (w *watch) begin(timeout time.Duration) {
	if timeout <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeout, w.due, w.lastEvent = timeout, time.Now().Add(timeout), w.task.lastEvent
	if w.timer == nil {
		w.timer = time.AfterFunc(timeout, w.onSilence)
		return
	}
	w.timer.Reset(timeout)
}

// progressed ends the wait because the endpoint has gone on, and the takeover in progress with it. It returns false if another attempt has
// taken over before; what the endpoint has sent must not be delivered then.
func (w *watch) progressed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endWait()
	if w.winner != nil {
		return false
	}
	if w.current != nil {
		w.current.cancel(errNotNeeded)
		w.current = nil
	}
	return true
}

// beginStream writes the head of a stream, unless another attempt has taken over before.
func (w *watch) beginStream() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.winner != nil {
		return errTakenOver
	}
	if err := w.task.writer.BeginStream(w.run.response); err != nil {
		return errors.WithMessage(errCallerLeft, err.Error())
	}
	w.task.started, w.task.eventAt = true, time.Now()
	return nil
}

// endWait stops the timer. The caller holds mu.
func (w *watch) endWait() {
	w.timeout = 0
	if w.timer != nil {
		w.timer.Stop()
	}
}

// stop ends the watch of an attempt that ended with err. It returns the attempt that has taken over, nil if there is none. If the attempt has
// failed during a takeover, stop waits for the result of the takeover.
func (w *watch) stop(err error) *endpointRun {
	goOn := err != nil && w.ctx.Err() == nil && !errors.Is(err, errCallerLeft) && qm.AsError(err).Code != qm.CodeFatalRequest
	w.mu.Lock()
	w.endWait()
	switch {
	case w.current == nil:
	case goOn:
		close(w.current.alone)
	default:
		w.current.cancel(errNotNeeded)
		w.current = nil
	}
	w.mu.Unlock()
	w.takeovers.Wait()
	if w.winner != nil && !goOn {
		w.winner.cancel(errNotNeeded)
		w.task.finish(w.ctx, w.winner, w.task.timeoutError(w.winner, errNotNeeded))
		return nil
	}
	return w.winner
}

// onSilence runs a takeover.
func (w *watch) onSilence() {
	w.mu.Lock()
	if w.timeout == 0 || w.current != nil || time.Now().Before(w.due) {
		// The endpoint went on when the timer had already fired.
		w.mu.Unlock()
		return
	}
	k := &takeover{watch: w, interval: w.timeout, lastEvent: w.lastEvent, alone: make(chan struct{}), results: make(chan takeoverResult)}
	k.ctx, k.cancel = context.WithCancelCause(w.ctx)
	w.current = k
	w.takeovers.Add(1)
	w.mu.Unlock()
	defer w.takeovers.Done()
	k.run()
}

// handOver makes a the winner of the takeover k, unless the watched attempt has gone on or the response of a can't replace its response.
func (w *watch) handOver(k *takeover, a *endpointRun) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.current != k || w.task.started && !a.isStream {
		return false
	}
	w.winner = a
	w.run.cancel(errTakenOver)
	return true
}

// takeover tries other endpoints while the one that runs an exchange is silent. As long as none can be tried, it asks again after interval,
// since the retry budget and other endpoints may have room then.
type takeover struct {
	watch     *watch
	ctx       context.Context
	cancel    context.CancelCauseFunc
	interval  time.Duration
	lastEvent string
	// alone is closed when the watched attempt has failed.
	alone chan struct{}
	// before counts the attempts that had ended at the start of the current round, which begins after each interval.
	before attemptCounts
	// inProgress are the attempts whose result is still to come.
	inProgress []*endpointRun
	results    chan takeoverResult
}

// takeoverResult is the result of an attempt: err is nil if it has a response.
type takeoverResult struct {
	run *endpointRun
	err error
}

// run makes attempts until one takes over, the watched attempt goes on, or it has failed and nothing is in progress.
func (k *takeover) run() {
	defer k.cancel(nil)
	defer k.end()
	alone := k.alone
	nextRound := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			if time.Now().Before(nextRound) {
				// An attempt has failed at once, and another endpoint may be tried.
				timer.Reset(max(time.Until(nextRound), k.start()))
				continue
			}
			k.before = k.watch.task.ended()
			next := max(k.interval, k.start())
			nextRound = time.Now().Add(next)
			timer.Reset(next)
		case r := <-k.results:
			k.inProgress = slices.DeleteFunc(k.inProgress, func(a *endpointRun) bool { return a == r.run })
			if r.err == nil {
				if k.watch.handOver(k, r.run) {
					return
				}
				if r.err = notResumable(r.run); k.ctx.Err() != nil {
					r.run.cancel(errNotNeeded)
					r.err = k.watch.task.timeoutError(r.run, errNotNeeded)
				}
			}
			k.watch.task.finish(k.ctx, r.run, r.err)
			if alone != nil {
				timer.Reset(0)
			}
		case <-alone:
			alone = nil
		case <-k.ctx.Done():
			return
		}
		if alone == nil && len(k.inProgress) == 0 {
			return
		}
	}
}

// end ends the attempts in progress.
func (k *takeover) end() {
	for _, a := range k.inProgress {
		a.cancel(errNotNeeded)
	}
	for range k.inProgress {
		r := <-k.results
		if r.err == nil {
			r.err = k.watch.task.timeoutError(r.run, errNotNeeded)
		}
		k.watch.task.finish(k.watch.ctx, r.run, r.err)
	}
}

// start starts an attempt at another endpoint if one is allowed and available and the retry budget has room. It returns how long that attempt may be
// silent, 0 if there is none.
func (k *takeover) start() time.Duration {
	t := k.watch.task
	t.mu.Lock()
	counts := t.counts
	state := attemptState{lastEvent: k.lastEvent, exclude: append(slices.Clone(t.exclude), k.watch.run.placement.Endpoint.ID)}
	t.mu.Unlock()
	for _, a := range k.inProgress {
		state.exclude = append(state.exclude, a.placement.Endpoint.ID)
	}
	now := time.Now()
	counts.reached -= k.before.reached
	counts.unreached -= k.before.unreached
	if !mayTakeOver(t.x, counts, len(k.inProgress)+1, t.x.EffectiveDeadline.Sub(now)) {
		return 0
	}
	p, err := t.placeAttempt(state)
	if err != nil {
		return 0
	}
	if k.ctx.Err() != nil || !t.runner.deps.RetryBudget.TakeRetry(t.x.Group, now) {
		p.withdraw(now)
		return 0
	}
	a := newEndpointRun(k.watch.ctx, p)
	k.inProgress = append(k.inProgress, a)
	go func() { k.results <- takeoverResult{a, t.openAhead(a)} }()
	return startTimeout(t.x, p.placement.ExpectedTTFT)
}

// openAhead sends the exchange to the endpoint of a and reads as much of the response as shows that the endpoint runs it: the first event of a
// stream, or a complete response.
func (t *task) openAhead(a *endpointRun) error {
	if err := t.open(a); err != nil {
		return err
	}
	if a.isStream {
		return t.timeoutError(a, a.readAhead())
	}
	// A longer body takes over before it is whole: it would wait for one of the few places of large ones, which the silent attempt may hold.
	if err := t.readComplete(a, nil, pool.MediumBytes); err != nil {
		return t.timeoutError(a, err)
	}
	switch {
	case a.complete != nil:
		return t.keepFallback(a)
	case a.response.Status >= 500:
		return qm.Fail(qm.CodeEndpointAnsweredError, "answer", a.placement.Endpoint.Address, errors.Errorf("server error, status %d", a.response.Status))
	}
	return nil
}
