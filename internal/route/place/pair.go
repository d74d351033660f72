package place

import (
	"math/rand/v2"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// pair chooses the engine with fewer requests among the two with the highest rendezvous weights: the power of two
// choices with prefix affinity. It is not one of the Policies; docs/PLACEMENT.md compares it with them.
type pair struct {
	*least
	share float64
}

// NewPair returns a placer that chooses between the first two engines by rendezvous hash of the prefix that covers
// share of the prompt.
func NewPair(share float64) qm.Placer { return &pair{least: newLeast(), share: share} }

// Place implements quetzalmount.Placer.
func (p *pair) Place(
	r *qm.PlaceRequest, engines []*qm.Endpoint, now time.Time, _ *rand.Rand,
) (qm.Placement, bool) {
	state, n := candidateState(engines, r.Exclude)
	if n == 0 {
		return qm.Placement{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.sync(engines, now)
	key := affinityKey(r, p.share)
	var two homes
	two.begin(2)
	for i, e := range engines {
		if usable(e, state, r.Exclude) {
			two.add(rendezvousWeight(key, p.fleet.engineAt(i).hash), i)
		}
	}
	at := two.positions[0]
	if two.n > 1 && p.fleet.engineAt(two.positions[1]).load() < p.fleet.engineAt(at).load() {
		at = two.positions[1]
	}
	return qm.Placement{Endpoint: engines[at], Incarnation: engines[at].Incarnation, Reason: reasonHash}, true
}
