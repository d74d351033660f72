package queue

import (
	qm "quetzalmount.dev/quetzalmount"
)

// teamQueue holds the waiting requests of one team in the order of arrival.
type teamQueue struct {
	team    qm.TeamID
	weight  float64
	waiters []*waiter
	running int
	// virtualStart is the virtual start time of the first waiter, or the virtual finish time of the last request that got a
	// slot.
	virtualStart float64
	// heapIndex is the index in the heap, or -1 if the queue is not in it.
	heapIndex int
}

// busy reports whether the team has waiting or running requests.
func (tq *teamQueue) busy() bool { return len(tq.waiters) > 0 || tq.running > 0 }

// teamHeap is a heap ordered by virtual start time. It implements heap.Interface.
type teamHeap []*teamQueue

// Len returns the number of queues.
func (h teamHeap) Len() int { return len(h) }

// Less orders queues by virtual start time.
func (h teamHeap) Less(i, j int) bool { return h[i].virtualStart < h[j].virtualStart }

// Swap exchanges two queues and updates their indexes.
func (h teamHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push appends a *teamQueue.
func (h *teamHeap) Push(x any) {
	tq := x.(*teamQueue)
	tq.heapIndex = len(*h)
	*h = append(*h, tq)
}

// Pop removes and returns the last *teamQueue.
func (h *teamHeap) Pop() any {
	last := len(*h) - 1
	tq := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	tq.heapIndex = -1
	return tq
}
