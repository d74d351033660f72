package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxLineBytes limits a line and the data of an event. A chunk is a few hundred bytes long, so an engine
	// that exceeds the limit is faulty.
	maxLineBytes = 1 << 20
	// initialLineBytes is the initial size of the line buffer.
	initialLineBytes = 4 << 10
)

// event is one server-sent event.
type event struct {
	// id is the chunk number, or -1 if the event has no id.
	id   int64
	data []byte
}

// eventReader parses a stream of server-sent events.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return &eventReader{lines: s}
}

// next returns the next event that has data, which is valid until the following call. At the end of the stream it discards
// an incomplete event and returns io.ErrUnexpectedEOF, also if there is no incomplete event.
func (r *eventReader) next() (event, error) {
	e := event{id: -1}
	hasData := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
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
				return event{}, errors.Errorf("event id %q is not a number", value)
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
	if err := r.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.ErrUnexpectedEOF
}
