package queue

import (
	qm "quetzalmount.dev/quetzalmount"
)

// line is the waiting requests of one team, first come first served.
type line struct {
	team    qm.TeamID
	weight  float64
	entries []*entry
	running int
	// start is the virtual start of the first entry, or the finish of the last one that got a slot.
	start float64
	// at is the index in the heap, -1 if the line is not in it.
	at int
}

// busy reports whether the team waits or runs.
func (l *line) busy() bool { return len(l.entries) > 0 || l.running > 0 }

// lines is a heap by start time.
type lines []*line

// Len implements heap.Interface.
func (h lines) Len() int { return len(h) }

// Less implements heap.Interface.
func (h lines) Less(i, j int) bool { return h[i].start < h[j].start }

// Swap implements heap.Interface.
func (h lines) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}

// Push implements heap.Interface.
func (h *lines) Push(x any) {
	l := x.(*line)
	l.at = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *lines) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	l.at = -1
	return l
}
