// Package trial compares placement policies: it runs the routers' decision code against fakes of engines in virtual time.
//
// The fakes have only what the decision meets: a prefill queue with continuous batching, a limited cache that evicts the
// least recently used step, load reports that lag, and cache events that come late and get lost. Each run is a single
// goroutine with its own random sources, so equal seeds give equal figures on any number of processors.
package trial

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is an action at a time. seq orders events of the same time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int      { return len(q) }
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// clock runs events in order of their time.
type clock struct {
	now   time.Duration
	queue events
	seq   int
}

// after schedules do.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + d, seq: c.seq, do: do})
}

// run runs events until end.
func (c *clock) run(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
}

// time returns the current time as routers see it.
func (c *clock) time() time.Time { return epoch.Add(c.now) }
