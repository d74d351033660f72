// Package ports finds loopback addresses for programs that tests and the soak start.
package ports

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// The ports lie below the range from which the system takes those of outgoing connections. A port from that range may be taken between
// its choice and its use, or while a program that used it restarts.
const firstPort, lastPort = 23000, 32000

// spread is the number of ports between the starts of two processes that look for ports at the same time, at least.
const spread = 4000

var (
	mu   sync.Mutex
	next = os.Getpid() % spread
	// held are the locks of the ports that this process has handed out.
	held []*os.File
)

// Free returns an address that nothing listens on. Until this process ends no other one that asks gets it, since the program that uses it
// may be restarting at the time.
func Free() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range lastPort - firstPort {
		next = (next + 1) % (lastPort - firstPort)
		port := firstPort + next
		lock, err := reserve(port)
		if err != nil {
			return "", err
		}
		if lock == nil {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			_ = lock.Close()
			continue
		}
		held = append(held, lock)
		return l.Addr().String(), errors.Wrap(l.Close(), "close listener")
	}
	return "", errors.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// reserve locks a port for this process. It returns nil if another one has it. The lock ends with the process.
func reserve(port int) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("quetzalmount-port-%d.lock", port)), os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return nil, errors.Wrap(err, "reserve port")
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, nil
		}
		return nil, errors.Wrap(err, "reserve port")
	}
	return f, nil
}
