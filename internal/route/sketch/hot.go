package sketch

import (
	"math"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// HeavyHitters finds the most frequent prefixes with the space-saving algorithm: the number of counters is fixed, and
// a new key takes over the counter with the lowest count. Counts decay exponentially, so that a shift of the traffic
// shows within a few half-lives.
type HeavyHitters struct {
	keys   []qm.PrefixKey
	counts []float64
	// overcounts holds, for each counter, the part of the count that may belong to earlier keys.
	overcounts []float64
	halfLife   time.Duration
	decayedAt  Tick
}

// NewHeavyHitters returns a sketch of k counters, whose counts decay with the given half-life.
func NewHeavyHitters(k int, halfLife time.Duration) *HeavyHitters {
	return &HeavyHitters{
		keys: make([]qm.PrefixKey, k), counts: make([]float64, k), overcounts: make([]float64, k), halfLife: halfLife,
	}
}

// Add counts one occurrence of key.
func (h *HeavyHitters) Add(key qm.PrefixKey) {
	low := 0
	for i, k := range h.keys {
		if k == key && h.counts[i] > 0 {
			h.counts[i]++
			return
		}
		if h.counts[i] < h.counts[low] {
			low = i
		}
	}
	h.keys[low], h.overcounts[low] = key, h.counts[low]
	h.counts[low]++
}

// Decay ages the counts. For speed it does so at most once per sixteenth of a half-life.
func (h *HeavyHitters) Decay(now Tick) {
	age := time.Duration(now-h.decayedAt) * TickTime
	if age < h.halfLife/16 {
		return
	}
	h.decayedAt = now
	f := math.Exp2(-float64(age) / float64(h.halfLife))
	for i := range h.counts {
		h.counts[i] *= f
		h.overcounts[i] *= f
	}
}

// Count returns a lower bound on the decayed number of occurrences of key, 0 if key has no counter.
func (h *HeavyHitters) Count(key qm.PrefixKey) float64 {
	for i, k := range h.keys {
		if k == key && h.counts[i] > 0 {
			return h.counts[i] - h.overcounts[i]
		}
	}
	return 0
}
