// Package queue implements a weighted fair queue for engine slots.
//
// The algorithm is start-time fair queueing. The virtual finish time of a request is its virtual start time plus
// cost / weight. Its virtual start time is the finish time of the previous request of the same team, or the virtual time if
// that is later. The request with the lowest start time gets the next free slot, and the virtual time is the start time of
// the last request that got one. The requests of a team that sends more than its share wait for each other; a team that was
// idle starts at the virtual time and waits for about one request of each busy team. Ordering by finish times makes large
// requests of idle teams wait longer; the commit that added this package has the figures.
//
// Running requests are not preempted, so that a request waits until one ends if all slots are taken. No slots are reserved
// for teams below their share, since a reserve helps only teams far below it.
//
// The state of a team without requests can be dropped once the virtual time has passed its last finish time.
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
	// DefaultLength is the maximum number of waiting requests of a team without a limit of its own, so that one team cannot
	// exhaust memory.
	DefaultLength = 1000
	// drainTimeConstant is the time constant of the drain rate, a few times the duration of a typical request.
	drainTimeConstant = 10 * time.Second
	// minRetry and maxRetry bound the retry delay in a refusal.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Minute
	// minSweepTeams is the minimum number of teams at which idle teams are evicted. The number must also have doubled since
	// the last eviction.
	minSweepTeams = 64
	// defaultRetry is the retry delay while no drain rate is known, because no request was served.
	defaultRetry = time.Second
)

// Request describes a request to the queue.
type Request struct {
	Team qm.TeamID
	// Weight is the weight of the team relative to other waiting teams; a value of 0 or less counts as 1.
	Weight float64
	// Cost is the work of the request in tokens; a value below 1 counts as 1.
	Cost qm.Tokens
	// Length is the maximum number of waiting requests of the team; 0 or less means DefaultLength.
	Length int
	// Deadline is the time at which the request is removed from the queue; the zero time means never.
	Deadline time.Time
}

// Queue assigns slots to requests. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	capacity int
	running  int
	waiting  int
	// virtualTime is in tokens per unit of weight.
	virtualTime float64
	teams       map[qm.TeamID]*teamQueue
	backlogged  teamHeap
	// activeWeight is the sum of the weights of teams with waiting or running requests.
	activeWeight float64
	// drainRate is the cost of the requests that got slots, in tokens a second.
	drainRate      meter
	sweepThreshold int
}

// waiter is a waiting request.
type waiter struct {
	cost     float64
	deadline time.Time
	// ready is closed when the request gets a slot, after granted is set.
	ready     chan struct{}
	granted   bool
	teamQueue *teamQueue
}

// New returns a queue for the given number of slots.
func New(capacity int) *Queue {
	return &Queue{capacity: capacity, teams: map[qm.TeamID]*teamQueue{}}
}

// SetCapacity changes the number of slots. Running requests above a lower number continue.
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

// Wait blocks until the request has a slot. The caller must call release when the request is done; later calls of release do
// nothing. The error is a *quetzalmount.Error with outcome NotRun: the team's queue is full, the deadline has passed, or the
// context has ended.
func (q *Queue) Wait(ctx context.Context, r Request) (release func(), err error) {
	w, err := q.enqueue(ctx, &r)
	if err != nil {
		return nil, err
	}
	var expired <-chan time.Time
	if !r.Deadline.IsZero() {
		t := time.NewTimer(time.Until(r.Deadline))
		defer t.Stop()
		expired = t.C
	}
	select {
	case <-w.ready:
		return sync.OnceFunc(func() { q.release(w.teamQueue) }), nil
	case <-ctx.Done():
		return nil, q.abandon(w, &r).WithCause(ctx.Err())
	case <-expired:
		return nil, q.abandon(w, &r).WithCause(context.DeadlineExceeded)
	}
}

// enqueue adds a request to the queue and dispatches free slots.
func (q *Queue) enqueue(ctx context.Context, r *Request) (*waiter, error) {
	if r.Weight <= 0 {
		r.Weight = 1
	}
	if r.Length <= 0 {
		r.Length = DefaultLength
	}
	now := time.Now()
	w := &waiter{cost: math.Max(1, float64(r.Cost)), deadline: r.Deadline, ready: make(chan struct{})}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.expired(now) || ctx.Err() != nil {
		return nil, deadlineError(r).WithRetryAfter(q.retryAfter(r, w.cost, now)).WithCause(ctx.Err())
	}
	tq := q.teams[r.Team]
	if tq != nil && len(tq.waiters) >= r.Length {
		return nil, queueFullError(r).WithRetryAfter(q.retryAfter(r, tq.waiters[0].cost, now))
	}
	if tq == nil {
		q.evictIdle()
		tq = &teamQueue{team: r.Team, heapIndex: -1}
		q.teams[r.Team] = tq
	}
	q.setWeight(tq, r.Weight)
	w.teamQueue = tq
	tq.waiters = append(tq.waiters, w)
	q.waiting++
	if tq.heapIndex < 0 {
		tq.virtualStart = math.Max(tq.virtualStart, q.virtualTime)
		heap.Push(&q.backlogged, tq)
	}
	q.dispatch(now)
	return w, nil
}

// setWeight sets the weight of a team to which a waiter is about to be added. The caller holds mu.
func (q *Queue) setWeight(tq *teamQueue, weight float64) {
	if tq.busy() {
		q.activeWeight -= tq.weight
	}
	tq.weight = weight
	q.activeWeight += weight
}

// deactivate subtracts the weight of a team from activeWeight if it has neither waiting nor running requests. The caller
// holds mu.
func (q *Queue) deactivate(tq *teamQueue) {
	if !tq.busy() {
		q.activeWeight -= tq.weight
	}
}

// evictIdle drops the state of teams without requests whose last virtual finish time has passed. The caller holds mu.
func (q *Queue) evictIdle() {
	if len(q.teams) < max(minSweepTeams, q.sweepThreshold) {
		return
	}
	for id, tq := range q.teams {
		if !tq.busy() && tq.virtualStart <= q.virtualTime {
			delete(q.teams, id)
		}
	}
	q.sweepThreshold = 2 * len(q.teams)
}

// expired reports whether the deadline has passed.
func (w *waiter) expired(now time.Time) bool { return !w.deadline.IsZero() && !now.Before(w.deadline) }

// dispatch assigns free slots to the requests with the lowest virtual start times. The caller holds mu.
func (q *Queue) dispatch(now time.Time) {
	for q.running < q.capacity && len(q.backlogged) > 0 {
		tq := q.backlogged[0]
		w := tq.waiters[0]
		if w.expired(now) {
			// Wait returns the error when its timer fires.
			q.remove(tq, 0)
			continue
		}
		q.virtualTime = math.Max(q.virtualTime, tq.virtualStart)
		tq.virtualStart += w.cost / tq.weight
		q.running++
		tq.running++
		q.drainRate.add(w.cost, now)
		w.granted = true
		close(w.ready)
		q.remove(tq, 0)
	}
}

// remove removes waiter i of a team. The caller holds mu.
func (q *Queue) remove(tq *teamQueue, i int) {
	tq.waiters = slices.Delete(tq.waiters, i, i+1)
	q.waiting--
	switch {
	case tq.heapIndex < 0:
	case len(tq.waiters) == 0:
		heap.Remove(&q.backlogged, tq.heapIndex)
		q.deactivate(tq)
	default:
		heap.Fix(&q.backlogged, tq.heapIndex)
	}
}

// abandon removes a request from the queue, or releases the slot that it got in the meantime, and returns the refusal.
func (q *Queue) abandon(w *waiter, r *Request) *qm.Error {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if w.granted {
		q.releaseSlot(w.teamQueue)
	} else if i := slices.Index(w.teamQueue.waiters, w); i >= 0 {
		q.remove(w.teamQueue, i)
	}
	q.dispatch(now)
	return deadlineError(r).WithRetryAfter(q.retryAfter(r, w.cost, now))
}

func (q *Queue) release(tq *teamQueue) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.releaseSlot(tq)
	q.dispatch(time.Now())
}

// releaseSlot frees one slot of a team. The caller holds mu.
func (q *Queue) releaseSlot(tq *teamQueue) {
	q.running--
	tq.running--
	q.deactivate(tq)
}
