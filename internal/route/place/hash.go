package place

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
)

// HashShare is the default part of a prompt, from 0 to 1, whose prefix is the key of rendezvous hashing.
// docs/PLACEMENT.md compares other values.
const HashShare = 0.7

// affinityKey returns the key of the longest prefix that covers at most share of the prompt, or that of the shortest
// prefix if none does. It returns 0 for a prompt without prefix spans.
func affinityKey(r *qm.PlaceRequest, share float64) qm.PrefixKey {
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

// rendezvousWeight combines a key with the hash of an engine's ID into the engine's weight for the key. The engine
// with the highest weight is the key's home, so a change in the set of engines moves only the keys of the engines
// that changed.
func rendezvousWeight(key qm.PrefixKey, engine uint64) uint64 {
	x := uint64(key) ^ engine
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	return x ^ x>>32
}

// speedWeight adapts the weight of an engine, so that faster engines are the homes of more prefixes: in proportion to the square of their speed, since
// a prompt takes less of their time and the prompts behind it wait for less. It is the same for an engine without a reported slowness.
func speedWeight(weight uint64, slowness float64) uint64 {
	if slowness <= 0 {
		return weight
	}
	u := (float64(weight) + 0.5) / math.Exp2(64)
	return uint64(math.Min(math.Pow(u, slowness*slowness)*math.Exp2(64), math.Exp2(64)-math.Exp2(11)))
}

// hash implements plain rendezvous hashing.
type hash struct {
	noFeedback
	share float64
}

// Place implements quetzalmount.Placer.
func (h hash) Place(
	r *qm.PlaceRequest, engines []*qm.Endpoint, _ time.Time, _ *rand.Rand,
) (qm.Placement, bool) {
	state, n := candidateState(engines, r.Exclude)
	if n == 0 {
		return qm.Placement{}, false
	}
	key := affinityKey(r, h.share)
	var best *qm.Endpoint
	var top uint64
	for _, e := range engines {
		if !usable(e, state, r.Exclude) {
			continue
		}
		if w := rendezvousWeight(key, xxhash.Sum64String(string(e.ID))); best == nil || w > top {
			best, top = e, w
		}
	}
	return qm.Placement{Endpoint: best, Incarnation: best.Incarnation, Reason: reasonHash}, true
}

// NewHash returns a placer that applies plain rendezvous hashing to the prefix that covers share of the prompt.
func NewHash(share float64) qm.Placer { return hash{share: share} }
