package exchg

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxEvent bounds one event in bytes. An event is a few hundred bytes; an endpoint that sends more is broken.
	maxEvent = 1 << 20
	// eventBuffer is the size of the read buffer of a stream in bytes, several events.
	eventBuffer = 4 << 10
)

// events splits a stream into whole events, which it returns as they came.
type events struct {
	r *bufio.Reader
	// buf is the event that is being read.
	buf []byte
}

func newEvents(r io.Reader) *events { return &events{r: bufio.NewReaderSize(r, eventBuffer)} }

// next returns the bytes of the next event up to and with its blank line, and its id, empty if it has none. The bytes are valid until
// the next call. io.EOF comes only between two events; an event that is cut off ends with io.ErrUnexpectedEOF.
func (e *events) next() (raw []byte, id string, err error) {
	e.buf = e.buf[:0]
	for {
		start := len(e.buf)
		for {
			part, err := e.r.ReadSlice('\n')
			e.buf = append(e.buf, part...)
			if len(e.buf) > maxEvent {
				return nil, "", errors.Errorf("event exceeds %d bytes", maxEvent)
			}
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

// buffered reports whether more bytes have arrived already.
func (e *events) buffered() bool { return e.r.Buffered() > 0 }

// seen reports whether an event with this id was delivered before: ids only grow.
func seen(id, last string) bool {
	a, aerr := strconv.ParseInt(id, 10, 64)
	b, berr := strconv.ParseInt(last, 10, 64)
	return aerr == nil && berr == nil && a <= b
}
