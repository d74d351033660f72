package pool

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// errWriteBlocked is returned by writes to a connection whose request was already reported as not sent.
var errWriteBlocked = errors.New("connection closed before the request was written")

// conn counts the writes to a connection and can block further ones, so that a report that nothing was sent stays true
// even if a goroutine of the transport is about to write.
type conn struct {
	net.Conn
	upload upload
	// socket is the socket that the connection took. It is returned once.
	socket sync.Once

	mu      sync.Mutex
	writes  int64
	blocked bool
}

func newConn(c net.Conn) *conn { return &conn{Conn: c} }

// Write implements net.Conn. It counts the write before it starts, because a failed write may have sent some bytes.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.blocked {
		c.mu.Unlock()
		return 0, errWriteBlocked
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) writeCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockUnlessWritten reports whether there were writes after the first writesBefore, and blocks further writes if not.
func (c *conn) blockUnlessWritten(writesBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes > writesBefore {
		return true
	}
	c.blocked = true
	return false
}

// connUse is the use of a connection by a request, which started after writesBefore writes to it. reused reports whether the connection had
// carried another request before.
type connUse struct {
	conn         *conn
	writesBefore int64
	reused       bool
}

// Trace records the connections that a Pool used for one request.
type Trace struct {
	// ID identifies the request in its response. It is empty if the response does not carry an ID.
	ID string
	// Unique is set if no other request has the ID, so that the Pool need not remember it.
	Unique bool

	mu   sync.Mutex
	uses []connUse
	// sentBefore is the number of earlier requests with the same ID to the same address.
	sentBefore int
}

type traceKey struct{}

// traceOf returns the Trace of a request's context, nil if it has none.
func traceOf(ctx context.Context) *Trace {
	t, _ := ctx.Value(traceKey{}).(*Trace)
	return t
}

// Context returns a copy of ctx that makes a request record its connections in t.
func (t *Trace) Context(ctx context.Context) context.Context {
	ctx = context.WithValue(ctx, traceKey{}, t)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, isTLS := baseConn(i.Conn)
		if c == nil {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		use := connUse{conn: c, writesBefore: c.writeCount()}
		// A TLS handshake writes too.
		use.reused = i.Reused && (isTLS || use.writesBefore > 0)
		t.uses = append(t.uses, use)
	}})
}

// Sent reports whether any byte of the request may have been sent. Before it returns false it blocks and closes the
// connections, so that no byte is sent later either. Call it only after RoundTrip has returned an error.
func (t *Trace) Sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := false
	for _, u := range t.uses {
		if u.conn.blockUnlessWritten(u.writesBefore) {
			sent = true
		} else {
			_ = u.conn.Close()
		}
	}
	return sent
}

// Reused reports whether the request was sent on a connection that had carried another one before.
func (t *Trace) Reused() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.uses) > 0 && t.uses[len(t.uses)-1].reused
}

// CheckID returns an error that wraps quetzalmount.ErrWrongRequest, and closes the connections, if a response with the ID got may belong to
// another request. It accepts a response without an ID on a connection that has carried no other request.
func (t *Trace) CheckID(got string) error {
	if got == t.ID || got == "" && !t.Reused() {
		return nil
	}
	t.CloseConns()
	return errors.Wrapf(qm.ErrWrongRequest, "answer has id %q, want %q", got, t.ID)
}

// SentBefore reports whether the Pool had sent a request with the same ID to the same address since it began to open the connections that it
// uses now, which is at most MaxAge ago.
func (t *Trace) SentBefore() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sentBefore > 0
}

func (t *Trace) setSentBefore(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentBefore = n
}

// CloseConns closes the connections that the request used. Use it if a response belongs to another request, since later
// responses on that connection may be mismatched too, or if a response cannot be read to its end.
func (t *Trace) CloseConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.uses {
		_ = u.conn.Close()
	}
}
