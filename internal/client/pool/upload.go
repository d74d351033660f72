package pool

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/limit/supply"
)

// errUploadCut is returned in place of the end of a connection whose request was not written to its end.
var errUploadCut = errors.Wrap(io.ErrUnexpectedEOF, "connection ended before the request was written")

// upload is the state of the request that is written to a connection.
//
// A response that has neither a length nor chunks ends with its connection. If the server resets the connection while the request is being
// written, the write may take the error, and the next read reports an end in order. The end of a connection therefore counts only once the request
// is written.
type upload struct {
	mu sync.Mutex
	// done is closed when the request is written or the connection is closed; nil if no request has begun.
	done chan struct{}
	// written is set once the request is written to its end.
	written bool
}

// begin records that a request is about to be written.
func (u *upload) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.done, u.written = make(chan struct{}), false
}

// end records that the request is written to its end, or won't be.
func (u *upload) end(written bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.done == nil {
		return
	}
	select {
	case <-u.done:
	default:
		u.written = written
		close(u.done)
	}
}

// wait waits until the request is written or the connection is closed, and reports whether it was written.
func (u *upload) wait() bool {
	u.mu.Lock()
	done := u.done
	u.mu.Unlock()
	if done == nil {
		return true
	}
	<-done
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.written
}

// Read implements net.Conn. The end of the connection is an error unless the request was written to its end.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && !c.upload.wait() {
		return n, errUploadCut
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	defer c.upload.end(false)
	defer c.socket.Do(func() { supply.Sockets.Return(1) })
	return errors.WithStack(c.Conn.Close())
}

// baseConn returns the connection of a Pool below TLS, nil if there is none.
func baseConn(c net.Conn) (base *conn, isTLS bool) {
	encrypted, isTLS := c.(*tls.Conn)
	if isTLS {
		c = encrypted.NetConn()
	}
	base, _ = c.(*conn)
	return base, isTLS
}

// ErrStatus is wrapped by errors for responses whose status is not a final one.
var ErrStatus = errors.New("response has no final status")

// send sends a request, and returns an error for a response whose status is not a final one. net/http reads any three digits as a status, and
// can't write one below 100.
func send(t *http.Transport, r *http.Request) (*http.Response, error) {
	var mu sync.Mutex
	var last *conn
	resp, err := t.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			c, _ := baseConn(i.Conn)
			if c != nil {
				c.upload.begin()
			}
			mu.Lock()
			defer mu.Unlock()
			last = c
		},
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			mu.Lock()
			defer mu.Unlock()
			if last != nil {
				last.upload.end(i.Err == nil)
			}
		},
	})))
	if err != nil || resp.StatusCode >= http.StatusOK && resp.StatusCode <= maxStatus {
		return resp, err
	}
	_ = resp.Body.Close()
	mu.Lock()
	defer mu.Unlock()
	if last != nil {
		_ = last.Close()
	}
	return nil, errors.Wrapf(ErrStatus, "status %03d", resp.StatusCode)
}

// maxStatus is the highest final status.
const maxStatus = 599
