package stream

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// Causes of a recovery or of the end of a stream.
var (
	errStalled  = errors.New("no chunk arrived in time")
	errGap      = errors.New("chunk number skipped")
	errRepeats  = errors.New("chunks repeat")
	errDeliver  = errors.New("caller is gone")
	errBudget   = errors.New("retry budget is used up")
	errContinue = errors.New("engine lost the stream, and the model cannot continue it")
)

// run is the state of one request.
type run struct {
	s       *Streamer
	r       *Request
	next    int64 // number of the next chunk to deliver
	emitted strings.Builder
	exclude []qm.EndpointID
	sum     Summary
	ran     bool // an engine may have run the request
}

// Run delivers the answer to r. The error is nil after the last chunk, else an *quetzalmount.Error. Its outcome is NotRun
// if no engine took the request.
func (s *Streamer) Run(ctx context.Context, r *Request) (Summary, error) {
	t := &run{s: s, r: r, next: r.Engine.From}
	t.emitted.WriteString(r.Engine.Emitted)
	err := t.engines(ctx)
	if err == nil {
		return t.sum, nil
	}
	e := *qm.AsError(err)
	if t.ran {
		e.Outcome = qm.Unknown
	}
	return t.sum, &e
}

// engines tries one engine after the other.
func (t *run) engines(ctx context.Context) error {
	var last error
	for {
		d, err := t.r.Place(ctx, t.exclude)
		if err != nil {
			if last != nil {
				return last
			}
			return err
		}
		err = t.engine(ctx, d)
		if t.r.Left != nil {
			t.r.Left(d)
		}
		if err == nil {
			return nil
		}
		final, move := t.mayMove(ctx, d, err)
		if !move {
			return final
		}
		last = final
		t.sum.Moves++
	}
}

// mayMove reports whether another engine may be tried after err on the engine of d, and returns the error that ends the
// stream if not.
func (t *run) mayMove(ctx context.Context, d qm.Decision, err error) (final *qm.Error, move bool) {
	final = typed(ctx, d, err)
	switch {
	case ctx.Err() != nil || errors.Is(err, errDeliver):
		return final, false
	case final.Outcome == qm.NotRun && final.Code == qm.CodeBadRequest:
		return final, false
	case t.next > 0 && !t.r.Continue:
		return qm.Fail(qm.CodeEndpoint, "continue", d.Endpoint.Address, errors.WithMessage(errContinue, final.Message)), false
	case t.sum.Moves >= t.s.opts.Moves:
		return final, false
	case t.allowed(Move):
		return final, true
	case final.Outcome == qm.NotRun:
		return final, false
	}
	return qm.Fail(final.Code, "move", d.Endpoint.Address, errors.WithMessage(errBudget, final.Message)), false
}

func (t *run) allowed(k Kind) bool { return t.r.Budget != nil && t.r.Budget(k) }

// typed returns err as an *Error.
func typed(ctx context.Context, d qm.Decision, err error) *qm.Error {
	var e *qm.Error
	switch {
	case ctx.Err() != nil:
		return qm.Fail(qm.CodeTimeout, "stream", d.Endpoint.Address, context.Cause(ctx))
	case errors.As(err, &e):
		return e
	case errors.Is(err, errStalled):
		return qm.Fail(qm.CodeTimeout, "stream", d.Endpoint.Address, err)
	}
	return qm.Fail(qm.CodeEndpoint, "stream", d.Endpoint.Address, err)
}

// visit is the state of a request on one engine.
type visit struct {
	*run
	d     qm.Decision
	inc   qm.Incarnation // empty until the engine has answered
	asked bool           // the engine may run the request
	got   bool           // a chunk came from this engine
	tries int            // resumes since the last new chunk
	begin time.Time
}

// engine runs the request on one engine until it is finished or the engine is given up.
func (t *run) engine(ctx context.Context, d qm.Decision) error {
	v := &visit{run: t, d: d, begin: time.Now()}
	err := v.start(ctx)
	for err != nil && v.mayResume(ctx, err) {
		if t.r.Failed != nil && !v.waiting(err) {
			t.r.Failed(d, err)
		}
		v.tries++
		t.sum.Resumes++
		err = v.resume(ctx)
	}
	if err == nil {
		return nil
	}
	if t.r.Failed != nil && ctx.Err() == nil && !errors.Is(err, errDeliver) {
		t.r.Failed(d, err)
	}
	if !gone(err) || v.inc == "" {
		t.exclude = append(t.exclude, d.Endpoint.ID)
	}
	if !gone(err) && v.asked {
		t.s.cancel(d.Endpoint, t.r.Engine.Request)
	}
	return err
}

// gone reports whether err says that the engine does not know the stream, so that there is nothing to resume or to cancel.
func gone(err error) bool {
	var e *qm.Error
	return errors.As(err, &e) && e.Step == "resume" && (e.Code == qm.CodeNotFound || e.Code == qm.CodeBadRequest)
}

// mayResume reports whether the stream may be resumed on the same engine after err.
func (v *visit) mayResume(ctx context.Context, err error) bool {
	var e *qm.Error
	switch {
	case ctx.Err() != nil || errors.Is(err, errDeliver) || gone(err):
		return false
	case errors.As(err, &e) && e.Outcome == qm.NotRun && v.canLeave():
		// The engine refused the request or cannot be reached.
		return false
	case v.waiting(err):
		return time.Since(v.begin) < v.s.opts.FirstTokenTimeout && v.allowed(Resume)
	}
	return v.tries < v.s.opts.Resumes && v.allowed(Resume)
}

// waiting reports whether err means that the first chunk from the engine has not come yet. That is either a busy engine or a
// stalled connection. Asking for the stream again over a fresh connection costs nothing and tells the two apart.
func (v *visit) waiting(err error) bool { return !v.got && errors.Is(err, errStalled) }

// canLeave reports whether another engine could take the request.
func (v *visit) canLeave() bool { return v.next == 0 || v.r.Continue }

func (v *visit) start(ctx context.Context) error {
	req := *v.r.Engine
	req.From = v.next
	req.Emitted = v.emitted.String()
	octx, cancel := context.WithTimeoutCause(ctx, v.firstWait(), errStalled)
	defer cancel()
	reader, err := v.s.client.Start(octx, v.d.Endpoint, &req)
	if err == nil || typed(ctx, v.d, err).Outcome != qm.NotRun {
		v.ran, v.asked = true, true
	}
	if err != nil {
		return err
	}
	v.inc = reader.Incarnation()
	return v.read(ctx, reader, v.firstWait())
}

// firstWait returns how long to wait on one connection for the first chunk from the engine.
func (v *visit) firstWait() time.Duration {
	return min(v.s.opts.ProgressTimeout, v.s.opts.FirstTokenTimeout-time.Since(v.begin))
}

func (v *visit) resume(ctx context.Context) error {
	if err := sleep(ctx, v.s.backoff(v.tries-1)); err != nil {
		return err
	}
	octx, cancel := context.WithTimeoutCause(ctx, v.s.opts.ProgressTimeout, errStalled)
	defer cancel()
	reader, err := v.s.client.Resume(octx, v.d.Endpoint, v.inc, v.r.Engine.Request, v.next)
	if err != nil {
		return err
	}
	v.inc = reader.Incarnation()
	return v.read(ctx, reader, v.s.opts.ProgressTimeout)
}

// read delivers the chunks of one connection. limit bounds the wait for the first one. It returns nil after the last chunk.
func (v *visit) read(ctx context.Context, reader qm.ChunkReader, limit time.Duration) error {
	defer reader.Close()
	repeats := 0
	for {
		c, err := nextChunk(ctx, reader, limit)
		switch {
		case err != nil:
			return err
		case c.Number > v.next:
			return errors.Wrapf(errGap, "chunk %d came after %d", c.Number, v.next-1)
		case c.Number < v.next:
			v.sum.Repeats++
			if repeats++; repeats > maxRepeats {
				return errRepeats
			}
			continue
		}
		repeats = 0
		if err := v.deliver(c); err != nil {
			return err
		}
		if c.Finish != "" {
			v.sum.Usage = c.Usage
			_, _ = nextChunk(ctx, reader, drainTime)
			return nil
		}
		limit = v.s.opts.ProgressTimeout
	}
}

func nextChunk(ctx context.Context, r qm.ChunkReader, limit time.Duration) (qm.Chunk, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, limit, errStalled)
	defer cancel()
	return r.Next(ctx)
}

// deliver hands the next chunk to the caller.
func (v *visit) deliver(c qm.Chunk) error {
	if !v.got && v.r.FirstToken != nil {
		v.r.FirstToken(v.d, c.Cached)
	}
	v.got, v.tries = true, 0
	if err := v.r.Deliver(c); err != nil {
		return errors.Wrap(errDeliver, err.Error())
	}
	v.next++
	v.sum.Chunks++
	if v.r.Continue {
		v.emitted.WriteString(c.Text)
	}
	return nil
}

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
