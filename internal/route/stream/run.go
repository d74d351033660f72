package stream

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// Causes of a recovery or of a failed stream.
var (
	errStalled        = errors.New("no chunk arrived within the timeout")
	errGap            = errors.New("gap in the chunk numbers")
	errDuplicates     = errors.New("too many duplicate chunks in a row")
	errCallerLeft     = errors.New("caller disconnected")
	errBudgetSpent    = errors.New("retry budget is used up")
	errCannotContinue = errors.New("engine lost the stream, and the model cannot continue it")
	errTakenOver      = errors.New("another engine delivered the next chunk")
)

// task is the state of one request over all engines. Its fields belong to the goroutine of run; those of the connections only send to events.
type task struct {
	streamer   *Streamer
	request    *Request
	nextChunk  int64 // number of the next chunk to deliver
	emitted    strings.Builder
	exclude    []qm.EndpointID
	summary    Summary
	mayHaveRun bool // an engine may have run the request

	// attempts are the engines whose run has not ended. All but the last, the current one, are silent and may still go on.
	attempts []*engineAttempt
	// hasFailover is set if a failover was taken from the budget for which no engine was available.
	hasFailover bool
	events      chan event
	readers     sync.WaitGroup
	// silence fires when the current engine has delivered nothing for the timeout.
	silence *time.Timer
}

// Run delivers the answer to r. It returns nil after the last chunk, else an *quetzalmount.Error, whose outcome is OutcomeNotRun if no
// engine accepted the request.
func (s *Streamer) Run(ctx context.Context, r *Request) (Summary, error) {
	t := &task{streamer: s, request: r, nextChunk: r.Engine.FirstChunk, events: make(chan event), silence: time.NewTimer(s.opts.ProgressTimeout)}
	t.emitted.WriteString(r.Engine.EmittedText)
	err := t.run(ctx)
	if err == nil {
		return t.summary, nil
	}
	e := *qm.AsError(err)
	if t.mayHaveRun {
		e.Outcome = qm.OutcomeUnknown
	}
	return t.summary, &e
}

// run delivers chunks until the stream is complete, ctx is done, or no engine runs the request and no further one may be tried.
func (t *task) run(ctx context.Context) error {
	defer t.silence.Stop()
	defer t.readers.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := t.place(ctx); err != nil {
		return err
	}
	for {
		select {
		case e := <-t.events:
			if isLast, err := t.handle(ctx, e); isLast || err != nil {
				return err
			}
		case <-t.silence.C:
			t.onSilence(ctx)
		case <-ctx.Done():
			return t.endAll(ctx, context.Cause(ctx))
		}
	}
}

// place starts the request at another engine.
func (t *task) place(ctx context.Context) error {
	d, err := t.request.Place(ctx, t.exclude)
	if err != nil {
		return err
	}
	a := &engineAttempt{task: t, placement: d, startedAt: time.Now(), requested: true}
	t.attempts = append(t.attempts, a)
	a.start(ctx)
	return nil
}

// current returns the engine that was tried last.
func (t *task) current() *engineAttempt { return t.attempts[len(t.attempts)-1] }

// handle handles an event of a connection. isLast reports whether the stream is complete; an error ends it.
func (t *task) handle(ctx context.Context, e event) (isLast bool, err error) {
	c := e.connection
	switch {
	case c.isClosed:
		return false, nil
	case e.err != nil:
		return false, t.onFailure(ctx, c, e.err)
	case e.isOpened:
		t.onOpened(c, e.incarnation)
		return false, nil
	case e.chunk.Number > t.nextChunk:
		return false, t.onFailure(ctx, c, errors.Wrapf(errGap, "chunk %d received after chunk %d", e.chunk.Number, t.nextChunk-1))
	case e.chunk.Number < t.nextChunk:
		t.summary.Duplicates++
		if c.duplicates++; c.duplicates > maxDuplicates {
			return false, t.onFailure(ctx, c, errDuplicates)
		}
		return false, nil
	}
	c.duplicates = 0
	t.closeAllBut(c)
	if err := c.attempt.deliver(e.chunk); err != nil {
		return false, t.endAll(ctx, err)
	}
	if e.chunk.FinishReason == "" {
		t.awaitProgress()
		return false, nil
	}
	t.summary.Usage = e.chunk.Usage
	<-c.drained
	if t.request.Finished != nil {
		t.request.Finished(c.attempt.placement, true, nil)
	}
	return true, nil
}

// onOpened records that an engine has answered. Connections that were opened earlier to resume its stream are no longer needed.
func (t *task) onOpened(c *connection, inc qm.Incarnation) {
	a := c.attempt
	c.isOpened, c.incarnation = true, inc
	if a.incarnation == "" {
		a.incarnation = inc
	}
	t.mayHaveRun = true
	for _, o := range slices.Clone(a.connections) {
		if o == c {
			break
		}
		if o.isResume {
			a.close(o)
		}
	}
}

// onFailure handles the failure of a connection. It returns an error if that ends the stream.
func (t *task) onFailure(ctx context.Context, c *connection, err error) error {
	a := c.attempt
	a.close(c)
	if ctx.Err() != nil {
		return t.endAll(ctx, err)
	}
	isNotRun := asTypedError(ctx, a.placement, err).Outcome == qm.OutcomeNotRun
	if !c.isResume && isNotRun && !a.isStartedAnew {
		a.requested = false
	}
	if errors.Is(err, qm.ErrOtherIncarnation) {
		a.closeAll()
	}
	switch {
	case len(a.connections) > 0:
		// The others are silent and may go on, which does not depend on whether the engine takes new connections. It may not know the stream
		// because it has read the resume before the request, or has sent the stream to its end.
		a.reportFailed(err)
		if a == t.current() && (isNotRun || unknownToEngine(err)) {
			t.besideSilent(ctx, a, err)
		}
		return nil
	case a.mayResume(err, isNotRun):
		a.reportFailed(err)
		a.failures++
		a.resume(ctx)
		return nil
	}
	return t.onAttemptFailed(ctx, a, err)
}

// besideSilent looks for a way to go on after err, by which the engine of a has refused a resume or a connection or does not know the stream. The run
// at a stays open.
func (t *task) besideSilent(ctx context.Context, a *engineAttempt, err error) {
	if unknownToEngine(err) && a.incarnation == "" && a.mayStartAnew(Resume) {
		// The request may be lost on its way. An engine that gets it twice attaches the second one to the run of the first.
		a.startAnew(ctx)
		return
	}
	t.excludeEngine(a)
	tried := t.summary.Failovers
	// There is no error while the run at a is open.
	_ = t.failOver(ctx, a, err)
	if t.summary.Failovers == tried && unknownToEngine(err) && a.mayStartAnew(Failover) {
		t.hasFailover = false
		t.summary.Failovers++
		a.startAnew(ctx)
	}
}

// onAttemptFailed ends the run at an engine that has failed, and tries another one. It returns an error if the stream can't go on.
func (t *task) onAttemptFailed(ctx context.Context, a *engineAttempt, err error) error {
	wasCurrent := a == t.current()
	a.reportFailed(err)
	if !unknownToEngine(err) || a.incarnation == "" {
		t.excludeEngine(a)
	} else {
		// The process was replaced or has dropped the stream, and may take the request anew.
		t.exclude = slices.DeleteFunc(t.exclude, func(id qm.EndpointID) bool { return id == a.placement.Endpoint.ID })
	}
	t.end(a, err, !unknownToEngine(err))
	if !wasCurrent {
		return nil
	}
	return t.failOver(ctx, a, err)
}

// failOver starts the request at another engine after the one of a failed or fell silent with err. If no other engine can take over, it returns
// the error that ends the stream, nil if a silent engine may still go on.
func (t *task) failOver(ctx context.Context, a *engineAttempt, err error) error {
	final, mayFailOver := t.mayFailOver(ctx, a, err)
	if mayFailOver {
		t.hasFailover = true
		if t.place(ctx) == nil {
			t.hasFailover = false
			t.summary.Failovers++
			return nil
		}
	}
	if len(t.attempts) > 0 {
		t.awaitProgress()
		return nil
	}
	return final
}

// mayFailOver reports whether another engine may be tried after the one of a failed or fell silent with err. final is the error that ends the
// stream if not, or if no other engine is available.
func (t *task) mayFailOver(ctx context.Context, a *engineAttempt, err error) (final *qm.Error, mayFailOver bool) {
	address := a.placement.Endpoint.Address
	final = asTypedError(ctx, a.placement, err)
	switch {
	case ctx.Err() != nil:
		return final, false
	case final.Outcome == qm.OutcomeNotRun && final.Code == qm.CodeBadRequest:
		return final, false
	case !t.canFailOver():
		return qm.Fail(qm.CodeEndpointFailed, "continue", address, errors.WithMessage(errCannotContinue, final.Message)), false
	case t.summary.Failovers >= t.streamer.opts.MaxFailovers:
		return final, false
	case t.hasFailover || t.budgetAllows(Failover):
		return final, true
	case final.Outcome == qm.OutcomeNotRun:
		return final, false
	}
	return qm.Fail(final.Code, "move", address, errors.WithMessage(errBudgetSpent, final.Message)), false
}

// onSilence handles a current engine that has delivered nothing for the timeout. That proves nothing: its connections stay open until another
// one has delivered the next chunk.
func (t *task) onSilence(ctx context.Context) {
	a := t.current()
	switch {
	case a.mayResumeSilent():
		if a.gotChunk {
			a.reportFailed(errStalled)
		}
		a.silences++
		a.resume(ctx)
		return
	case a.isAwaitingFirst() && a.unopened() >= t.streamer.opts.MaxResumes:
		t.awaitProgress()
		return
	}
	if !a.isPassedOver {
		a.isPassedOver = true
		a.reportFailed(errStalled)
		t.excludeEngine(a)
	}
	tried := t.summary.Failovers
	// There is no error while the run at a is open.
	_ = t.failOver(ctx, a, errStalled)
	if t.summary.Failovers == tried && a.unopened() < t.streamer.opts.MaxResumes && t.budgetAllows(Resume) {
		a.silences++
		a.resume(ctx)
	}
}

// awaitProgress starts the time in which the current engine is to deliver a chunk.
func (t *task) awaitProgress() {
	d := t.streamer.opts.ProgressTimeout
	if a := t.current(); a.isAwaitingFirst() {
		d = min(d, t.streamer.opts.FirstTokenTimeout-time.Since(a.startedAt))
	}
	t.silence.Reset(d)
}

// closeAllBut closes all connections but c, which delivers the next chunk, and ends the runs at the other engines.
func (t *task) closeAllBut(c *connection) {
	a := c.attempt
	if len(t.attempts) > 1 {
		for _, o := range slices.Clone(t.attempts) {
			if o != a {
				t.end(o, errTakenOver, true)
			}
		}
	}
	if len(a.connections) > 1 {
		for _, o := range slices.Clone(a.connections) {
			if o != c {
				a.close(o)
			}
		}
	}
	a.incarnation = c.incarnation
}

// endAll ends the runs at all engines and returns the error of the stream.
func (t *task) endAll(ctx context.Context, err error) error {
	a := t.current()
	for len(t.attempts) > 0 {
		t.end(t.current(), err, true)
	}
	return asTypedError(ctx, a.placement, err)
}

// end ends the run at an engine with err, and cancels it there unless the engine does not know it.
func (t *task) end(a *engineAttempt, err error, isKnown bool) {
	a.closeAll()
	t.attempts = slices.DeleteFunc(t.attempts, func(o *engineAttempt) bool { return o == a })
	t.mayHaveRun = t.mayHaveRun || a.requested
	// A run that was started later at the same engine has the same ID.
	runsAgain := slices.ContainsFunc(t.attempts, func(o *engineAttempt) bool { return o.placement.Endpoint.ID == a.placement.Endpoint.ID })
	if a.requested && isKnown && !runsAgain {
		t.streamer.cancel(a.placement.Endpoint, t.request.Engine.Request)
	}
	if t.request.Finished != nil {
		t.request.Finished(a.placement, a.requested, err)
	}
}

// excludeEngine keeps the request from being placed at the engine of a again.
func (t *task) excludeEngine(a *engineAttempt) {
	if id := a.placement.Endpoint.ID; !slices.Contains(t.exclude, id) {
		t.exclude = append(t.exclude, id)
	}
}

// canFailOver reports whether another engine could take over the request.
func (t *task) canFailOver() bool { return t.nextChunk == 0 || t.request.Continue }

// budgetAllows takes one recovery from the budget and reports whether there was one.
func (t *task) budgetAllows(k Recovery) bool { return t.request.Budget != nil && t.request.Budget(k) }

// asTypedError returns err as an *quetzalmount.Error, as a timeout if ctx is done.
func asTypedError(ctx context.Context, d qm.Placement, err error) *qm.Error {
	var e *qm.Error
	switch {
	case ctx.Err() != nil:
		return qm.Fail(qm.CodeTimeout, "stream", d.Endpoint.Address, context.Cause(ctx))
	case errors.As(err, &e):
		return e
	case errors.Is(err, errStalled):
		return qm.Fail(qm.CodeTimeout, "stream", d.Endpoint.Address, err)
	}
	return qm.Fail(qm.CodeEndpointFailed, "stream", d.Endpoint.Address, err)
}

// unknownToEngine reports whether err means that the engine does not know the stream, so that there is nothing to resume or cancel.
func unknownToEngine(err error) bool {
	var e *qm.Error
	return errors.As(err, &e) && e.Step == "resume" && (e.Code == qm.CodeNotFound || e.Code == qm.CodeBadRequest)
}
