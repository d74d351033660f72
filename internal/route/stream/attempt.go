package stream

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// engineAttempt is the run of a request at one engine.
type engineAttempt struct {
	*task
	placement   qm.Placement
	incarnation qm.Incarnation // empty until the engine has answered
	requested   bool           // the engine may run the request
	gotChunk    bool           // a chunk came from this engine
	// silences and failures are the numbers of resumes since the last new chunk because of silence and of failed connections.
	silences, failures int
	isPassedOver       bool // another engine was looked for since the last new chunk
	isStartedAnew      bool // the request was sent to the engine once more since the last new chunk
	startedAt          time.Time
	connections        []*connection // open ones, in the order in which they were opened
}

// connection is a connection to an engine. Its goroutine sends what the engine answers to the task.
type connection struct {
	attempt     *engineAttempt
	isResume    bool
	isOpened    bool // the engine has answered
	isClosed    bool
	incarnation qm.Incarnation
	duplicates  int // duplicate chunks in a row
	cancel      context.CancelFunc
	drained     chan struct{} // closed when nothing more is read
}

// event is something that came from a connection: its opening, a chunk or an error, after which nothing follows.
type event struct {
	connection  *connection
	isOpened    bool
	incarnation qm.Incarnation
	chunk       qm.Chunk
	err         error
}

// start sends the request to the engine.
func (a *engineAttempt) start(ctx context.Context) {
	req := *a.request.Engine
	req.FirstChunk, req.EmittedText = a.nextChunk, a.emitted.String()
	a.connect(ctx, false, 0, func(ctx context.Context) (qm.ChunkReader, error) {
		return a.streamer.client.Start(ctx, a.placement.Endpoint, &req)
	})
}

// mayStartAnew reports whether the request may be sent to the engine once more, and takes that from the budget.
func (a *engineAttempt) mayStartAnew(k Recovery) bool {
	if a.isStartedAnew || !a.canFailOver() {
		return false
	}
	if k == Failover {
		return a.summary.Failovers < a.streamer.opts.MaxFailovers && (a.hasFailover || a.budgetAllows(Failover))
	}
	return a.budgetAllows(k)
}

// startAnew sends the request to the engine once more, from the next chunk.
func (a *engineAttempt) startAnew(ctx context.Context) {
	a.isStartedAnew = true
	a.start(ctx)
}

// resume opens the stream again at the same engine after a backoff, from the next chunk.
func (a *engineAttempt) resume(ctx context.Context) {
	a.summary.Resumes++
	inc, from := a.incarnation, a.nextChunk
	a.connect(ctx, true, a.streamer.backoff(a.silences+a.failures-1), func(ctx context.Context) (qm.ChunkReader, error) {
		return a.streamer.client.Resume(ctx, a.placement.Endpoint, inc, a.request.Engine.Request, from)
	})
}

// connect opens a connection after a delay and reads it until it ends or is closed.
func (a *engineAttempt) connect(ctx context.Context, isResume bool, delay time.Duration, open func(context.Context) (qm.ChunkReader, error)) {
	ctx, cancel := context.WithCancel(ctx)
	c := &connection{attempt: a, isResume: isResume, cancel: cancel, drained: make(chan struct{})}
	a.connections = append(a.connections, c)
	a.readers.Go(func() {
		defer cancel()
		defer close(c.drained)
		if sleep(ctx, delay) == nil {
			a.read(ctx, c, open)
		}
	})
	a.awaitProgress()
}

// read sends what comes from a connection to the task.
func (t *task) read(ctx context.Context, c *connection, open func(context.Context) (qm.ChunkReader, error)) {
	reader, err := open(ctx)
	if err != nil {
		t.send(ctx, event{connection: c, err: err})
		return
	}
	defer reader.Close()
	t.send(ctx, event{connection: c, isOpened: true, incarnation: reader.Incarnation()})
	for ctx.Err() == nil {
		chunk, err := reader.Next(ctx)
		t.send(ctx, event{connection: c, chunk: chunk, err: err})
		if err != nil {
			return
		}
		if chunk.FinishReason != "" {
			ctx, cancel := context.WithTimeout(ctx, drainTimeout)
			defer cancel()
			_, _ = reader.Next(ctx)
			return
		}
	}
}

// send sends an event to the task, unless its connection was closed.
func (t *task) send(ctx context.Context, e event) {
	select {
	case t.events <- e:
	case <-ctx.Done():
	}
}

// close closes a connection.
func (a *engineAttempt) close(c *connection) {
	c.isClosed = true
	c.cancel()
	a.connections = slices.DeleteFunc(a.connections, func(o *connection) bool { return o == c })
}

// closeAll closes the connections to the engine.
func (a *engineAttempt) closeAll() {
	for _, c := range slices.Clone(a.connections) {
		a.close(c)
	}
}

// mayResume reports whether the stream may be resumed at the same engine after its last connection has failed with err, and takes the resume
// from the budget.
func (a *engineAttempt) mayResume(err error, isNotRun bool) bool {
	switch {
	case unknownToEngine(err):
		return false
	case isNotRun && a.canFailOver():
		// The engine refused the request or is unreachable, and another one can take it.
		return false
	}
	return a.failures < a.streamer.opts.MaxResumes && a.budgetAllows(Resume)
}

// mayResumeSilent reports whether the stream may be resumed at the silent engine, and takes the resume from the budget. Either the engine is
// busy or a connection has stalled; resuming over a new connection costs no computation and distinguishes the two.
func (a *engineAttempt) mayResumeSilent() bool {
	if a.isAwaitingFirst() {
		return a.unopened() < a.streamer.opts.MaxResumes && a.budgetAllows(Resume)
	}
	return a.gotChunk && a.silences < a.streamer.opts.MaxResumes && a.budgetAllows(Resume)
}

// isAwaitingFirst reports whether the engine still has time for its first chunk.
func (a *engineAttempt) isAwaitingFirst() bool {
	return !a.gotChunk && time.Since(a.startedAt) < a.streamer.opts.FirstTokenTimeout
}

// unopened returns the number of resumes that the engine has not answered.
func (a *engineAttempt) unopened() int {
	n := 0
	for _, c := range a.connections {
		if c.isResume && !c.isOpened {
			n++
		}
	}
	return n
}

// reportFailed reports a fault of the engine.
func (a *engineAttempt) reportFailed(err error) {
	if a.request.Failed != nil {
		a.request.Failed(a.placement, err)
	}
}

// deliver passes the next chunk to the caller.
func (a *engineAttempt) deliver(c qm.Chunk) error {
	if !a.gotChunk && a.request.FirstToken != nil {
		a.request.FirstToken(a.placement, c.CachedTokens)
	}
	a.gotChunk, a.isPassedOver, a.isStartedAnew, a.silences, a.failures = true, false, false, 0, 0
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
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}
