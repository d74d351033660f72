package stream

import (
	"context"
	"strings"
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
)

// task is the state of one request over all engines.
type task struct {
	streamer   *Streamer
	request    *Request
	nextChunk  int64 // number of the next chunk to deliver
	emitted    strings.Builder
	exclude    []qm.EndpointID
	summary    Summary
	mayHaveRun bool // an engine may have run the request
}

// Run delivers the answer to r. It returns nil after the last chunk, else an *quetzalmount.Error, whose outcome is OutcomeNotRun if no
// engine accepted the request.
func (s *Streamer) Run(ctx context.Context, r *Request) (Summary, error) {
	t := &task{streamer: s, request: r, nextChunk: r.Engine.FirstChunk}
	t.emitted.WriteString(r.Engine.EmittedText)
	err := t.tryEngines(ctx)
	if err == nil {
		return t.summary, nil
	}
	e := *qm.AsError(err)
	if t.mayHaveRun {
		e.Outcome = qm.OutcomeUnknown
	}
	return t.summary, &e
}

// tryEngines tries one engine after another until the stream is complete or no further engine may be tried.
func (t *task) tryEngines(ctx context.Context) error {
	var last error
	for {
		d, err := t.request.Place(ctx, t.exclude)
		if err != nil {
			if last != nil {
				return last
			}
			return err
		}
		a := &engineAttempt{task: t, placement: d, startedAt: time.Now()}
		err = a.run(ctx)
		if t.request.Finished != nil {
			t.request.Finished(d, a.requested, err)
		}
		if err == nil {
			return nil
		}
		final, failOver := t.mayFailOver(ctx, d, err)
		if !failOver {
			return final
		}
		last = final
		t.summary.Failovers++
	}
}

// mayFailOver reports whether another engine may be tried after the engine of d failed with err. final is the error that ends the stream if
// not, or if no other engine is available.
func (t *task) mayFailOver(ctx context.Context, d qm.Placement, err error) (final *qm.Error, failOver bool) {
	final = asTypedError(ctx, d, err)
	switch {
	case ctx.Err() != nil || errors.Is(err, errCallerLeft):
		return final, false
	case final.Outcome == qm.OutcomeNotRun && final.Code == qm.CodeBadRequest:
		return final, false
	case t.nextChunk > 0 && !t.request.Continue:
		return qm.Fail(qm.CodeEndpointFailed, "continue", d.Endpoint.Address, errors.WithMessage(errCannotContinue, final.Message)), false
	case t.summary.Failovers >= t.streamer.opts.MaxFailovers:
		return final, false
	case t.budgetAllows(Failover):
		return final, true
	case final.Outcome == qm.OutcomeNotRun:
		return final, false
	}
	return qm.Fail(final.Code, "move", d.Endpoint.Address, errors.WithMessage(errBudgetSpent, final.Message)), false
}

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

// engineAttempt is the state of a request at one engine.
type engineAttempt struct {
	*task
	placement   qm.Placement
	incarnation qm.Incarnation // empty until the engine has answered
	requested   bool           // the engine may run the request
	gotChunk    bool           // a chunk came from this engine
	resumes     int            // resumes since the last new chunk
	startedAt   time.Time
}

// run runs the request at the engine, with resumes, until the stream is complete or no further resume is allowed.
func (a *engineAttempt) run(ctx context.Context) error {
	t, d := a.task, a.placement
	err := a.start(ctx)
	for err != nil && a.mayResume(ctx, err) {
		if t.request.Failed != nil && !a.awaitingFirst(err) {
			t.request.Failed(d, err)
		}
		a.resumes++
		t.summary.Resumes++
		err = a.resume(ctx)
	}
	if err == nil {
		return nil
	}
	if t.request.Failed != nil && ctx.Err() == nil && !errors.Is(err, errCallerLeft) {
		t.request.Failed(d, err)
	}
	if !unknownToEngine(err) || a.incarnation == "" {
		t.exclude = append(t.exclude, d.Endpoint.ID)
	}
	if !unknownToEngine(err) && a.requested {
		t.streamer.cancel(d.Endpoint, t.request.Engine.Request)
	}
	return err
}

// unknownToEngine reports whether err means that the engine does not know the stream, so that there is nothing to resume or cancel.
func unknownToEngine(err error) bool {
	var e *qm.Error
	return errors.As(err, &e) && e.Step == "resume" && (e.Code == qm.CodeNotFound || e.Code == qm.CodeBadRequest)
}

// mayResume reports whether the stream may be resumed at the same engine after err, and takes the resume from the budget.
func (a *engineAttempt) mayResume(ctx context.Context, err error) bool {
	var e *qm.Error
	switch {
	case ctx.Err() != nil || errors.Is(err, errCallerLeft) || unknownToEngine(err):
		return false
	case errors.As(err, &e) && e.Outcome == qm.OutcomeNotRun && a.canFailOver():
		// The engine refused the request or is unreachable, and another one can take it.
		return false
	case a.awaitingFirst(err):
		return time.Since(a.startedAt) < a.streamer.opts.FirstTokenTimeout && a.budgetAllows(Resume)
	}
	return a.resumes < a.streamer.opts.MaxResumes && a.budgetAllows(Resume)
}

// awaitingFirst reports whether err is a timeout before the first chunk from the engine. Either the engine is busy or the connection has
// stalled. Resuming over a new connection costs no computation and distinguishes the two.
func (a *engineAttempt) awaitingFirst(err error) bool {
	return !a.gotChunk && errors.Is(err, errStalled)
}

// canFailOver reports whether another engine could take over the request.
func (a *engineAttempt) canFailOver() bool { return a.nextChunk == 0 || a.request.Continue }

// start sends the request to the engine and delivers the chunks of its answer.
func (a *engineAttempt) start(ctx context.Context) error {
	req := *a.request.Engine
	req.FirstChunk = a.nextChunk
	req.EmittedText = a.emitted.String()
	openCtx, cancel := context.WithTimeoutCause(ctx, a.firstChunkTimeout(), errStalled)
	defer cancel()
	reader, err := a.streamer.client.Start(openCtx, a.placement.Endpoint, &req)
	if err == nil || asTypedError(ctx, a.placement, err).Outcome != qm.OutcomeNotRun {
		a.mayHaveRun, a.requested = true, true
	}
	if err != nil {
		return err
	}
	a.incarnation = reader.Incarnation()
	return a.read(ctx, reader, a.firstChunkTimeout())
}

// firstChunkTimeout returns the timeout for the first chunk from the engine on one connection.
func (a *engineAttempt) firstChunkTimeout() time.Duration {
	return min(a.streamer.opts.ProgressTimeout, a.streamer.opts.FirstTokenTimeout-time.Since(a.startedAt))
}

// resume opens the stream again at the same engine after a backoff and delivers the remaining chunks.
func (a *engineAttempt) resume(ctx context.Context) error {
	if err := sleep(ctx, a.streamer.backoff(a.resumes-1)); err != nil {
		return err
	}
	openCtx, cancel := context.WithTimeoutCause(ctx, a.streamer.opts.ProgressTimeout, errStalled)
	defer cancel()
	reader, err := a.streamer.client.Resume(openCtx, a.placement.Endpoint, a.incarnation, a.request.Engine.Request, a.nextChunk)
	if err != nil {
		return err
	}
	a.incarnation = reader.Incarnation()
	return a.read(ctx, reader, a.streamer.opts.ProgressTimeout)
}

// read delivers the chunks from one connection. timeout bounds the wait for the first one. It returns nil after the last chunk.
func (a *engineAttempt) read(ctx context.Context, reader qm.ChunkReader, timeout time.Duration) error {
	defer reader.Close()
	duplicates := 0
	for {
		c, err := readChunk(ctx, reader, timeout)
		switch {
		case err != nil:
			return err
		case c.Number > a.nextChunk:
			return errors.Wrapf(errGap, "chunk %d received after chunk %d", c.Number, a.nextChunk-1)
		case c.Number < a.nextChunk:
			a.summary.Duplicates++
			if duplicates++; duplicates > maxDuplicates {
				return errDuplicates
			}
			continue
		}
		duplicates = 0
		if err := a.deliver(c); err != nil {
			return err
		}
		if c.FinishReason != "" {
			a.summary.Usage = c.Usage
			_, _ = readChunk(ctx, reader, drainTimeout)
			return nil
		}
		timeout = a.streamer.opts.ProgressTimeout
	}
}

// readChunk reads the next chunk. The error is errStalled if none arrives within timeout.
func readChunk(ctx context.Context, r qm.ChunkReader, timeout time.Duration) (qm.Chunk, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, timeout, errStalled)
	defer cancel()
	return r.Next(ctx)
}

// deliver passes the next chunk to the caller.
func (a *engineAttempt) deliver(c qm.Chunk) error {
	if !a.gotChunk && a.request.FirstToken != nil {
		a.request.FirstToken(a.placement, c.CachedTokens)
	}
	a.gotChunk, a.resumes = true, 0
	if err := a.request.Deliver(c); err != nil {
		return errors.Wrap(errCallerLeft, err.Error())
	}
	a.nextChunk++
	a.summary.Chunks++
	if a.request.Continue {
		a.emitted.WriteString(c.Text)
	}
	return nil
}

// sleep waits for d, or returns the cause if ctx is done first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
