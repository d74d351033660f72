// Package copier lets a server write some of its responses once more, as a faulty one may.
package copier

import (
	"bufio"
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options configures a listener.
type Options struct {
	// IDHeader is the header with the ID of the request. Only responses with it are written once more; some copies lack it.
	IDHeader string
	// RefusalShare and OtherShare are the shares of the responses with a status of 400 and more, and of the others, that are followed by a
	// copy of one of the responses on their connection.
	RefusalShare, OtherShare float64
	// OnCopy is called with each copy, and an empty ID, as soon as it is written; and with the ID of the response that follows it on its connection,
	// before that is written. It is nil if copies are not reported, and must not block.
	OnCopy func(id string)
}

const (
	// maxKept is the number of responses of a connection that may be copied.
	maxKept = 8
	// maxIdleTime is the longest time after which a copy is written to an idle connection.
	maxIdleTime = 20 * time.Millisecond
	// unnamedShare is the share of the copies without an ID.
	unnamedShare = 0.25
)

// moment is when a copy is written.
type moment int

const (
	atOnce moment = iota
	whileIdle
	withNextRequest
	beforeNextResponse
	moments
)

// New returns a listener whose connections write some responses once more: at once, while the connection is idle, as soon as the next request
// arrives, or right before its response. Only responses that are written in one piece are copied.
func New(l net.Listener, o Options) net.Listener { return listener{l, o} }

type listener struct {
	net.Listener
	opts Options
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, opts: l.opts}, nil
}

type conn struct {
	net.Conn
	opts Options

	mu sync.Mutex
	// kept are the latest responses that may be copied.
	kept [][]byte
	// next is the copy to be written and at is when; it is nil if there is none.
	next []byte
	at   moment
	// copied is true from a copy to the next response.
	copied bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.at == withNextRequest {
			c.writeNext()
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == beforeNextResponse {
		c.writeNext()
	}
	// A copy in the midst of this response would spoil it.
	c.next = nil
	if c.copied {
		c.copied = false
		if r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil); err == nil {
			c.report(r.Header.Get(c.opts.IDHeader))
		}
	}
	n, err := c.Conn.Write(b)
	if err != nil {
		return n, err
	}
	if status, ok := c.parse(b); ok {
		c.kept = append(c.kept, bytes.Clone(b))
		c.kept = c.kept[max(0, len(c.kept)-maxKept):]
		share := c.opts.OtherShare
		if status >= http.StatusBadRequest {
			share = c.opts.RefusalShare
		}
		if rand.Float64() < share {
			c.schedule()
		}
	}
	return n, nil
}

// schedule chooses a copy and when it is written. The caller holds mu.
func (c *conn) schedule() {
	c.next, c.at = c.kept[rand.IntN(len(c.kept))], moment(rand.IntN(int(moments)))
	if rand.Float64() < unnamedShare {
		c.next = c.withoutID(c.next)
	}
	switch c.at {
	case atOnce:
		c.writeNext()
	case whileIdle:
		time.AfterFunc(rand.N(maxIdleTime), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.at == whileIdle {
				c.writeNext()
			}
		})
	}
}

// writeNext writes the copy, if there is one. The caller holds mu.
func (c *conn) writeNext() {
	if c.next != nil {
		// The client sees the error at the next response, too.
		_, _ = c.Conn.Write(c.next)
		c.next, c.copied = nil, true
		c.report("")
	}
}

func (c *conn) report(id string) {
	if c.opts.OnCopy != nil {
		c.opts.OnCopy(id)
	}
}

// parse returns the status of a response, and false if b is not a whole response with an ID.
func (c *conn) parse(b []byte) (status int, ok bool) {
	in := bufio.NewReader(bytes.NewReader(b))
	r, err := http.ReadResponse(in, nil)
	if err != nil || r.Header.Get(c.opts.IDHeader) == "" || r.ContentLength < 0 {
		return 0, false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return 0, false
	}
	_, err = in.Peek(1)
	return r.StatusCode, err == io.EOF
}

// withoutID returns a response without its ID.
func (c *conn) withoutID(b []byte) []byte {
	r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
	if err != nil {
		return b
	}
	r.Header.Del(c.opts.IDHeader)
	var out bytes.Buffer
	if r.Write(&out) != nil {
		return b
	}
	return out.Bytes()
}
