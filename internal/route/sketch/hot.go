package sketch

import (
	"math"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// Hot finds the prefixes that occur most often with the space-saving algorithm: a fixed number of counters, of which the
// smallest passes to a new key. Counts decay exponentially, so that a shift of the traffic shows within a few half-lives.
type HeavyHitters struct {
	keys   []qm.PrefixKey
	counts []float64
	errs   []float64
	half   time.Duration
	last   Tick
}

// NewHot returns a sketch of k counters that forgets half of a count after half.
func NewHeavyHitters(k int, half time.Duration) *HeavyHitters {
	return &HeavyHitters{
		keys: make([]qm.PrefixKey, k), counts: make([]float64, k), errs: make([]float64, k), half: half,
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
	h.keys[low], h.errs[low] = key, h.counts[low]
	h.counts[low]++
}

// Decay ages the counts. It does so at most once in a sixteenth of a half-life, which keeps it cheap.
func (h *HeavyHitters) Decay(now Tick) {
	age := time.Duration(now-h.last) * TickTime
	if age < h.half/16 {
		return
	}
	h.last = now
	f := math.Exp2(-float64(age) / float64(h.half))
	for i := range h.counts {
		h.counts[i] *= f
		h.errs[i] *= f
	}
}

// Count returns a lower bound of the occurrences of key.
func (h *HeavyHitters) Count(key qm.PrefixKey) float64 {
	for i, k := range h.keys {
		if k == key && h.counts[i] > 0 {
			return h.counts[i] - h.errs[i]
		}
	}
	return 0
}
