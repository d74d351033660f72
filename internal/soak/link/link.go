// Package link stands between two processes and harms their connections: it delays, resets, cuts one way or silences them.
package link

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"quetzalmount.dev/quetzalmount/internal/standin/ports"
)

// connectTime bounds the connecting to the process behind a link.
const connectTime = time.Second

// Fault is what a link does to all its connections, open and new ones.
type Fault struct {
	// Delay is how much later bytes arrive, each way.
	Delay time.Duration
	// CutUp holds what is sent to the process behind the link, CutDown what it sends back, as long as the fault lasts.
	CutUp, CutDown bool
	// Refuse resets new connections.
	Refuse bool
}

// Link forwards connections to a process. It is safe for concurrent use.
type Link struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
	pairs   map[*pair]bool
}

// New returns a link to an address.
func New(target string) (*Link, error) {
	a, err := ports.Free()
	if err != nil {
		return nil, err
	}
	n, err := net.Listen("tcp", a)
	if err != nil {
		return nil, errors.Wrap(err, "open link")
	}
	l := &Link{listener: n, target: target, changed: make(chan struct{}), pairs: map[*pair]bool{}}
	l.wg.Go(l.accept)
	return l, nil
}

// Address returns the address of the link.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes the fault of the link.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset resets all open connections.
func (l *Link) Reset() {
	for _, p := range l.open() {
		p.abort()
	}
}

// Silence makes all open connections carry nothing more, while new ones work.
func (l *Link) Silence() {
	for _, p := range l.open() {
		p.silence()
	}
}

func (l *Link) open() []*pair {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*pair, 0, len(l.pairs))
	for p := range l.pairs {
		out = append(out, p)
	}
	return out
}

// Close resets all connections and ends the link.
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
func (l *Link) serve(near *net.TCPConn) {
	l.mu.Lock()
	refuse := l.fault.Refuse
	l.mu.Unlock()
	if refuse {
		reset(near)
		return
	}
	c, err := net.DialTimeout("tcp", l.target, connectTime)
	if err != nil {
		reset(near)
		return
	}
	p := &pair{near: near, far: c.(*net.TCPConn), done: make(chan struct{}), silent: make(chan struct{})}
	l.mu.Lock()
	l.pairs[p] = true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(p, p.near, p.far, func(f Fault) bool { return f.CutUp }) })
	wg.Go(func() { l.pump(p, p.far, p.near, func(f Fault) bool { return f.CutDown }) })
	wg.Wait()
	p.abort()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// pump forwards one direction.
func (l *Link) pump(p *pair, from, to *net.TCPConn, cut func(Fault) bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !l.pass(p, cut) {
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				p.abort()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if l.pass(p, cut) {
				_ = to.CloseWrite()
			}
			return
		}
		if err != nil {
			p.abort()
			return
		}
	}
}

// pass waits until bytes may go on, and reports false if the connection ends before.
func (l *Link) pass(p *pair, cut func(Fault) bool) bool {
	for {
		l.mu.Lock()
		f, changed := l.fault, l.changed
		l.mu.Unlock()
		select {
		case <-p.silent:
			<-p.done
			return false
		default:
		}
		if !cut(f) {
			return p.sleep(f.Delay)
		}
		select {
		case <-changed:
		case <-p.silent:
		case <-p.done:
			return false
		}
	}
}

// pair is one connection through a link.
type pair struct {
	near, far *net.TCPConn
	// done ends when the connection was reset or is over, silent when it carries nothing more.
	done, silent     chan struct{}
	ending, quieting sync.Once
}

func (p *pair) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-p.done:
		return false
	}
}

func (p *pair) silence() { p.quieting.Do(func() { close(p.silent) }) }

func (p *pair) abort() {
	p.ending.Do(func() {
		close(p.done)
		reset(p.near)
		reset(p.far)
	})
}

// reset closes a connection so that the other side sees a reset if anything is left unread or unsent.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
