// Package pauser lets a server fall silent at any byte of its connections and go on, as a sound server may.
package pauser

import (
	"bytes"
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Options says how often and for how long a server pauses.
type Options struct {
	// Share is the share of the exchanges, of a request and its response each, with a pause.
	Share float64
	// MinMs and MaxMs are the shortest and the longest pause in milliseconds.
	MinMs, MaxMs int64
}

// side is the direction in which a pause takes place.
type side int

const (
	reading side = iota
	writing
	sides
)

const (
	// keptSizes is the number of latest messages from whose sizes the byte of a pause is drawn, defaultSize stands for the first ones.
	keptSizes   = 64
	defaultSize = 256
	// firstShare and lastShare are the shares of the pauses before the first byte of a message and before the end of a response. The others
	// come at any byte, which hits these two seldom.
	firstShare = 0.2
	lastShare  = 0.1
)

// endMark is the last chunk of a chunked response.
var endMark = []byte("0\r\n\r\n")

// Source draws the pauses of all connections of a server. The zero value draws none. It is safe for concurrent use.
type Source struct {
	mu    sync.Mutex
	opts  Options
	sizes [sides][keptSizes]int
	next  int
}

// Set replaces the options. Pauses that were drawn before take place.
func (s *Source) Set(o Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts = o
}

// Options returns the options.
func (s *Source) Options() Options {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts
}

// pause is a pause before byte at of a message, counted from 0, or before its end if atEnd is true.
type pause struct {
	side     side
	at       int
	atEnd    bool
	duration time.Duration
}

// draw returns the pause of the next exchange, or nil if it has none. read and written are the sizes of the messages of the exchange before.
func (s *Source) draw(read, written int) *pause {
	s.mu.Lock()
	defer s.mu.Unlock()
	if read > 0 && written > 0 {
		s.sizes[reading][s.next%keptSizes], s.sizes[writing][s.next%keptSizes] = read, written
		s.next++
	}
	if rand.Float64() >= s.opts.Share {
		return nil
	}
	ms := s.opts.MinMs + rand.Int64N(max(0, s.opts.MaxMs-s.opts.MinMs)+1)
	p := &pause{side: side(rand.IntN(int(sides))), duration: time.Duration(ms) * time.Millisecond}
	switch x := rand.Float64(); {
	case x < firstShare:
	case x < firstShare+lastShare:
		p.side, p.atEnd = writing, true
	default:
		size := defaultSize
		if s.next > 0 {
			size = s.sizes[p.side][rand.IntN(min(s.next, keptSizes))]
		}
		p.at = rand.IntN(size)
	}
	return p
}

// receiveBuffer is the size in bytes of the receive buffers of Listen. A server that pauses while it reads a long body then soon makes its client
// wait; with the usual buffers only one of several megabytes would.
const receiveBuffer = 16 << 10

// Listen listens on a TCP address, with small receive buffers.
func Listen(address string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return cmp.Or(err, setErr)
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	return l, errors.Wrap(err, "listen")
}

// New returns a listener whose connections make the pauses that s draws.
func New(l net.Listener, s *Source) net.Listener { return listener{l, s} }

type listener struct {
	net.Listener
	source *Source
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, source: l.source, done: make(chan struct{}), responding: true}, nil
}

type conn struct {
	net.Conn
	source *Source
	done   chan struct{}
	once   sync.Once

	mu sync.Mutex
	// responding is true as soon as a part of the response was written, and before the first request. The next byte read begins an exchange.
	responding bool
	// read and written count the bytes of the exchange.
	read, written int
	pause         *pause
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	d := time.Duration(0)
	switch n, ok := c.bytesBefore(reading); {
	case c.responding:
		b = b[:min(len(b), 1)] // whether the pause comes before the next byte is drawn as soon as there is one
	case ok && n == 0:
		d = c.takePause()
	case ok:
		b = b[:min(len(b), n)]
	}
	c.mu.Unlock()
	c.sleep(d)
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	d = 0
	if c.responding {
		c.pause, c.responding = c.source.draw(c.read, c.written), false
		c.read, c.written = 0, 0
		if before, ok := c.bytesBefore(reading); ok && before == 0 {
			d = c.takePause()
		}
	}
	c.read += n
	c.mu.Unlock()
	c.sleep(d)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	done := 0
	for {
		c.mu.Lock()
		c.responding = true
		rest, d := b[done:], time.Duration(0)
		c.locateEnd(rest)
		if n, ok := c.bytesBefore(writing); ok && n < len(rest) {
			rest, d = rest[:n], c.takePause()
		}
		c.written += len(rest)
		c.mu.Unlock()
		if len(rest) > 0 {
			n, err := c.Conn.Write(rest)
			if done += n; err != nil {
				return done, err
			}
		}
		if d == 0 {
			return done, nil
		}
		c.sleep(d)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// locateEnd sets the byte of a pause before the end of a response if b holds the end: before its last chunk, or before the last byte of a
// response with a length that is written at once. The caller holds mu.
func (c *conn) locateEnd(b []byte) {
	if c.pause == nil || !c.pause.atEnd {
		return
	}
	switch {
	case bytes.HasSuffix(b, endMark):
		c.pause.at, c.pause.atEnd = c.written+len(b)-len(endMark), false
	case c.written == 0 && bytes.Contains(b, []byte("\r\nContent-Length: ")):
		c.pause.at, c.pause.atEnd = len(b)-1, false
	}
}

// bytesBefore returns the number of bytes of a side before the pause, and false if there is none to come on that side. The caller holds mu.
func (c *conn) bytesBefore(s side) (int, bool) {
	if c.pause == nil || c.pause.side != s || c.pause.atEnd {
		return 0, false
	}
	count := c.read
	if s == writing {
		count = c.written
	}
	return c.pause.at - count, c.pause.at >= count
}

// takePause returns the length of the pause, which then is over. The caller holds mu.
func (c *conn) takePause() time.Duration {
	d := c.pause.duration
	c.pause = nil
	return d
}

// sleep waits for d, or until the connection is closed.
func (c *conn) sleep(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-c.done:
	}
}
