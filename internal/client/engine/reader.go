package engine

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// reader implements quetzalmount.ChunkReader.
type reader struct {
	resp        *http.Response
	cancel      context.CancelFunc
	trace       *pool.Trace
	events      *eventReader
	id          qm.RequestID
	incarnation qm.Incarnation
	finished    bool
	err         error
}

// Next implements quetzalmount.ChunkReader. After an error, all further calls return the same error.
func (r *reader) Next(ctx context.Context) (qm.Chunk, error) {
	if r.err != nil {
		return qm.Chunk{}, r.err
	}
	// net/http knows only the context of the whole request, so the end of ctx cancels the stream to interrupt the read.
	stop := context.AfterFunc(ctx, r.cancel)
	c, err := r.next()
	stop()
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		r.err = err
	}
	return c, err
}

func (r *reader) next() (qm.Chunk, error) {
	e, err := r.events.next()
	if err != nil {
		return qm.Chunk{}, err
	}
	if string(e.data) == "[DONE]" {
		if !r.finished {
			return qm.Chunk{}, io.ErrUnexpectedEOF
		}
		r.drain()
		return qm.Chunk{}, io.EOF
	}
	c, err := decodeChunk(e, r.id)
	if errors.Is(err, qm.ErrWrongRequest) {
		r.trace.CloseConns()
	}
	r.finished = r.finished || c.FinishReason != ""
	return c, err
}

// drainTimeout limits the wait for the end of a stream after its last event, which comes with that event as a rule.
const drainTimeout = 50 * time.Millisecond

// drain reads the rest of the stream after its last event, so that its connection can be reused.
func (r *reader) drain() {
	timer := time.AfterFunc(drainTimeout, r.cancel)
	defer timer.Stop()
	_ = pool.Drain(r.resp)
}

// Incarnation implements quetzalmount.ChunkReader.
func (r *reader) Incarnation() qm.Incarnation { return r.incarnation }

// Close implements quetzalmount.ChunkReader. The connection is reused only if the stream was read to its end.
func (r *reader) Close() error {
	r.cancel()
	r.events.close()
	return r.resp.Body.Close()
}
