// Package strict detects requests with ambiguous framing, which two HTTP implementations could parse differently.
//
// net/http accepts some of them, such as a request with both Content-Length and Transfer-Encoding, and doesn't tell handlers. A
// Listener therefore retains the bytes of each request head, which are the request line and headers, and Check examines them.
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

// maxRetainedHeadBytes limits the retained bytes of a head. It is more than net/http accepts in a head, so that each head that it accepts is
// retained whole.
const maxRetainedHeadBytes = 80 << 10

// Listener wraps the connections of another listener for Begin.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a connection that retains the bytes of the current request's head. These are the bytes read since the end of the previous
// request's body.
type conn struct {
	net.Conn

	mu   sync.Mutex
	head []byte
	// bodyRemaining is the number of bytes of the current request's body that haven't been read yet. chunks finds the end of a body without a length; nil
	// if none is being read.
	bodyRemaining int64
	chunks        *chunkScanner
	// ambiguous is set if the next request can't be told from the body in chunks before it.
	ambiguous bool
}

// Unwrap returns the connection of the other listener.
func (c *conn) Unwrap() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.consume(p[:n])
	return n, err
}

// consume skips the bytes of p that belong to the body of the current request, and retains the others as the head of the next one.
// The caller holds mu.
func (c *conn) consume(p []byte) {
	if c.chunks != nil {
		p = p[c.chunks.scan(p):]
		if c.chunks.state == chunksEnd {
			// Bytes that came with the end of the body are not taken for a request: they were sent before the response, which tells whether to go on.
			c.chunks, c.ambiguous = nil, len(p) > 0
		}
		return
	}
	bodyBytes := min(c.bodyRemaining, int64(len(p)))
	c.bodyRemaining -= bodyBytes
	p = p[bodyBytes:]
	if free := maxRetainedHeadBytes - len(c.head); free > 0 {
		c.head = append(c.head, p[:min(free, len(p))]...)
	}
}

// beginRequest returns the retained head, from its first line up to its blank line, and nil if there is none. length is the length of the
// request's body, negative if it isn't known.
func (c *conn) beginRequest(length int64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ambiguous {
		return nil
	}
	// Servers skip empty lines before a request, net/http some of them.
	c.head = bytes.TrimLeft(c.head, "\r\n")
	end := bytes.Index(c.head, []byte("\r\n\r\n"))
	if end < 0 {
		return nil
	}
	head, rest := c.head[:end+4], c.head[end+4:]
	c.head, c.bodyRemaining = nil, max(length, 0)
	if length < 0 {
		c.chunks = &chunkScanner{}
	}
	c.consume(rest)
	return head
}

// endRequest marks the end of the response to a request. A body without a length must have been read by then. The rest of a body
// with a length is skipped by later reads.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.chunks != nil {
		c.chunks, c.ambiguous = nil, true
	}
}

type connContextKey struct{}

// ConnContext is the ConnContext function of http.Server. It adds the connection to the context of its requests for Begin.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if sc, ok := c.(*conn); ok {
		return context.WithValue(ctx, connContextKey{}, sc)
	}
	return ctx
}

// Begin returns the length in bytes of the head of a request, and an error if its framing is ambiguous. The caller must call end after
// it has answered the request. By then, a body without a length must have been read to its end, or the connection must be closed.
func Begin(r *http.Request) (length int, end func(), err error) {
	c, ok := r.Context().Value(connContextKey{}).(*conn)
	if !ok {
		return 0, func() {}, nil
	}
	head := c.beginRequest(r.ContentLength)
	err = Check(head)
	if err == nil {
		err = checkSame(head, r)
	}
	return len(head), c.endRequest, err
}

// checkSame returns an error if r is not the request that head begins with. Then another head than that of r was checked.
func checkSame(head []byte, r *http.Request) error {
	line, _, _ := strings.Cut(string(head), "\r\n")
	if want := r.Method + " " + r.RequestURI + " " + r.Proto; line != want {
		return errors.Errorf("the head begins with the line %.64q, want %.64q", line, want)
	}
	return nil
}

// Check returns an error if the framing of a request head is ambiguous. head ends with the blank line and is empty if there was none.
func Check(head []byte) error {
	if len(head) == 0 {
		return errors.New("the head does not end with a blank line of CR and LF")
	}
	contentLengths, transferEncodings := 0, 0
	isHTTP11 := false
	for i, line := range strings.Split(strings.TrimSuffix(string(head), "\r\n\r\n"), "\r\n") {
		if strings.ContainsAny(line, "\r\n\x00") {
			return errors.Errorf("line %d of the head contains a bare CR, LF or NUL", i+1)
		}
		if i == 0 {
			isHTTP11 = strings.HasSuffix(line, " HTTP/1.1")
			continue
		}
		if line == "" || line[0] == ' ' || line[0] == '\t' {
			return errors.Errorf("line %d of the head continues the one before", i+1)
		}
		name, _, _ := strings.Cut(line, ":")
		switch {
		case strings.EqualFold(name, "Content-Length"):
			contentLengths++
		case strings.EqualFold(name, "Transfer-Encoding"):
			transferEncodings++
		}
	}
	if contentLengths+transferEncodings > 1 {
		return errors.New("the head frames the body more than once")
	}
	if transferEncodings > 0 && !isHTTP11 {
		// net/http ignores the encoding and takes the body for the next request.
		return errors.New("the head has a transfer encoding, and its version has none")
	}
	return nil
}
