package pool

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// errSealed is returned for a write on a connection whose request was already reported as not sent.
var errSealed = errors.New("connection closed before the request was written")

// conn counts the writes on a connection. A sealed conn refuses further writes, so that "nothing was sent" stays true
// even if a goroutine of the transport is about to write.
type conn struct {
	net.Conn

	mu     sync.Mutex
	writes int64
	sealed bool
}

// Write counts the write before it happens, because a failed write may have sent a part.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealUnless reports whether there were writes after the first base ones and seals the connection if not.
func (c *conn) sealUnless(base int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes > base {
		return true
	}
	c.sealed = true
	return false
}

type use struct {
	conn *conn
	base int64
}

// Trace follows one request through a Pool.
type Trace struct {
	mu   sync.Mutex
	uses []use
}

// Context returns a context for the request to be traced.
func (t *Trace) Context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		c, ok := i.Conn.(*conn)
		if !ok {
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.uses = append(t.uses, use{conn: c, base: c.count()})
	}})
}

// Sent reports whether any byte of the request may have been sent. After it returned false none will be: it makes the
// connection unusable. Call it only after RoundTrip returned an error.
func (t *Trace) Sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := false
	for _, u := range t.uses {
		if u.conn.sealUnless(u.base) {
			sent = true
		} else {
			_ = u.conn.Close()
		}
	}
	return sent
}

// CloseConns closes the connections that the request used, for answers that belong to another request.
func (t *Trace) CloseConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.uses {
		_ = u.conn.Close()
	}
}
