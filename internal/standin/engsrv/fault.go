package engsrv

import (
	"math"
	"time"
)

// Kinds of connection faults.
const (
	// FaultStall sends nothing more and keeps the connection open.
	FaultStall = "Stall"
	// FaultTruncate ends the connection.
	FaultTruncate = "Truncate"
	// FaultDuplicate sends a chunk twice.
	FaultDuplicate = "Duplicate"
	// FaultSkip leaves a chunk out.
	FaultSkip = "Skip"
	// FaultCrossed goes on with the answer to another request, with that request's id.
	FaultCrossed = "Crossed"
	// FaultCrash crashes the engine.
	FaultCrash = "Crash"
)

// ConnFault is a fault of one stream connection.
type ConnFault struct {
	Kind string
	// After is the number of chunks sent on the connection before the fault. With 0, a crossed answer carries the wrong id
	// in its headers too.
	After int64
}

// Faults are switched on and off while the engine runs.
type Faults struct {
	// Connections are taken by the next stream connections, one each. An entry of another kind than those above does nothing,
	// so it can be used to let a connection pass.
	Connections []ConnFault
	// Slow multiplies all computing times; 0 means 1.
	Slow float64
	// RefuseCommands makes PUT /v1/desired answer 503.
	RefuseCommands bool
	// RefuseRequests makes completions answer 503.
	RefuseRequests bool
	// EventLoss is the share of cache events, 0 to 1, that are lost.
	EventLoss float64
	// Crash and Stall happen once, when the faults are set. The engine is down for DownMs after a crash, in milliseconds.
	Crash, Stall bool
	DownMs       int64
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	crash, stall, down := f.Crash, f.Stall, time.Duration(f.DownMs)*time.Millisecond
	f.Crash, f.Stall, f.DownMs = false, false, 0
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	if stall {
		s.Stall()
	}
	if crash {
		s.Crash(down)
	}
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) slowness() float64 {
	if f := s.Faults().Slow; f > 0 && !math.IsInf(f, 0) {
		return f
	}
	return 1
}

func (s *Server) loses() bool {
	share := s.Faults().EventLoss
	return share > 0 && s.opts.Random() < share
}

// nextFault takes the fault of a new stream connection, and the channel that is closed when open connections stall.
func (s *Server) nextFault() (ConnFault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.faults.Connections) == 0 {
		return ConnFault{}, s.stalled
	}
	f := s.faults.Connections[0]
	s.faults.Connections = s.faults.Connections[1:]
	return f, s.stalled
}
