package link_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"quetzalmount.dev/quetzalmount/internal/soak/link"
)

// newEchoLink starts a server that echoes every line, and returns a link to it.
func newEchoLink(t *testing.T) *link.Link {
	t.Helper()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	go func() {
		for {
			c, err := n.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewScanner(c)
				for r.Scan() {
					_, _ = fmt.Fprintln(c, r.Text())
				}
				_ = c.Close()
			}()
		}
	}()
	l, err := link.New(n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// lineConn is a connection through a link with a reader for lines.
type lineConn struct {
	c net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, l *link.Link) *lineConn {
	t.Helper()
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &lineConn{c, bufio.NewReader(c)}
}

// roundTrip sends a line and waits for its echo.
func (p *lineConn) roundTrip(timeout time.Duration) error {
	_ = p.c.SetDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintln(p.c, "x"); err != nil {
		return err
	}
	_, err := p.r.ReadString('\n')
	return err
}

const shortTimeout = 300 * time.Millisecond

// TestFaults checks that each fault of a link takes effect on its connections, so that the soak test does inject the faults that it plans.
func TestFaults(t *testing.T) {
	l := newEchoLink(t)
	p := dial(t, l)
	if err := p.roundTrip(shortTimeout); err != nil {
		t.Fatalf("link without a fault: %v", err)
	}
	l.Set(link.Fault{Delay: 100 * time.Millisecond})
	start := time.Now()
	if err := p.roundTrip(time.Second); err != nil || time.Since(start) < 200*time.Millisecond {
		t.Errorf("round trip with a delay of 100 ms each way: error %v after %v", err, time.Since(start))
	}
	for _, f := range []link.Fault{{CutUp: true}, {CutDown: true}} {
		l.Set(f)
		if err := p.roundTrip(shortTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("round trip with %+v: error %v, want a timeout", f, err)
		}
		l.Set(link.Fault{})
		_ = p.c.SetReadDeadline(time.Now().Add(shortTimeout))
		if _, err := p.r.ReadString('\n'); err != nil {
			t.Errorf("data held back by %+v did not arrive after the fault: %v", f, err)
		}
	}
	l.Silence()
	if err := p.roundTrip(shortTimeout); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("round trip on a silenced connection: error %v, want a timeout", err)
	}
	p = dial(t, l)
	if err := p.roundTrip(shortTimeout); err != nil {
		t.Errorf("new connection after a silenced one: %v", err)
	}
	l.Reset()
	if err := p.roundTrip(shortTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("round trip on a reset connection: error %v, want a closed connection", err)
	}
	l.Set(link.Fault{Refuse: true})
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		return // the connection was reset before Dial returned
	}
	defer func() { _ = c.Close() }()
	if err := (&lineConn{c, bufio.NewReader(c)}).roundTrip(shortTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("round trip on a refused connection: error %v, want a closed connection", err)
	}
}
