package exchg

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"strconv"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

const (
	// maxEventBytes bounds one event. Events have a few hundred bytes; an endpoint that sends far more is faulty.
	maxEventBytes = 1 << 20
	// eventBufferBytes is the size of the read buffer of a stream, and the size up to which the buffer of an event is kept for the next one. It holds
	// several events.
	eventBufferBytes = 4 << 10
)

// eventReader splits a stream into whole server-sent events and returns their bytes unchanged.
type eventReader struct {
	ctx context.Context
	r   *bufio.Reader
	// buf holds the event that is being read, within the reservation.
	buf         []byte
	reservation *pool.Reservation
}

// newEventReader returns a reader of the stream r. The caller must close it. Large events wait for others until ctx ends.
func newEventReader(ctx context.Context, r io.Reader) *eventReader {
	return &eventReader{ctx: ctx, r: bufio.NewReaderSize(r, eventBufferBytes), reservation: pool.EndpointBudget.Reserve()}
}

// close releases the memory of the last event.
func (e *eventReader) close() { e.reservation.Release() }

// next returns the bytes of the next event including its blank line, and its ID, empty if it has none. The bytes are valid until the
// next call. The error is io.EOF only between two events, and io.ErrUnexpectedEOF within a truncated event.
func (e *eventReader) next() (raw []byte, id string, err error) {
	e.buf = e.buf[:0]
	if cap(e.buf) > eventBufferBytes {
		e.buf = nil
	}
	e.reservation.Release()
	for {
		start := len(e.buf)
		for {
			part, err := e.r.ReadSlice('\n')
			if len(e.buf)+len(part) > maxEventBytes {
				return nil, "", errors.Errorf("event exceeds %d bytes", maxEventBytes)
			}
			if err := e.reservation.Grow(e.ctx, int64(len(e.buf)+len(part))); err != nil {
				return nil, "", err
			}
			e.buf = append(e.buf, part...)
			if err == nil {
				break
			}
			if err == bufio.ErrBufferFull {
				continue
			}
			if err == io.EOF && len(e.buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, "", err
		}
		line := bytes.TrimRight(e.buf[start:], "\r\n")
		if len(line) == 0 {
			return e.buf, id, nil
		}
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
}

// hasNext reports whether a further whole event was received already.
func (e *eventReader) hasNext() bool {
	received, _ := e.r.Peek(e.r.Buffered())
	return bytes.Contains(received, []byte("\n\n")) || bytes.Contains(received, []byte("\n\r\n"))
}

// hasNumber reports whether an event ID is a number. All events of a response that can be resumed have one; a text that an endpoint sends
// in place of the rest of the stream has none.
func hasNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// alreadyDelivered reports whether the event ID is not above that of the last delivered event. IDs increase within a response.
func alreadyDelivered(id, last string) bool {
	a, aerr := strconv.ParseInt(id, 10, 64)
	b, berr := strconv.ParseInt(last, 10, 64)
	return aerr == nil && berr == nil && a <= b
}
