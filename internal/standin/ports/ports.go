// Package ports allocates loopback addresses for the programs that tests and the soak start.
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

// The ports are below the kernel's ephemeral port range. An outgoing connection could take a port of that range before the
// program listens on it, or while the program restarts.
const firstPort, lastPort = 23000, 32000

// spread is the number of ports between the starts of two processes that look for ports at the same time, at least.
const spread = 4000

var (
	mu        sync.Mutex
	nextIndex = os.Getpid() % spread
	// locks are the lock files of the ports that this process has allocated. They stay open until the process ends.
	locks []*os.File
)

// Free returns a loopback address that no program listens on. Until this process ends, Free doesn't return the address again,
// in this or any other process, since the program that uses it may be restarting.
func Free() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for range lastPort - firstPort {
		nextIndex = (nextIndex + 1) % (lastPort - firstPort)
		port := firstPort + nextIndex
		lock, err := lockPort(port)
		if err != nil {
			return "", err
		}
		if lock == nil {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		inUse, err := isInUse(address)
		if inUse || err != nil {
			_ = lock.Close()
			if err != nil {
				return "", err
			}
			continue
		}
		locks = append(locks, lock)
		return address, nil
	}
	return "", errors.Errorf("no free port from %d to %d", firstPort, lastPort)
}

// isInUse reports whether a program listens on an address.
func isInUse(address string) (bool, error) {
	// A child of this process that is forked while the listener is open keeps it open until it has executed its program.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return true, nil
	}
	return false, errors.Wrap(l.Close(), "close listener")
}

// lockPort locks a port for this process with a lock file. It returns nil if the port is locked already. The lock is released
// when the file is closed or the process ends.
func lockPort(port int) (*os.File, error) {
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
