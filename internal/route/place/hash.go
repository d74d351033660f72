package place

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
)

// HashShare is the part of a prompt that plain consistent hashing uses as its key. docs/PLACEMENT.md compares levels.
const HashShare = 0.7

// affinity returns the key of the longest prefix that covers at most share of the prompt, or that of the first step.
func affinity(r *qm.PlaceRequest, share float64) qm.PrefixKey {
	if len(r.Spans) == 0 {
		return 0
	}
	most := qm.Tokens(share * float64(r.PromptTokens))
	key := r.Spans[0].Key
	for _, s := range r.Spans {
		if s.End > most {
			break
		}
		key = s.Key
	}
	return key
}

// weigh combines a key with the hash of an engine's id into the engine's weight for the key. The engine with the highest
// weight is the key's home, so a change of the engines moves only the keys of the engines that changed.
func weigh(key qm.PrefixKey, engine uint64) uint64 {
	x := uint64(key) ^ engine
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// hash is plain consistent hashing by highest weight.
type hash struct {
	blind
	share float64
}

// Place implements quetzalmount.Placer.
func (h hash) Place(
	r *qm.PlaceRequest, engines []*qm.Endpoint, _ time.Time, _ *rand.Rand,
) (qm.Placement, bool) {
	state, n := tier(engines, r.Exclude)
	if n == 0 {
		return qm.Placement{}, false
	}
	key := affinity(r, h.share)
	var best *qm.Endpoint
	var top uint64
	for _, e := range engines {
		if !usable(e, state, r.Exclude) {
			continue
		}
		if w := weigh(key, xxhash.Sum64String(string(e.ID))); best == nil || w > top {
			best, top = e, w
		}
	}
	return qm.Placement{Endpoint: best, Incarnation: best.Incarnation, Reason: reasonHash}, true
}

// NewHash returns plain consistent hashing of the prefix that covers share of the prompt.
func NewHash(share float64) qm.Placer { return hash{share: share} }
