// Package conns bounds what the connections of clients make a process hold: their number, the memory of request heads, and the time for which a client
// may keep the process waiting.
//
// It applies when clients don't keep to the limits that they are told: they open connections without end, or send heads of thousands of fields, or
// never end a head or a body, or don't read responses. net/http keeps several times the size of such a head in memory until it is complete, for any
// number of connections. When a bound is reached, a connection that is idle, has sent no whole request or doesn't take its response is closed, so that
// clients which send requests get answers; see Victim.
package conns

import (
	"bytes"
	"cmp"
	"context"
	"crypto/tls"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"quetzalmount.dev/quetzalmount/internal/limit/supply"
)

const (
	// byteCost and lineCost are the bytes of memory that a byte and a line of a head take until its request has ended: they are buffered, retained and
	// parsed into strings and a map.
	byteCost = 3
	lineCost = 48
	// ConnCost is the memory of a connection without a request: the stack of its goroutine, two buffers and what net/http keeps.
	ConnCost = 24 << 10
	// tlsCost is what TLS adds to it.
	tlsCost = 32 << 10
	// maxHeadFactor and minHeadMargin give the size of a head at which its connection is closed, from the largest that is accepted. Heads up to that
	// size are read and get a response that says what is wrong.
	maxHeadFactor = 2
	minHeadMargin = 8 << 10
	// refuseTimeout is the time for writing the response to a head that is too large.
	refuseTimeout = 100 * time.Millisecond
	// freshTime is the time for which a client that has begun to send or to take something in is expected to go on. Packets that were lost are sent again
	// within it.
	freshTime = time.Second
	// writePartBytes is the size of the parts in which responses are written, each within Options.WriteTimeout.
	writePartBytes = 16 << 10
)

// Options are the settings of a Table.
type Options struct {
	// HeadMemory is the memory in bytes that the heads of all requests may take, 0 for no bound.
	HeadMemory int64
	// MaxHeadBytes returns the size of the largest head that is accepted, 0 if it is not known yet; nil means the same.
	MaxHeadBytes func() int
	// HeadTimeout returns the time for a head from its first byte on, and for the first byte of a new connection; IdleTimeout that between two requests.
	// Zero times, and nil, leave these to the server.
	HeadTimeout, IdleTimeout func() time.Duration
	// BodyTimeout is the longest time for the body of a request, WriteTimeout that for taking in writePartBytes of a response if its handler sets none. 0 is
	// no limit.
	BodyTimeout, WriteTimeout time.Duration
	// Sockets and Memory bound what the process uses together; nil for no bound. The table makes its connections give way if there is no more.
	Sockets, Memory *supply.Limit
	// Scope receives metrics; nil discards them. The zero Log discards lines.
	Scope tally.Scope
	Log   logr.Logger
}

// Table holds the connections of all listeners of a process. It is safe for concurrent use.
type Table struct {
	opts Options
	// start is the origin of conn.writingSince.
	start time.Time

	mu sync.Mutex
	// conns holds the connections by listener.
	conns map[*listener]map[*conn]bool
	// headMemory is what the heads take now.
	headMemory int64
}

// New returns a table without connections.
func New(opts Options) *Table {
	if opts.MaxHeadBytes == nil {
		opts.MaxHeadBytes = func() int { return 0 }
	}
	if opts.HeadTimeout == nil {
		opts.HeadTimeout = func() time.Duration { return 0 }
	}
	if opts.IdleTimeout == nil {
		opts.IdleTimeout = func() time.Duration { return 0 }
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Sockets == nil {
		opts.Sockets = supply.New(0)
	}
	if opts.Memory == nil {
		opts.Memory = supply.New(0)
	}
	t := &Table{opts: opts, start: time.Now(), conns: map[*listener]map[*conn]bool{}}
	for bound, limit := range map[string]*supply.Limit{"Sockets": opts.Sockets, "Memory": opts.Memory} {
		limit.OnFull(func() bool {
			t.mu.Lock()
			defer t.mu.Unlock()
			return t.closeAny(bound)
		})
	}
	return t
}

// Wrap returns a listener whose connections are bounded. name is that of the listener in logs and metrics, most the largest number of connections, 0
// for no bound. isTLS reports whether TLS is spoken above the listener.
func (t *Table) Wrap(l net.Listener, name string, most int, isTLS bool) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &listener{Listener: l, table: t, name: name, most: most, isTLS: isTLS}
	t.conns[out] = map[*conn]bool{}
	return out
}

// Serve makes a server report the states of its connections to the table. Call it before the server is started.
func (t *Table) Serve(s *http.Server) {
	handler, connContext := s.Handler, s.ConnContext
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(contextKey{}).(*conn); ok {
			if r, ok = c.beginRequest(r); !ok {
				// The connection is being closed to make room. A request that is handled now would run without a response.
				panic(http.ErrAbortHandler)
			}
		}
		handler.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		if own := find(c); own != nil {
			ctx = context.WithValue(ctx, contextKey{}, own)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if own := find(c); own != nil && state == http.StateIdle {
			own.setPhase(phaseIdle)
		}
	}
}

// beginRequest records that the head of a request is whole, and returns the request with a body that records its end. It returns false if the connection
// was closed to make room.
func (c *conn) beginRequest(r *http.Request) (*http.Request, bool) {
	if r.ContentLength == 0 {
		return r, c.setPhase(phaseServing)
	}
	if !c.setPhase(phaseBody) {
		return nil, false
	}
	// The server keeps the original request, whose body it reads to its end if the handler hasn't.
	own := *r
	own.Body = &body{ReadCloser: r.Body, conn: c, remaining: r.ContentLength}
	return &own, true
}

// body is the body of a request. It records when it was read to its end.
type body struct {
	io.ReadCloser
	conn *conn
	// remaining is the number of bytes that were not read yet, negative if it isn't known.
	remaining int64
	ended     bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.remaining >= 0 {
		b.remaining -= int64(n)
	}
	if !b.ended && (b.remaining == 0 || err == io.EOF) {
		b.ended = true
		if !b.conn.setPhase(phaseServing) {
			return 0, errNoRoom
		}
	}
	return n, err
}

type contextKey struct{}

// find returns the connection of a table below others that wrap it, nil if there is none.
func find(c net.Conn) *conn {
	for {
		switch outer := c.(type) {
		case *conn:
			return outer
		case *tls.Conn:
			c = outer.NetConn()
		case interface{ Unwrap() net.Conn }:
			c = outer.Unwrap()
		default:
			return nil
		}
	}
}

// listener is a listener of a table.
type listener struct {
	net.Listener
	table *Table
	name  string
	most  int
	isTLS bool
}

// connCost returns the memory of a connection without a request in bytes.
func (l *listener) connCost() int64 {
	if l.isTLS {
		return ConnCost + tlsCost
	}
	return ConnCost
}

// Accept implements net.Listener. Errors are those of the other listener: a server goes on after a temporary one only if it is not wrapped.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			if supply.IsExhausted(err) {
				l.table.opts.Sockets.Evict()
			}
			return nil, err
		}
		c := &conn{Conn: raw, listener: l, phase: phaseNew, since: time.Now()}
		if l.table.add(c) {
			return c, nil
		}
		_ = raw.Close()
	}
}

// add adds a connection, for which another one may be closed. It returns false if there is no room.
func (t *Table) add(c *conn) bool {
	l := c.listener
	t.mu.Lock()
	defer t.mu.Unlock()
	if l.most > 0 && len(t.conns[l]) >= l.most && !t.closeOne(l, "Connections") {
		t.count(l, "Connections", "Refused")
		return false
	}
	if !t.take("Sockets", t.opts.Sockets, l, 1) {
		return false
	}
	if !t.take("Memory", t.opts.Memory, l, l.connCost()) {
		t.opts.Sockets.Return(1)
		return false
	}
	t.conns[l][c] = true
	_ = c.applyDeadline()
	return true
}

// take takes n of a supply for a connection, for which others may be closed. It returns false if there is no room. The caller holds mu.
func (t *Table) take(bound string, from *supply.Limit, l *listener, n int64) bool {
	for !from.TakeIncoming(n) {
		if !t.closeAny(bound) {
			t.count(l, bound, "Refused")
			return false
		}
	}
	return true
}

// closeAny closes a connection of the listener that has the largest part of its connections open and one that may be closed. It returns false if there is
// none. The caller holds mu.
func (t *Table) closeAny(bound string) bool {
	all := slices.Collect(maps.Keys(t.conns))
	usage := func(l *listener) float64 {
		if l.most == 0 {
			return 0
		}
		return float64(len(t.conns[l])) / float64(l.most)
	}
	slices.SortFunc(all, func(a, b *listener) int { return cmp.Compare(usage(b), usage(a)) })
	for _, l := range all {
		if t.closeOne(l, bound) {
			return true
		}
	}
	return false
}

// closeOne closes a connection of a listener to make room. It returns false if all have requests in progress. The caller holds mu.
func (t *Table) closeOne(l *listener, bound string) bool {
	now := time.Now()
	states, conns := make([]State, 0, len(t.conns[l])), make([]*conn, 0, len(t.conns[l]))
	for c := range t.conns[l] {
		states, conns = append(states, c.state(now)), append(conns, c)
	}
	i, ok := Victim(states)
	if !ok {
		return false
	}
	t.closeFor(conns[i], bound)
	return true
}

// CloseReader closes the connection of the request whose body has been awaited for the longest time, unless that is a moment. It returns false if there is
// none.
func (t *Table) CloseReader() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var oldest *conn
	for _, all := range t.conns {
		for c := range all {
			if c.phase == phaseBody && now.Sub(c.since) >= freshTime && (oldest == nil || c.since.Before(oldest.since)) {
				oldest = c
			}
		}
	}
	if oldest == nil {
		return false
	}
	t.closeFor(oldest, "BodyMemory")
	return true
}

// closeFor closes a connection because of a bound. The caller holds mu.
func (t *Table) closeFor(c *conn, bound string) {
	t.count(c.listener, bound, "Closed")
	t.opts.Log.V(1).Info("connection closed to make room", "Listener", c.listener.name, "Bound", bound, "Phase", c.phase, "HeadMemory", c.cost)
	t.remove(c)
	go func() { _ = c.Conn.Close() }()
}

func (t *Table) count(l *listener, bound, result string) {
	t.opts.Scope.Tagged(map[string]string{"listener": l.name, "bound": bound, "result": result}).Counter("connections_bounded").Inc(1)
}

// remove removes a connection and what its head takes. The caller holds mu.
func (t *Table) remove(c *conn) {
	if t.conns[c.listener][c] {
		delete(t.conns[c.listener], c)
		t.opts.Sockets.Return(1)
		t.opts.Memory.Return(c.listener.connCost() + c.cost)
		t.headMemory -= c.cost
		c.cost = 0
	}
}

// grow adds what a connection's head takes. It returns false if the connection is to be closed: heads take too much memory, and no other one is larger.
func (t *Table) grow(c *conn, cost int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.conns[c.listener][c] {
		return false
	}
	c.cost += cost
	t.headMemory += cost
	t.opts.Memory.Add(cost)
	for t.opts.HeadMemory > 0 && t.headMemory > t.opts.HeadMemory {
		largest := t.largestHead()
		if largest == nil {
			largest = c
		}
		t.count(largest.listener, "HeadMemory", "Closed")
		t.remove(largest)
		if largest == c {
			return false
		}
		go func() { _ = largest.Conn.Close() }()
	}
	return true
}

// largestHead returns the connection whose head takes the most memory, of those without a request in progress. The caller holds mu.
func (t *Table) largestHead() *conn {
	var largest *conn
	for _, all := range t.conns {
		for c := range all {
			if c.phase.isHead() && c.cost > 0 && (largest == nil || c.cost > largest.cost) {
				largest = c
			}
		}
	}
	return largest
}

// conn is a connection of a table.
type conn struct {
	net.Conn
	listener *listener
	// writingSince is when the write in progress began, in nanoseconds after the table's start, 0 if there is none.
	writingSince atomic.Int64

	// The fields below are guarded by the table's lock.

	phase phase
	// since is when the phase began, headSince when the head that is being read began. cost is the memory that the head takes.
	since, headSince time.Time
	cost             int64
	// headBytes is the number of bytes that were read since the last request ended.
	headBytes int
	// readDeadline is the one that the server has set, appliedDeadline the one in force. hasWriteDeadline is set if there is one for writing.
	readDeadline, appliedDeadline time.Time
	hasWriteDeadline              bool
}

// phase is what a connection is doing.
type phase string

const (
	// phaseNew means that no whole request has come yet, phaseIdle that none is in progress, also while the head of the next one is being read, and
	// phaseBody that the body of a request has not been read to its end.
	phaseNew     phase = "New"
	phaseIdle    phase = "Idle"
	phaseBody    phase = "Body"
	phaseServing phase = "Serving"
)

// isHead reports whether what is read belongs to the head of a request.
func (p phase) isHead() bool { return p == phaseNew || p == phaseIdle }

// setPhase records what the connection does from now on. It returns false if the connection was closed to make room.
func (c *conn) setPhase(p phase) bool {
	t := c.listener.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.conns[c.listener][c] {
		return false
	}
	c.phase, c.since = p, time.Now()
	if p == phaseIdle {
		t.headMemory -= c.cost
		t.opts.Memory.Return(c.cost)
		c.cost, c.headBytes = 0, 0
	}
	if p != phaseIdle {
		_ = c.applyDeadline()
	}
	return true
}

// state returns the input of Victim. The caller holds the table's lock.
func (c *conn) state(now time.Time) State {
	s := State{Serving: c.phase == phaseServing, IsNew: c.phase == phaseNew, ReadsBody: c.phase == phaseBody, HeadMemory: c.cost, Since: c.since}
	if c.phase == phaseIdle && c.headBytes > 0 {
		s.Since = c.headSince
	}
	if at := c.writingSince.Load(); at > 0 {
		if since := c.listener.table.start.Add(time.Duration(at)); now.Sub(since) >= freshTime {
			s.WriteBlocked, s.Since = true, since
		}
	}
	s.IsFresh = now.Sub(s.Since) < freshTime
	return s
}

// effectiveDeadline returns the time by which something must be read: the one that the server has set, or the one that the phase sets if that is
// earlier. The caller holds the table's lock.
func (c *conn) effectiveDeadline() time.Time {
	opts, begin, timeout := c.listener.table.opts, c.since, time.Duration(0)
	switch {
	case c.phase == phaseIdle && c.headBytes > 0:
		begin, timeout = c.headSince, opts.HeadTimeout()
	case c.phase == phaseIdle:
		timeout = opts.IdleTimeout()
	case c.phase == phaseNew:
		timeout = opts.HeadTimeout()
	case c.phase == phaseBody:
		timeout = opts.BodyTimeout
	}
	own := begin.Add(timeout)
	if timeout <= 0 || !c.readDeadline.IsZero() && c.readDeadline.Before(own) {
		return c.readDeadline
	}
	return own
}

// applyDeadline puts the effective deadline in force. The caller holds the table's lock.
func (c *conn) applyDeadline() error {
	at := c.effectiveDeadline()
	if at.Equal(c.appliedDeadline) {
		return nil
	}
	c.appliedDeadline = at
	return c.Conn.SetReadDeadline(at)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	t := c.listener.table
	t.mu.Lock()
	defer t.mu.Unlock()
	c.readDeadline = at
	return c.applyDeadline()
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(at time.Time) error {
	t := c.listener.table
	t.mu.Lock()
	defer t.mu.Unlock()
	c.hasWriteDeadline = !at.IsZero()
	return c.Conn.SetWriteDeadline(at)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}

// Write implements net.Conn. Each part has a deadline, unless the handler has set one.
func (c *conn) Write(p []byte) (int, error) {
	t := c.listener.table
	t.mu.Lock()
	hasDeadline := c.hasWriteDeadline || t.opts.WriteTimeout <= 0
	t.mu.Unlock()
	defer c.writingSince.Store(0)
	n := 0
	for {
		part := p[n:min(n+writePartBytes, len(p))]
		now := time.Now()
		c.writingSince.Store(int64(now.Sub(t.start)))
		if !hasDeadline {
			_ = c.Conn.SetWriteDeadline(now.Add(t.opts.WriteTimeout))
		}
		written, err := c.Conn.Write(part)
		if n += written; err != nil || n == len(p) {
			return n, err
		}
	}
}

// errHeadTooLarge and errNoRoom end connections that a table closes. A server answers other errors of a read with status 400.
var (
	errHeadTooLarge = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head of the request is too large")}
	errNoRoom       = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection is closed to make room")}
)

// Read implements net.Conn. It counts what is read while no request is in progress as head.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	t := c.listener.table
	t.mu.Lock()
	isHead := c.phase.isHead()
	if isHead && n > 0 {
		c.headBytes += n
		if c.headBytes == n {
			c.headSince = time.Now()
			_ = c.applyDeadline()
		}
	}
	tooLarge := isHead && c.headBytes > headLimit(t.opts.MaxHeadBytes())
	t.mu.Unlock()
	switch {
	case !isHead || n == 0:
		return n, err
	case tooLarge:
		t.mu.Lock()
		t.count(c.listener, "HeadBytes", "Closed")
		t.mu.Unlock()
		c.refuse()
		return 0, errHeadTooLarge
	case !t.grow(c, int64(byteCost*n+lineCost*bytes.Count(p[:n], []byte{'\n'}))):
		return 0, errNoRoom
	}
	return n, err
}

// headLimit returns the size of a head at which its connection is closed. accepted is the largest size that is accepted, 0 if it is not known.
func headLimit(accepted int) int {
	if accepted <= 0 {
		accepted = http.DefaultMaxHeaderBytes
	}
	return max(maxHeadFactor*accepted, accepted+minHeadMargin)
}

// refuse writes the response to a head that is too large.
func (c *conn) refuse() {
	if c.listener.isTLS {
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// Close implements net.Conn.
func (c *conn) Close() error {
	t := c.listener.table
	t.mu.Lock()
	t.remove(c)
	t.mu.Unlock()
	return errors.WithStack(c.Conn.Close())
}
