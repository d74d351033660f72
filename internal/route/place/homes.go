package place

import (
	"slices"

	"quetzalmount.dev/quetzalmount"
)

// maxHomes bounds the engines that the hash selects for a prefix. A prefix that needs more is not narrowed by it; the next
// step of the prompt narrows the choice.
const maxHomes = 64

// homes collects the engines with the highest weights, highest first.
type homes struct {
	want, n int
	weights [maxHomes]uint64
	places  [maxHomes]int
	// before is scratch space for the homes of the step before.
	before [maxHomes]int
}

// reset empties the list.
func (h *homes) reset() { h.want, h.n = 0, 0 }

// full reports whether homes were selected.
func (h *homes) full() bool { return h.n > 0 }

// size returns the number of engines left, of all engines before the first selection.
func (h *homes) size(all int) int {
	if h.n == 0 {
		return all
	}
	return h.n
}

// begin starts a selection of want engines.
func (h *homes) begin(want int) { h.want, h.n = want, 0 }

// offer adds an engine if its weight is among the highest.
func (h *homes) offer(weight uint64, place int) {
	i := h.n
	if h.n < h.want {
		h.n++
	} else if i--; weight <= h.weights[i] {
		return
	}
	for ; i > 0 && h.weights[i-1] < weight; i-- {
		h.weights[i], h.places[i] = h.weights[i-1], h.places[i-1]
	}
	h.weights[i], h.places[i] = weight, place
}

// narrow selects want of the homes by their weights for a longer prefix.
func (h *homes) narrow(key quetzalmount.PrefixKey, want int, f *fleet) {
	n := copy(h.before[:], h.places[:h.n])
	h.begin(want)
	for _, at := range h.before[:n] {
		h.offer(weigh(key, f.at(at).hash), at)
	}
}

// refund lowers the scores of the homes to their times. Without a selection the prefix needs every engine.
func (h *homes) refund(scores, times []float64) {
	if h.n == 0 {
		copy(scores, times)
	}
	for _, at := range h.places[:h.n] {
		scores[at] = times[at]
	}
}

// has reports whether an engine is a home.
func (h *homes) has(place int) bool { return slices.Contains(h.places[:h.n], place) }

// hot reports whether an engine is one of several homes. Without a selection all are.
func (h *homes) hot(place int) bool { return h.n == 0 || h.n > 1 && h.has(place) }

// best returns the home with the lowest score, or -1.
func (h *homes) best(scores []float64) int {
	best := -1
	for _, at := range h.places[:h.n] {
		if best < 0 || scores[at] < scores[best] {
			best = at
		}
	}
	return best
}
