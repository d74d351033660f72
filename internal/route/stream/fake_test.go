package stream_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/stream"
)

// link is the behaviour of one connection to a fake engine. Counts are of chunks sent on the connection.
type link struct {
	err          error         // the connection is not opened
	delay        time.Duration // before the first chunk
	stall        bool          // after n chunks
	end          bool          // after n chunks
	skip, repeat bool          // at chunk n; a repeat goes on for ever
	n            int64
}

// fakeClient is an EngineClient without a network, for tests on the fake clock. Connections of an engine take its links in
// order, and behave well when there are none left.
type fakeClient struct {
	length int64

	mu    sync.Mutex
	links map[qm.EndpointID][]link
	log   []string
}

func (f *fakeClient) open(step string, e *qm.Endpoint, from int64) (qm.ChunkReader, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, fmt.Sprintf("%s %s %d", step, e.ID, from))
	var l link
	if rest := f.links[e.ID]; len(rest) > 0 {
		l, f.links[e.ID] = rest[0], rest[1:]
	}
	if l.err != nil {
		return nil, l.err
	}
	return &fakeReader{link: l, inc: qm.Incarnation(e.ID), next: from, length: f.length}, nil
}

func (f *fakeClient) Start(_ context.Context, e *qm.Endpoint, r *qm.EngineRequest) (qm.ChunkReader, error) {
	if r.EmittedText != text(r.FirstChunk) {
		return nil, qm.Refuse(qm.CodeBadRequest, "start", "emitted %q before chunk %d", r.EmittedText, r.FirstChunk)
	}
	return f.open("start", e, r.FirstChunk)
}

func (f *fakeClient) Resume(_ context.Context, e *qm.Endpoint, _ qm.Incarnation, _ qm.RequestID, from int64) (qm.ChunkReader, error) {
	return f.open("resume", e, from)
}

func (f *fakeClient) Cancel(_ context.Context, e *qm.Endpoint, _ qm.RequestID) error {
	time.Sleep(time.Microsecond) // logged after the next call of the run, which comes at the same time
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, fmt.Sprintf("cancel %s", e.ID))
	return nil
}

type fakeReader struct {
	link
	inc                qm.Incarnation
	next, length, sent int64
}

func chunkText(n int64) string { return fmt.Sprintf(" t%d", n) }

func text(n int64) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(chunkText(i))
	}
	return b.String()
}

func (r *fakeReader) Next(ctx context.Context) (qm.Chunk, error) {
	if r.next >= r.length {
		return qm.Chunk{}, io.EOF
	}
	wait := time.Millisecond
	if r.sent == 0 {
		wait += r.delay
	}
	if r.sent == r.n {
		switch {
		case r.stall:
			<-ctx.Done()
		case r.end:
			return qm.Chunk{}, io.ErrUnexpectedEOF
		case r.skip:
			r.next++
		case r.repeat:
			return qm.Chunk{Number: r.next - 1, Text: chunkText(r.next - 1)}, nil
		}
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return qm.Chunk{}, context.Cause(ctx)
	}
	c := qm.Chunk{Number: r.next, Text: chunkText(r.next)}
	if r.next == r.length-1 {
		c.FinishReason, c.Usage = "length", &qm.Usage{OutputTokens: qm.Tokens(r.length)}
	}
	r.next++
	r.sent++
	return c, nil
}

func (r *fakeReader) Incarnation() qm.Incarnation { return r.inc }
func (r *fakeReader) Close() error                { return nil }

// placer returns a Place function that takes the first endpoint that is not excluded.
func placer(endpoints ...*qm.Endpoint) func(context.Context, []qm.EndpointID) (qm.Placement, error) {
	return func(_ context.Context, exclude []qm.EndpointID) (qm.Placement, error) {
	next:
		for _, e := range endpoints {
			for _, x := range exclude {
				if x == e.ID {
					continue next
				}
			}
			return qm.Placement{Endpoint: e}, nil
		}
		return qm.Placement{}, qm.Refuse(qm.CodeNoEndpoint, "place", "no engine is left")
	}
}

// budget returns a Budget function that allows n recoveries.
func budget(n int) func(stream.Kind) bool {
	return func(stream.Kind) bool { n--; return n >= 0 }
}

var (
	errDead  = qm.Refuse(qm.CodeEndpointFailed, "resume", "connection refused")
	errGone  = qm.Fail(qm.CodeNotFound, "resume", "a", errors.New("no such stream"))
	errFull  = qm.Refuse(qm.CodeQueueFull, "start", "queue is full").WithRetryAfter(time.Second)
	errBreak = qm.Fail(qm.CodeEndpointFailed, "start", "a", errors.New("connection reset"))
)
