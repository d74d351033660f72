package sketch

import (
	"math"
	"time"

	"quetzalmount.dev/quetzalmount"
)

// Hot finds the prefixes that occur most often with the space-saving algorithm: a fixed number of counters, of which the
// smallest passes to a new key. Counts decay exponentially, so that a shift of the traffic shows within a few half-lives.
type Hot struct {
	keys   []quetzalmount.PrefixKey
	counts []float64
	errs   []float64
	total  float64
	half   time.Duration
	last   Tick
}

// NewHot returns a sketch of k counters that forgets half of a count after half.
func NewHot(k int, half time.Duration) *Hot {
	return &Hot{
		keys: make([]quetzalmount.PrefixKey, k), counts: make([]float64, k), errs: make([]float64, k), half: half,
	}
}

// Begin starts the next request, of which each key is counted once at most.
func (h *Hot) Begin(now Tick) {
	h.decay(now)
	h.total++
}

// Add counts one occurrence of key.
func (h *Hot) Add(key quetzalmount.PrefixKey) {
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

// decay scales the counts at most once in a sixteenth of a half-life, which keeps Begin cheap.
func (h *Hot) decay(now Tick) {
	age := time.Duration(now-h.last) * TickTime
	if age < h.half/16 {
		return
	}
	h.last = now
	f := math.Exp2(-float64(age) / float64(h.half))
	h.total *= f
	for i := range h.counts {
		h.counts[i] *= f
		h.errs[i] *= f
	}
}

// Count returns a lower bound of the number of requests with key, and the number of all requests.
func (h *Hot) Count(key quetzalmount.PrefixKey) (count, total float64) {
	for i, k := range h.keys {
		if k == key && h.counts[i] > 0 {
			return h.counts[i] - h.errs[i], h.total
		}
	}
	return 0, h.total
}
