// Package trial compares placement policies by discrete-event simulation. It runs the routers' placement code against
// fake engines in virtual time.
//
// The fakes model only what affects placement: a prefill queue with continuous batching, a limited least recently used
// cache, delayed load reports, and cache events that are delayed or lost. Each run is a single goroutine with its own
// random sources, so equal seeds give equal results on any number of processors.
package trial

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is an action scheduled at a time. seq orders events of the same time.
type event struct {
	at     time.Duration
	seq    int
	action func()
}

// eventQueue is a heap of events by time and seq.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// clock is a virtual clock. now is the time since the start of the simulation.
type clock struct {
	now   time.Duration
	queue eventQueue
	seq   int
}

// schedule runs action after delay.
func (c *clock) schedule(delay time.Duration, action func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + delay, seq: c.seq, action: action})
}

// runUntil runs the events up to and including end, in order of their time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.action()
	}
}

// time returns the current virtual time as an absolute time.
func (c *clock) time() time.Time { return epoch.Add(c.now) }
