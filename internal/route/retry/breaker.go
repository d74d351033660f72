package retry

import (
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// FailuresToOpen is the number of consecutive failures of any kind after which an endpoint gets only probes.
	FailuresToOpen = 5
	// firstOpen and maxOpen bound the time before a probe, which doubles with each failed probe.
	firstOpen = time.Second
	maxOpen   = 30 * time.Second
	// probeTime is when a probe without a report no longer keeps others from probing.
	probeTime = 10 * time.Second
	// MaxEntries bounds the endpoints with failures that are remembered; the target size has 3,200 engines.
	MaxEntries = 4096
)

// state is kept only for endpoints whose last report was a failure.
type state struct {
	failures int
	open     time.Duration // 0 while closed
	until    time.Time     // next probe
	probe    int64         // number of the probe that runs, 0 for none
	failed   time.Time
}

// Breakers holds the circuit breaker of every endpoint.
type Breakers struct {
	mu     sync.Mutex
	states map[qm.EndpointID]*state
	probes int64
}

// NewBreakers returns breakers that are all closed.
func NewBreakers() *Breakers { return &Breakers{states: make(map[qm.EndpointID]*state)} }

// Permit is the permission to send one request. Its outcome must be reported.
type Permit struct {
	breakers *Breakers
	endpoint qm.EndpointID
	probe    int64
}

// Allow reports whether a request may be sent to the endpoint. While the breaker is open only one probe at a time may.
func (b *Breakers) Allow(id qm.EndpointID, now time.Time) (Permit, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := Permit{breakers: b, endpoint: id}
	s := b.states[id]
	if s == nil || s.open == 0 {
		return p, true
	}
	if now.Before(s.until) {
		return Permit{}, false
	}
	b.probes++
	p.probe, s.probe = b.probes, b.probes
	s.until = now.Add(probeTime)
	return p, true
}

// Ready reports whether Allow would let a request through, without taking the probe of an open breaker.
func (b *Breakers) Ready(id qm.EndpointID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[id]
	return s == nil || s.open == 0 || !now.Before(s.until)
}

// Begin returns the permission for a request that is sent in any case, because no other endpoint is left. It is a probe if
// the breaker lets one through.
func (b *Breakers) Begin(id qm.EndpointID, now time.Time) Permit {
	if p, ok := b.Allow(id, now); ok {
		return p
	}
	return Permit{breakers: b, endpoint: id}
}

// Report tells whether the request succeeded. Connect errors, timeouts, refused commands and stalled streams are failures.
func (p Permit) Report(ok bool, now time.Time) {
	b := p.breakers
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[p.endpoint]
	if ok {
		delete(b.states, p.endpoint)
		return
	}
	if s == nil {
		s = b.add(p.endpoint)
	}
	s.failures++
	s.failed = now
	switch {
	case s.open > 0 && (p.probe == 0 || p.probe != s.probe):
		// The request was sent before the breaker opened; it tells nothing new.
	case s.open > 0:
		s.open = min(2*s.open, maxOpen)
		s.until, s.probe = now.Add(s.open), 0
	case s.failures >= FailuresToOpen:
		s.open = firstOpen
		s.until = now.Add(s.open)
	}
}

// Abandon tells that the request ended without a result. If it was a probe, the next request is one again.
func (p Permit) Abandon(now time.Time) {
	b := p.breakers
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.states[p.endpoint]; s != nil && p.probe != 0 && p.probe == s.probe {
		s.until, s.probe = now, 0
	}
}

// add returns a new state, in place of the one whose failure is the oldest if there are too many. The caller holds b.mu.
func (b *Breakers) add(id qm.EndpointID) *state {
	if len(b.states) >= MaxEntries {
		var oldest qm.EndpointID
		var at time.Time
		for e, s := range b.states {
			if at.IsZero() || s.failed.Before(at) {
				oldest, at = e, s.failed
			}
		}
		delete(b.states, oldest)
	}
	s := &state{}
	b.states[id] = s
	return s
}

// Len returns the number of endpoints whose last report was a failure.
func (b *Breakers) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.states)
}
