package place

import (
	"math/rand/v2"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// pair takes the less loaded of the two engines with the highest weights: the power of two choices with affinity. It is no
// baseline of the design; docs/PLACEMENT.md weighs it.
type pair struct {
	*least
	share float64
}

// NewPair returns the choice between the first two engines by rendezvous hash of the prefix that covers share of the prompt.
func NewPair(share float64) qm.Placer { return &pair{least: newLeast(), share: share} }

// Place implements quetzalmount.Placer.
func (p *pair) Place(
	r *qm.PlaceRequest, engines []*qm.Endpoint, now time.Time, _ *rand.Rand,
) (qm.Placement, bool) {
	state, n := tier(engines, r.Exclude)
	if n == 0 {
		return qm.Placement{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fleet.sync(engines, now)
	key := affinity(r, p.share)
	var two homes
	two.begin(2)
	for i, e := range engines {
		if usable(e, state, r.Exclude) {
			two.offer(weigh(key, p.fleet.at(i).hash), i)
		}
	}
	at := two.places[0]
	if two.n > 1 && p.fleet.at(two.places[1]).load() < p.fleet.at(at).load() {
		at = two.places[1]
	}
	return qm.Placement{Endpoint: engines[at], Incarnation: engines[at].Incarnation, Reason: reasonHash}, true
}
