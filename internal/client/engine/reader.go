package engine

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// errCrossed is returned when a stream carries the answer to another request.
var errCrossed = errors.New("answer belongs to another request")

// reader implements quetzalmount.ChunkReader.
type reader struct {
	resp     *http.Response
	cancel   context.CancelFunc
	trace    *pool.Trace
	events   *eventReader
	id       qm.RequestID
	inc      qm.Incarnation
	finished bool
	broken   error
}

// Next implements quetzalmount.ChunkReader. The reader is of no use after an error.
func (r *reader) Next(ctx context.Context) (qm.Chunk, error) {
	if r.broken != nil {
		return qm.Chunk{}, r.broken
	}
	// The read ends when the body is closed, since net/http knows only the context of the whole request.
	stop := context.AfterFunc(ctx, r.cancel)
	c, err := r.next()
	stop()
	if err != nil {
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		r.broken = err
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
		_, _ = io.Copy(io.Discard, r.resp.Body)
		return qm.Chunk{}, io.EOF
	}
	c, err := decodeChunk(e, r.id)
	if errors.Is(err, errCrossed) {
		r.trace.CloseConns()
	}
	r.finished = r.finished || c.FinishReason != ""
	return c, err
}

// Incarnation implements quetzalmount.ChunkReader.
func (r *reader) Incarnation() qm.Incarnation { return r.inc }

// Close implements quetzalmount.ChunkReader. The connection is kept only if the stream was read to its end.
func (r *reader) Close() error {
	r.cancel()
	return r.resp.Body.Close()
}
