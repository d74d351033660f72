package retry

import (
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// FailuresToOpen is the number of consecutive failures of any kind after which the breaker of an endpoint opens.
	FailuresToOpen = 5
	// minOpenTime and maxOpenTime bound the time before a probe, which doubles with each failed probe.
	minOpenTime = time.Second
	maxOpenTime = 30 * time.Second
	// probeTimeout is the time after which another probe is allowed if the last one has not reported.
	probeTimeout = 10 * time.Second
	// MaxEntries bounds the endpoints whose failures are tracked; the target size has 3,200 engines.
	MaxEntries = 4096
)

// breaker is the circuit breaker of one endpoint whose last report was a failure. Other endpoints have none.
type breaker struct {
	failures    int
	openTime    time.Duration // time before the next probe, 0 while closed
	nextProbe   time.Time     // earliest time of the next probe
	probeID     int64         // number of the running probe, 0 for none
	lastFailure time.Time
}

// Breakers holds the circuit breakers of all endpoints. It is safe for concurrent use.
type Breakers struct {
	mu          sync.Mutex
	failing     map[qm.EndpointID]*breaker
	lastProbeID int64
}

// NewBreakers returns Breakers that are all closed.
func NewBreakers() *Breakers { return &Breakers{failing: make(map[qm.EndpointID]*breaker)} }

// Permit is the permission to send one request. Each permit must be ended by Report or Abandon.
type Permit struct {
	breakers *Breakers
	endpoint qm.EndpointID
	probeID  int64
}

// Allow reports whether a request may be sent to the endpoint. While the breaker is open it allows one probe at a time.
func (b *Breakers) Allow(id qm.EndpointID, now time.Time) (Permit, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := Permit{breakers: b, endpoint: id}
	br := b.failing[id]
	if br == nil || br.openTime == 0 {
		return p, true
	}
	if now.Before(br.nextProbe) {
		return Permit{}, false
	}
	b.lastProbeID++
	p.probeID, br.probeID = b.lastProbeID, b.lastProbeID
	br.nextProbe = now.Add(probeTimeout)
	return p, true
}

// Ready reports whether Allow would allow a request, without starting a probe.
func (b *Breakers) Ready(id qm.EndpointID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	br := b.failing[id]
	return br == nil || br.openTime == 0 || !now.Before(br.nextProbe)
}

// Begin returns a permit for a request that is sent even if the breaker is open, because no other endpoint is left. The request is a
// probe if the breaker allows one.
func (b *Breakers) Begin(id qm.EndpointID, now time.Time) Permit {
	if p, ok := b.Allow(id, now); ok {
		return p
	}
	return Permit{breakers: b, endpoint: id}
}

// Report records whether the request succeeded. Connection errors, timeouts, refused commands and stalled streams are failures.
func (p Permit) Report(ok bool, now time.Time) {
	b := p.breakers
	b.mu.Lock()
	defer b.mu.Unlock()
	br := b.failing[p.endpoint]
	if ok {
		delete(b.failing, p.endpoint)
		return
	}
	if br == nil {
		br = b.add(p.endpoint)
	}
	br.failures++
	br.lastFailure = now
	switch {
	case br.openTime > 0 && (p.probeID == 0 || p.probeID != br.probeID):
		// The request was no current probe, such as one sent before the breaker opened, so its failure changes nothing.
	case br.openTime > 0:
		br.openTime = min(2*br.openTime, maxOpenTime)
		br.nextProbe, br.probeID = now.Add(br.openTime), 0
	case br.failures >= FailuresToOpen:
		br.openTime = minOpenTime
		br.nextProbe = now.Add(br.openTime)
	}
}

// Abandon records that the request ended without a result. If it was the current probe, the next request becomes a probe.
func (p Permit) Abandon(now time.Time) {
	b := p.breakers
	b.mu.Lock()
	defer b.mu.Unlock()
	if br := b.failing[p.endpoint]; br != nil && p.probeID != 0 && p.probeID == br.probeID {
		br.nextProbe, br.probeID = now, 0
	}
}

// add adds a closed breaker for an endpoint. At MaxEntries it replaces the breaker with the oldest failure. The caller holds b.mu.
func (b *Breakers) add(id qm.EndpointID) *breaker {
	if len(b.failing) >= MaxEntries {
		var oldest qm.EndpointID
		var at time.Time
		for e, br := range b.failing {
			if at.IsZero() || br.lastFailure.Before(at) {
				oldest, at = e, br.lastFailure
			}
		}
		delete(b.failing, oldest)
	}
	br := &breaker{}
	b.failing[id] = br
	return br
}

// Failing returns the number of endpoints whose last report was a failure.
func (b *Breakers) Failing() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.failing)
}
