package engine

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

const (
	// maxLine bounds a line of a stream in bytes. A chunk is a few hundred bytes; an engine that sends more is broken.
	maxLine = 1 << 20
	// lineBuffer is the initial size of the line buffer in bytes.
	lineBuffer = 4 << 10
)

// event is one server-sent event.
type event struct {
	// id is the number of the chunk, -1 if the event has none.
	id   int64
	data []byte
}

// eventReader reads server-sent events.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(r io.Reader) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, lineBuffer), maxLine)
	return &eventReader{lines: s}
}

// next returns the next event that has data. The data is valid until the next call. An event that the end of the stream
// cuts off is not returned; the error is io.ErrUnexpectedEOF whether or not there was one.
func (r *eventReader) next() (event, error) {
	e := event{id: -1}
	has := false
	for r.lines.Scan() {
		line := r.lines.Bytes()
		if len(line) == 0 {
			if has {
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
			if has {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			has = true
			if len(e.data) > maxLine {
				return event{}, errors.Errorf("event exceeds %d bytes", maxLine)
			}
		}
	}
	if err := r.lines.Err(); err != nil {
		return event{}, err
	}
	return event{}, io.ErrUnexpectedEOF
}
