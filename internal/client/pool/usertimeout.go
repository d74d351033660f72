package pool

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// userTimeoutControl returns a net.Dialer Control function that sets TCP_USER_TIMEOUT to d, or nil if d is not positive.
func userTimeoutControl(d time.Duration) func(network, address string, c syscall.RawConn) error {
	if d <= 0 {
		return nil
	}
	return func(_, address string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err == nil {
			err = sockErr
		}
		return errors.Wrapf(err, "set TCP_USER_TIMEOUT on a connection to %s", address)
	}
}
