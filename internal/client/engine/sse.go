package engine

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
	// maxLineBytes limits a line and the data of an event. A chunk is a few hundred bytes long, so an engine
	// that exceeds the limit is faulty.
	maxLineBytes = 1 << 20
	// lineBufferBytes is the size of the read buffer, and the size up to which the buffer of a line is kept for the next one.
	lineBufferBytes = 4 << 10
)

// event is one server-sent event.
type event struct {
	// id is the chunk number, or -1 if the event has no id.
	id   int64
	data []byte
}

// eventReader parses a stream of server-sent events.
type eventReader struct {
	ctx context.Context
	r   *bufio.Reader
	// line is the current line. It and the data of the current event are within the reservation.
	line        []byte
	reservation *pool.Reservation
}

// newEventReader returns a reader of the stream r. The caller must close it. Large events wait for others until ctx ends.
func newEventReader(ctx context.Context, r io.Reader) *eventReader {
	return &eventReader{ctx: ctx, r: bufio.NewReaderSize(r, lineBufferBytes), reservation: pool.EndpointBudget.Reserve()}
}

// close releases the memory of the last event.
func (r *eventReader) close() { r.reservation.Release() }

// next returns the next event that has data, which is valid until the following call. At the end of the stream it discards
// an incomplete event and returns io.ErrUnexpectedEOF, also if there is no incomplete event.
func (r *eventReader) next() (event, error) {
	r.reservation.Release()
	e := event{id: -1}
	hasData := false
	for {
		line, err := r.readLine(len(e.data))
		if err == io.EOF {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		if len(line) == 0 {
			if hasData {
				return e, nil
			}
			e.id = -1
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			n, err := strconv.ParseInt(string(value), 10, 64)
			if err != nil || n < 0 {
				return event{}, errors.Errorf("event id %.64q is not a number", value)
			}
			e.id = n
		case "data":
			if hasData {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			hasData = true
			if len(e.data) > maxLineBytes {
				return event{}, errors.Errorf("event exceeds %d bytes", maxLineBytes)
			}
		}
	}
}

// readLine returns the next line without its end, valid until the following call. kept is the number of other bytes of the event in memory. The
// error is io.EOF at the end of the stream, also within a line.
func (r *eventReader) readLine(kept int) ([]byte, error) {
	r.line = r.line[:0]
	if cap(r.line) > lineBufferBytes {
		r.line = nil
	}
	for {
		part, err := r.r.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return nil, err
		}
		if len(r.line)+len(part) > maxLineBytes {
			return nil, errors.Errorf("line exceeds %d bytes", maxLineBytes)
		}
		// The value of a line of data is copied.
		if err := r.reservation.Grow(r.ctx, int64(kept+2*(len(r.line)+len(part)))); err != nil {
			return nil, err
		}
		r.line = append(r.line, part...)
		if err == nil {
			return bytes.TrimSuffix(bytes.TrimSuffix(r.line, []byte("\n")), []byte("\r")), nil
		}
	}
}
