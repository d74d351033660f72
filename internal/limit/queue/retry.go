package queue

import (
	"math"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// meter measures a rate as an exponentially decaying average with the time constant drainTimeConstant.
type meter struct {
	rate      float64
	updatedAt time.Time
}

// add counts n units.
func (m *meter) add(n float64, now time.Time) {
	m.rate = m.now(now) + n/drainTimeConstant.Seconds()
	m.updatedAt = now
}

// now returns the rate in units a second.
func (m *meter) now(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.updatedAt).Seconds()/drainTimeConstant.Seconds())
}

// retryAfter returns the time in which the team's share of the drain rate serves cost, so that the team's queue has room
// again. The caller holds q.mu.
func (q *Queue) retryAfter(r *Request, cost float64, now time.Time) time.Duration {
	weights := q.activeWeight
	if tq := q.teams[r.Team]; tq == nil || !tq.busy() {
		weights += r.Weight
	}
	rate := q.drainRate.now(now) * r.Weight / weights
	if rate <= 0 {
		return defaultRetry
	}
	s := cost / rate
	if !(s < maxRetry.Seconds()) {
		return maxRetry
	}
	return max(minRetry, time.Duration(s*float64(time.Second)))
}

func queueFullError(r *Request) *qm.Error {
	return qm.Refuse(qm.CodeQueueFull, "queue",
		"Team %s already has %d requests waiting for an engine, which is the most it may: wait as long as Retry-After says and send the same request again, it was not run.",
		r.Team, r.Length)
}

func deadlineError(r *Request) *qm.Error {
	return qm.Refuse(qm.CodeTimeout, "queue",
		"No engine was free for this request of team %s before its deadline: send it again with a later deadline or when less is running, it was not run.",
		r.Team)
}
