// Package ports finds loopback addresses for programs that tests and the soak start.
package ports

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// The ports lie below the range from which the system takes those of outgoing connections. A port from that range may be taken between
// its choice and its use, or while a program that used it restarts.
const firstPort, lastPort = 23000, 32000

// spread is the number of ports between the starts of two processes that look for ports at the same time, at least.
const spread = 4000

var next atomic.Int64

func init() { next.Store(int64(os.Getpid() % spread)) }

// Free returns an address that nothing listens on.
func Free() (string, error) {
	for range lastPort - firstPort {
		port := firstPort + next.Add(1)%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return l.Addr().String(), errors.Wrap(l.Close(), "close listener")
		}
	}
	return "", errors.Errorf("no free port from %d to %d", firstPort, lastPort)
}
