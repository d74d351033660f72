// Package flood is a server that sends bytes without end, whatever is asked.
package flood

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Server sends bytes on each connection until the client closes it.
type Server struct {
	head, more string
	listener   net.Listener
	sent       atomic.Int64
}

// New starts a server on a free port of loopback. On each connection it sends head once and then repeats more.
func New(head, more string) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{head: head, more: more, listener: l}
	go s.accept()
	return s, nil
}

// Address returns the address of the server, of the form host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sent returns the number of bytes sent on all connections.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Close stops accepting connections. Open ones last until their clients close them.
func (s *Server) Close() error { return errors.Wrap(s.listener.Close(), "close listener") }

// accept serves connections until the listener is closed.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve sends on one connection until the client closes it.
func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	Send(countingWriter{c, &s.sent}, s.head, s.more)
}

// Send writes head once and then repeats more until a write fails.
func Send(w io.Writer, head, more string) {
	for text := head; ; text = more {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
	}
}

// countingWriter adds the number of bytes written to w to sent.
type countingWriter struct {
	w    io.Writer
	sent *atomic.Int64
}

func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
