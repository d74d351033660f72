// Package strict refuses requests whose framing two HTTP implementations could read differently.
//
// net/http accepts some of them, such as a length beside a chunked body, and hides from handlers that it did. A Listener therefore
// keeps the bytes of each request head as they came, and Check looks at them.
package strict

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// keptBytes bounds the bytes of a head that are kept. Longer heads are refused by their length.
const keptBytes = 64 << 10

// Listener wraps the connections of another listener.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn keeps the bytes that were read since the body of the last request ended.
type conn struct {
	net.Conn

	mu   sync.Mutex
	head []byte
	// body is the number of bytes of the current request's body that are still to come. chunked is true while a body without a length
	// is read, whose bytes are not kept.
	body    int64
	chunked bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.take(p[:n])
	return n, err
}

// take sorts bytes into the body of the current request and the head of the next. The caller holds mu.
func (c *conn) take(p []byte) {
	if c.chunked {
		return
	}
	k := min(c.body, int64(len(p)))
	c.body -= k
	p = p[k:]
	if room := keptBytes - len(c.head); room > 0 {
		c.head = append(c.head, p[:min(room, len(p))]...)
	}
}

// begin returns the head of a request that was just read, and expects its body.
func (c *conn) begin(length int64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	end := bytes.Index(c.head, []byte("\r\n\r\n"))
	if end < 0 {
		return nil
	}
	head, rest := c.head[:end+4], c.head[end+4:]
	c.head, c.body, c.chunked = nil, max(length, 0), length < 0
	c.take(rest)
	return head
}

// end tells that a request was answered. A body without a length must have been read by then; of one with a length the rest may
// still come.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunked = false
}

type key struct{}

// ConnContext is the hook of http.Server that hands the connection to Begin.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if sc, ok := c.(*conn); ok {
		return context.WithValue(ctx, key{}, sc)
	}
	return ctx
}

// Begin returns the length of the head of a request and an error if its framing is ambiguous. The caller calls end once the
// request was answered, with a body without a length read whole or the connection to be closed.
func Begin(r *http.Request) (length int, end func(), err error) {
	c, ok := r.Context().Value(key{}).(*conn)
	if !ok {
		return 0, func() {}, nil
	}
	head := c.begin(r.ContentLength)
	return len(head), c.end, Check(head)
}

// Check returns an error if a request head, from its first byte to its blank line, is not framed strictly.
func Check(head []byte) error {
	if len(head) == 0 {
		return errors.New("the head does not end with a blank line of CR and LF")
	}
	lengths, codings := 0, 0
	for i, line := range strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n") {
		if strings.ContainsAny(line, "\r\n\x00") {
			return errors.Errorf("line %d of the head contains a bare CR, LF or NUL", i+1)
		}
		if i == 0 {
			continue
		}
		if line == "" || line[0] == ' ' || line[0] == '\t' {
			return errors.Errorf("line %d of the head continues the one before", i+1)
		}
		name, _, _ := strings.Cut(line, ":")
		switch {
		case strings.EqualFold(name, "Content-Length"):
			lengths++
		case strings.EqualFold(name, "Transfer-Encoding"):
			codings++
		}
	}
	if lengths+codings > 1 {
		return errors.New("the head frames the body more than once")
	}
	return nil
}
