// Package queue is a weighted fair queue in front of engine slots.
//
// It is start-time fair queueing. The virtual finish time of a request is its start + cost / weight; a request starts
// at the finish of the one before it of the same team, or at the virtual time if that is later. The lowest start gets the
// next free slot, and virtual time is the start of the last request that got one. A team that sends more than its share
// queues behind itself; a team that was quiet starts at the virtual time and waits for about one request of each busy
// team. Ordering by finish times instead makes large requests of quiet teams wait longer: see the commit that added this
// package for the figures.
//
// A slot is not taken away from a running request, so that with all slots taken a request waits until one ends. A reserve
// of slots for teams below their share was measured and left out: it helps only those far below it.
//
// A team without requests has no state once virtual time has passed its last finish.
package queue

import (
	"container/heap"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// DefaultLength bounds the waiting requests of a team that has no limit of its own, so that one team cannot take all
	// memory.
	DefaultLength = 1000
	// drainTime is the time constant of the measured drain rate, a few times the length of a usual request.
	drainTime = 10 * time.Second
	// minRetry and maxRetry bound the advised time before a retry.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Minute
	// sweepAt is the number of teams at which those without requests are looked for, if it is also twice the number left by
	// the last sweep.
	sweepAt = 64
	// firstRetry is advised as long as no request was served.
	firstRetry = time.Second
)

// Request is what a request brings to the queue.
type Request struct {
	Team qm.TeamID
	// Weight is the share of the team among those that wait; anything below or equal to 0 counts as 1.
	Weight float64
	// Cost is the work of the request, in tokens, at least 1.
	Cost qm.Tokens
	// Length is the most requests of the team that may wait; 0 means DefaultLength.
	Length int
	// Deadline is when the request leaves the queue; a zero time means never.
	Deadline time.Time
}

// Queue gives out slots. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	capacity int
	running  int
	waiting  int
	// clock is the virtual time in tokens per weight.
	clock float64
	teams map[qm.TeamID]*line
	order lines
	// active is the sum of the weights of teams that wait or run.
	active  float64
	drain   meter
	sweepTo int
}

// entry is a waiting request.
type entry struct {
	cost     float64
	deadline time.Time
	// ready is closed when the request gets a slot, with served set before.
	ready  chan struct{}
	served bool
	line   *line
}

// New returns a queue in front of a number of slots.
func New(capacity int) *Queue {
	return &Queue{capacity: capacity, teams: map[qm.TeamID]*line{}}
}

// SetCapacity changes the number of slots. Running requests above a lower number go on.
func (q *Queue) SetCapacity(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = n
	q.dispatch(time.Now())
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// Running returns the number of requests that have slots.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running
}

// Wait returns once the request has a slot; the caller then calls release once the request is done. The error is an *Error
// with outcome NotRun: the team's queue is full, the deadline passed, or the context ended.
func (q *Queue) Wait(ctx context.Context, r Request) (release func(), err error) {
	e, err := q.enter(ctx, &r)
	if err != nil {
		return nil, err
	}
	var late <-chan time.Time
	if !r.Deadline.IsZero() {
		t := time.NewTimer(time.Until(r.Deadline))
		defer t.Stop()
		late = t.C
	}
	select {
	case <-e.ready:
		return sync.OnceFunc(func() { q.release(e.line) }), nil
	case <-ctx.Done():
		return nil, q.leave(e, &r).WithCause(ctx.Err())
	case <-late:
		return nil, q.leave(e, &r).WithCause(context.DeadlineExceeded)
	}
}

// enter puts a request into the queue, and gives it a slot if one is free.
func (q *Queue) enter(ctx context.Context, r *Request) (*entry, error) {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if r.Length <= 0 {
		r.Length = DefaultLength
	}
	now := time.Now()
	e := &entry{cost: math.Max(1, float64(r.Cost)), deadline: r.Deadline, ready: make(chan struct{})}
	q.mu.Lock()
	defer q.mu.Unlock()
	if e.late(now) || ctx.Err() != nil {
		return nil, late(r).WithRetryAfter(q.retry(r, e.cost, now)).WithCause(ctx.Err())
	}
	l := q.teams[r.Team]
	if l != nil && len(l.entries) >= r.Length {
		return nil, full(r).WithRetryAfter(q.retry(r, l.entries[0].cost, now))
	}
	if l == nil {
		q.sweep()
		l = &line{team: r.Team, at: -1}
		q.teams[r.Team] = l
	}
	q.weigh(l, r.Weight)
	e.line = l
	l.entries = append(l.entries, e)
	q.waiting++
	if l.at < 0 {
		l.start = math.Max(l.start, q.clock)
		heap.Push(&q.order, l)
	}
	q.dispatch(now)
	return e, nil
}

// weigh sets the weight of a team that is about to wait.
func (q *Queue) weigh(l *line, weight float64) {
	if l.busy() {
		q.active -= l.weight
	}
	l.weight = weight
	q.active += weight
}

// rest takes a team out of the active ones if it neither waits nor runs.
func (q *Queue) rest(l *line) {
	if !l.busy() {
		q.active -= l.weight
	}
}

// sweep forgets teams without requests whose last finish has passed.
func (q *Queue) sweep() {
	if len(q.teams) < max(sweepAt, q.sweepTo) {
		return
	}
	for id, l := range q.teams {
		if !l.busy() && l.start <= q.clock {
			delete(q.teams, id)
		}
	}
	q.sweepTo = 2 * len(q.teams)
}

func (e *entry) late(now time.Time) bool { return !e.deadline.IsZero() && !now.Before(e.deadline) }

// dispatch gives free slots to the requests with the lowest start times. The caller holds mu.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.capacity && len(q.order) > 0 {
		l := q.order[0]
		e := l.entries[0]
		if e.late(now) {
			// Its own timer is about to take it out.
			q.drop(l, 0)
			continue
		}
		q.clock = math.Max(q.clock, l.start)
		l.start += e.cost / l.weight
		q.running++
		l.running++
		q.drain.add(e.cost, now)
		e.served = true
		close(e.ready)
		q.drop(l, 0)
	}
}

// drop removes entry i of a line. The caller holds mu.
func (q *Queue) drop(l *line, i int) {
	l.entries = slices.Delete(l.entries, i, i+1)
	q.waiting--
	switch {
	case l.at < 0:
	case len(l.entries) == 0:
		heap.Remove(&q.order, l.at)
		q.rest(l)
	default:
		heap.Fix(&q.order, l.at)
	}
}

// leave takes a request out of the queue, or returns the slot that it got at the same moment.
func (q *Queue) leave(e *entry, r *Request) *qm.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if e.served {
		q.free(e.line)
	} else if i := slices.Index(e.line.entries, e); i >= 0 {
		q.drop(e.line, i)
	}
	q.dispatch(now)
	return late(r).WithRetryAfter(q.retry(r, e.cost, now))
}

func (q *Queue) release(l *line) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.free(l)
	q.dispatch(time.Now())
}

// free returns one slot of a team. The caller holds mu.
func (q *Queue) free(l *line) {
	q.running--
	l.running--
	q.rest(l)
}
