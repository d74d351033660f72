package server

import (
	"bufio"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/entry/conns"
	"quetzalmount.dev/quetzalmount/internal/infra/conf"
	"quetzalmount.dev/quetzalmount/internal/limit/supply"
)

const (
	// memoryLimitFraction is the Go runtime's soft memory limit as a fraction of the process's memory.
	memoryLimitFraction = 0.6
	// supplyFraction is the part of the memory for connections, requests in progress and their bodies.
	supplyFraction = 0.4
	// headMemoryDivisor and connMemoryDivisor give the parts of the memory for heads and for connections of callers.
	headMemoryDivisor = 8
	connMemoryDivisor = 4
	// reservedFiles is the number of descriptors for files, listeners and the runtime.
	reservedFiles = 32
	// callerSocketsDivisor gives the part of the sockets for callers: each of their requests needs another socket. peerConnsDivisor gives the number of
	// connections of other routers from that of callers.
	callerSocketsDivisor = 2
	peerConnsDivisor     = 2
	// maxOperatorConns is the number of connections of operators, which are people and programs that collect metrics.
	maxOperatorConns = 64
	// defaultMemory is the memory of a process in bytes if that of the machine can't be read.
	defaultMemory = 1 << 30
)

// resources are what a process may use.
type resources struct {
	// memory is in bytes. sockets is 0 if there is no bound.
	memory  int64
	sockets int
}

// resourcesOf returns what the settings allow, or what the machine has.
func resourcesOf(s *conf.Settings) resources {
	r := resources{memory: int64(s.MemoryMB) << 20, sockets: s.Descriptors}
	if r.memory == 0 {
		r.memory = machineMemory() / 2
	}
	if r.sockets == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < 1<<31 {
			r.sockets = int(limit.Cur)
		}
	}
	if r.sockets > 0 {
		r.sockets = max(r.sockets-reservedFiles, 1)
	}
	return r
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory() int64 {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return defaultMemory // other systems than Linux
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		if kb, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
			return kb << 10
		}
	}
	return defaultMemory
}

// apply makes the process keep to its resources.
func (r resources) apply() {
	debug.SetMemoryLimit(int64(float64(r.memory) * memoryLimitFraction))
	pool.EndpointBudget.SetMemory(r.memory)
	pool.ControlBudget.SetMemory(r.memory)
	supply.Sockets.SetMax(int64(r.sockets))
	supply.Memory.SetMax(int64(float64(r.memory) * supplyFraction))
}

// maxCallerConns returns the number of connections of callers, of which the settings allow most.
func (r resources) maxCallerConns(most int) int {
	n := min(most, int(r.memory/connMemoryDivisor/conns.ConnCost))
	if r.sockets > 0 {
		n = min(n, r.sockets/callerSocketsDivisor)
	}
	return max(n, 1)
}

// newTable returns the table of the connections of all listeners.
func (r resources) newTable(s *conf.Settings, scope tally.Scope, log logr.Logger) *conns.Table {
	return conns.New(conns.Options{
		HeadMemory: r.memory / headMemoryDivisor, MaxHeadBytes: func() int { return maxHeaderBytes },
		BodyTimeout: s.ReadBodyTimeout, WriteTimeout: s.WriteStallTimeout, Sockets: supply.Sockets, Memory: supply.Memory,
		Scope: scope, Log: log,
	})
}
