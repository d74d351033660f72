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

// echo starts a server that sends every line back, and a link to it.
func echo(t *testing.T) *link.Link {
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

// peer is a connection through a link.
type peer struct {
	c net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, l *link.Link) *peer {
	t.Helper()
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &peer{c, bufio.NewReader(c)}
}

// ask sends a line and waits for it to come back.
func (p *peer) ask(limit time.Duration) error {
	_ = p.c.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintln(p.c, "x"); err != nil {
		return err
	}
	_, err := p.r.ReadString('\n')
	return err
}

const quick = 300 * time.Millisecond

// TestFaults guards against a soak that believes to do harm and does none.
func TestFaults(t *testing.T) {
	l := echo(t)
	p := dial(t, l)
	if err := p.ask(quick); err != nil {
		t.Fatalf("a sound link: %v", err)
	}
	l.Set(link.Fault{Delay: 100 * time.Millisecond})
	began := time.Now()
	if err := p.ask(time.Second); err != nil || time.Since(began) < 200*time.Millisecond {
		t.Errorf("a delay of 100 ms each way: %v after %v", err, time.Since(began))
	}
	for _, f := range []link.Fault{{CutUp: true}, {CutDown: true}} {
		l.Set(f)
		if err := p.ask(quick); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%+v: %v, want silence", f, err)
		}
		l.Set(link.Fault{})
		_ = p.c.SetReadDeadline(time.Now().Add(quick))
		if _, err := p.r.ReadString('\n'); err != nil {
			t.Errorf("%+v: what was held back did not arrive: %v", f, err)
		}
	}
	l.Silence()
	if err := p.ask(quick); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a silenced connection: %v", err)
	}
	p = dial(t, l)
	if err := p.ask(quick); err != nil {
		t.Errorf("a new connection beside a silenced one: %v", err)
	}
	l.Reset()
	if err := p.ask(quick); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a reset connection: %v", err)
	}
	l.Set(link.Fault{Refuse: true})
	c, err := net.Dial("tcp", l.Address())
	if err != nil {
		return // the reset came before the call returned
	}
	defer func() { _ = c.Close() }()
	if err := (&peer{c, bufio.NewReader(c)}).ask(quick); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("a refused connection: %v", err)
	}
}
