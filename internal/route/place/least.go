package place

import (
	"math/rand/v2"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// least chooses the endpoint with the fewest requests.
type least struct {
	mu    sync.Mutex
	fleet *fleet
}

// NewLeast returns a placer that chooses the endpoint with the fewest requests.
func NewLeast() qm.Placer { return newLeast() }

func newLeast() *least { return &least{fleet: newFleet()} }

// Place implements quetzalmount.Placer.
func (l *least) Place(
	r *qm.PlaceRequest, engines []*qm.Endpoint, now time.Time, rnd *rand.Rand,
) (qm.Placement, bool) {
	state, n := candidateState(engines, r.Exclude)
	if n == 0 {
		return qm.Placement{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.sync(engines, now)
	var best *qm.Endpoint
	low, ties := 0, 0
	for i, e := range engines {
		if !usable(e, state, r.Exclude) {
			continue
		}
		load := l.fleet.engineAt(i).load()
		if best == nil || load < low {
			best, low, ties = e, load, 1
		} else if load == low {
			if ties++; rnd.IntN(ties) == 0 {
				best = e
			}
		}
	}
	return qm.Placement{Endpoint: best, Incarnation: best.Incarnation, Reason: reasonLeast}, true
}

// Dispatched implements quetzalmount.Placer.
func (l *least) Dispatched(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.recordDispatch(r, d, now)
}

// FirstToken implements quetzalmount.Placer.
func (l *least) FirstToken(r *qm.PlaceRequest, d qm.Placement, _ qm.Tokens, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.recordPrefill(r, d)
}

// Finished implements quetzalmount.Placer.
func (l *least) Finished(r *qm.PlaceRequest, d qm.Placement, _ time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.recordEnd(r, d)
}
