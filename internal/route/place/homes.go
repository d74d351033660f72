package place

// maxHomes bounds the engines that a hot prefix is spread over by the hash.
const maxHomes = 8

// homes collects the engines with the highest weights, highest first: the homes of a prefix and one engine in reserve.
type homes struct {
	want, n int
	weights [maxHomes + 1]uint64
	places  [maxHomes + 1]int
}

// reset empties the list and sets the number of homes.
func (h *homes) reset(want int) { h.want, h.n = want, 0 }

// offer adds an engine if its weight is among the highest.
func (h *homes) offer(weight uint64, place int) {
	i := h.n
	if h.n <= h.want {
		h.n++
	} else if i--; weight <= h.weights[i] {
		return
	}
	for ; i > 0 && h.weights[i-1] < weight; i-- {
		h.weights[i], h.places[i] = h.weights[i-1], h.places[i-1]
	}
	h.weights[i], h.places[i] = weight, place
}

// refund lowers the scores of the homes to their times, and takes back half of the difference for the reserve.
func (h *homes) refund(scores, times []float64) {
	for i, at := range h.places[:h.n] {
		if i < h.want {
			scores[at] = times[at]
		} else {
			scores[at] = (scores[at] + times[at]) / 2
		}
	}
}

// best returns the home with the lowest score, or -1.
func (h *homes) best(scores []float64) int {
	best := -1
	for _, at := range h.places[:min(h.n, h.want)] {
		if best < 0 || scores[at] < scores[best] {
			best = at
		}
	}
	return best
}
