// Package rawsrv is a server whose connections are handled by a function, for responses that net/http doesn't write.
package rawsrv

import (
	"bufio"
	"net"

	"github.com/pkg/errors"
)

// Handler handles one connection. The reader reads from it. The connection is closed when Handler returns.
type Handler func(c net.Conn, in *bufio.Reader)

// Start serves on a free port of loopback and returns the address, of the form host:port. stop ends the listener; open connections last until
// their handlers return.
func Start(handle Handler) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "listen")
	}
	go Serve(l, handle)
	return l.Addr().String(), func() { _ = l.Close() }, nil
}

// Serve calls handle for each connection to l, in a goroutine of its own, until l is closed.
func Serve(l net.Listener, handle Handler) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			handle(c, bufio.NewReader(c))
		}()
	}
}
