package place

import (
	"slices"

	"quetzalmount.dev/quetzalmount"
)

// maxHomes bounds the homes of a prefix. A prefix that needs more does not narrow the choice; the next longer
// prefix does.
const maxHomes = 64

// homes collects the engines with the highest rendezvous weights for a prefix, in descending order.
type homes struct {
	limit, n  int
	weights   [maxHomes]uint64
	positions [maxHomes]int
	// scratch is a copy of the positions while they are narrowed.
	scratch [maxHomes]int
}

// reset empties the list.
func (h *homes) reset() { h.limit, h.n = 0, 0 }

// selected reports whether homes were selected.
func (h *homes) selected() bool { return h.n > 0 }

// remaining returns the number of homes, or all, the number of engines, before the first selection.
func (h *homes) remaining(all int) int {
	if h.n == 0 {
		return all
	}
	return h.n
}

// begin starts a selection of at most limit engines.
func (h *homes) begin(limit int) { h.limit, h.n = limit, 0 }

// add adds an engine if its weight is among the highest.
func (h *homes) add(weight uint64, position int) {
	i := h.n
	if h.n < h.limit {
		h.n++
	} else if i--; weight <= h.weights[i] {
		return
	}
	for ; i > 0 && h.weights[i-1] < weight; i-- {
		h.weights[i], h.positions[i] = h.weights[i-1], h.positions[i-1]
	}
	h.weights[i], h.positions[i] = weight, position
}

// narrow keeps at most limit of the homes, those with the highest weights for a longer prefix.
func (h *homes) narrow(key quetzalmount.PrefixKey, limit int, f *fleet) {
	n := copy(h.scratch[:], h.positions[:h.n])
	h.begin(limit)
	for _, at := range h.scratch[:n] {
		h.add(rendezvousWeight(key, f.engineAt(at).hash), at)
	}
}

// waivePenalty sets the scores of the homes to their times. Without a selection every engine counts as a home.
func (h *homes) waivePenalty(scores, times []float64) {
	if h.n == 0 {
		copy(scores, times)
	}
	for _, at := range h.positions[:h.n] {
		scores[at] = times[at]
	}
}

// contains reports whether the engine at a position is a home.
func (h *homes) contains(position int) bool { return slices.Contains(h.positions[:h.n], position) }

// replicated reports whether the engine at a position is one of several homes. Without a selection all engines are.
func (h *homes) replicated(position int) bool { return h.n == 0 || h.n > 1 && h.contains(position) }

// best returns the position of the home with the lowest score, or -1 if there are no homes.
func (h *homes) best(scores []float64) int {
	best := -1
	for _, at := range h.positions[:h.n] {
		if best < 0 || scores[at] < scores[best] {
			best = at
		}
	}
	return best
}
