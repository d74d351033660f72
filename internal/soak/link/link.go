// Package link is a TCP proxy that injects network faults: it delays, resets, silences or refuses connections, or blocks one direction.
package link

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/standin/pauser"
	"quetzalmount.dev/quetzalmount/internal/standin/ports"
)

// connectTimeout limits the time to connect to the target of a link.
const connectTimeout = time.Second

// sendBuffer is the size in bytes of the send buffers to the target of a link.
const sendBuffer = 16 << 10

// Fault is a fault that applies to all open and new connections of a link.
type Fault struct {
	// Delay is added to the transfer of data in each direction.
	Delay time.Duration
	// CutUp holds back data sent to the target, CutDown data sent by it, until the fault ends.
	CutUp, CutDown bool
	// Refuse resets new connections.
	Refuse bool
}

// Link forwards connections to a target address. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	conns   map[*proxyConn]bool
}

// New returns a link to the address target. It listens on a free loopback port.
func New(target string) (*Link, error) {
	a, err := ports.Free()
	if err != nil {
		return nil, err
	}
	n, err := pauser.Listen(a)
	if err != nil {
		return nil, errors.WithMessage(err, "open link")
	}
	l := &Link{listener: n, target: target, changed: make(chan struct{}), conns: map[*proxyConn]bool{}}
	l.wg.Go(l.accept)
	return l, nil
}

// Address returns the address on which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set replaces the fault of the link. The zero Fault ends it.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all open connections.
func (l *Link) Reset() {
	for _, c := range l.openConns() {
		c.abort()
	}
}

// Silence stops forwarding on all open connections for good, without closing them. New connections are not affected.
func (l *Link) Silence() {
	for _, c := range l.openConns() {
		c.silence()
	}
}

func (l *Link) openConns() []*proxyConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*proxyConn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

// Close stops listening and resets all connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	l.Reset()
	l.wg.Wait()
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.wg.Go(func() { l.serve(c.(*net.TCPConn)) })
	}
}

// serve forwards one connection until it ends.
func (l *Link) serve(client *net.TCPConn) {
	l.mu.Lock()
	refuse := l.fault.Refuse
	l.mu.Unlock()
	if refuse {
		reset(client)
		return
	}
	server, err := net.DialTimeout("tcp", l.target, connectTimeout)
	if err != nil {
		reset(client)
		return
	}
	// A sender waits soon if the target doesn't read.
	_ = server.(*net.TCPConn).SetWriteBuffer(sendBuffer)
	c := &proxyConn{client: client, server: server.(*net.TCPConn), done: make(chan struct{}), silenced: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.forward(c, c.client, c.server, func(f Fault) bool { return f.CutUp }) })
	wg.Go(func() { l.forward(c, c.server, c.client, func(f Fault) bool { return f.CutDown }) })
	wg.Wait()
	c.abort()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// forward copies data from one side of a connection to the other until either ends. isCut reports whether a fault blocks this direction.
func (l *Link) forward(c *proxyConn, from, to *net.TCPConn, isCut func(Fault) bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !l.waitToForward(c, isCut) {
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				c.abort()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if l.waitToForward(c, isCut) {
				_ = to.CloseWrite()
			}
			return
		}
		if err != nil {
			c.abort()
			return
		}
	}
}

// waitToForward waits until data may be forwarded. It returns false if the connection ends before.
func (l *Link) waitToForward(c *proxyConn, isCut func(Fault) bool) bool {
	for {
		l.mu.Lock()
		f, changed := l.fault, l.changed
		l.mu.Unlock()
		select {
		case <-c.silenced:
			<-c.done
			return false
		default:
		}
		if !isCut(f) {
			return c.sleep(f.Delay)
		}
		select {
		case <-changed:
		case <-c.silenced:
		case <-c.done:
			return false
		}
	}
}

// proxyConn is one connection through a link, made of the connections to the client and to the server.
type proxyConn struct {
	client, server *net.TCPConn
	// done is closed when the connection is reset or has ended, silenced when it stops forwarding.
	done, silenced         chan struct{}
	abortOnce, silenceOnce sync.Once
}

func (c *proxyConn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.done:
		return false
	}
}

func (c *proxyConn) silence() { c.silenceOnce.Do(func() { close(c.silenced) }) }

func (c *proxyConn) abort() {
	c.abortOnce.Do(func() {
		close(c.done)
		reset(c.client)
		reset(c.server)
	})
}

// reset closes a connection with SO_LINGER 0, so that the other side sees a reset if data is left unread or unsent.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
