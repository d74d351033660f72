package pool

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// silentAfter returns a socket option for net.Dialer that ends a connection whose peer acknowledges nothing for d. It returns nil
// for 0.
func silentAfter(d time.Duration) func(network, address string, c syscall.RawConn) error {
	if d <= 0 {
		return nil
	}
	return func(_, address string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err == nil {
			err = set
		}
		return errors.Wrapf(err, "set the silence limit of a connection to %s", address)
	}
}
