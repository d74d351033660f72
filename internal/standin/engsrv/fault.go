package engsrv

import (
	"math"
	"time"

	"quetzalmount.dev/quetzalmount/internal/standin/pauser"
)

// Kinds of connection faults.
const (
	// FaultStall stops sending and keeps the connection open.
	FaultStall = "Stall"
	// FaultTruncate closes the connection in the middle of the answer.
	FaultTruncate = "Truncate"
	// FaultDuplicate sends one chunk twice.
	FaultDuplicate = "Duplicate"
	// FaultSkip omits one chunk.
	FaultSkip = "Skip"
	// FaultCrossed continues with the answer to another request, under that request's ID.
	FaultCrossed = "Crossed"
	// FaultCrash crashes the engine.
	FaultCrash = "Crash"
)

// ConnFault is a fault injected into one stream connection.
type ConnFault struct {
	Kind string
	// After is the number of chunks sent on the connection before the fault. If it is 0, a crossed answer has the wrong
	// request ID in its headers as well.
	After int64
}

// Faults configures fault injection. It can be changed while the engine runs.
type Faults struct {
	// Connections are consumed by the next stream connections, one each. An entry of any other kind than those above does
	// nothing and leaves its connection undisturbed.
	Connections []ConnFault
	// Slow is the factor applied to all computing times; 0 means 1.
	Slow float64
	// RefuseCommands makes PUT /v1/desired answer 503.
	RefuseCommands bool
	// RefuseRequests makes completions answer 503.
	RefuseRequests bool
	// EventLoss is the fraction of cache events that are lost, from 0 to 1.
	EventLoss float64
	// Crash and Stall take effect once, when the faults are set. DownMs is the downtime after a crash in milliseconds.
	Crash, Stall bool
	DownMs       int64
	// Silence makes the engine pause at any byte of some exchanges and go on, if it is served with the pauses of Server.Silence.
	Silence pauser.Options
}

// SetFaults replaces the injected faults, and crashes or stalls the engine if f says so.
func (s *Server) SetFaults(f Faults) {
	crash, stall, downtime := f.Crash, f.Stall, time.Duration(f.DownMs)*time.Millisecond
	f.Crash, f.Stall, f.DownMs = false, false, 0
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.Silence.Set(f.Silence)
	if stall {
		s.Stall()
	}
	if crash {
		s.Crash(downtime)
	}
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// slowFactor returns the factor applied to computing times.
func (s *Server) slowFactor() float64 {
	if f := s.Faults().Slow; f > 0 && !math.IsInf(f, 0) {
		return f
	}
	return 1
}

// losesEvent decides at random whether the next cache event is lost.
func (s *Server) losesEvent() bool {
	lossRate := s.Faults().EventLoss
	return lossRate > 0 && s.opts.Random() < lossRate
}

// takeConnFault removes and returns the fault for a new stream connection, if any. It also returns the channel that is
// closed when the open connections stall.
func (s *Server) takeConnFault() (ConnFault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults.Connections) == 0 {
		return ConnFault{}, s.stalled
	}
	f := s.faults.Connections[0]
	s.faults.Connections = s.faults.Connections[1:]
	return f, s.stalled
}
