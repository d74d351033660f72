package queue

import (
	"math"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// meter measures a rate with exponential decay.
type meter struct {
	rate float64
	at   time.Time
}

// add counts n units.
func (m *meter) add(n float64, now time.Time) {
	m.rate = m.now(now) + n/drainTime.Seconds()
	m.at = now
}

// now returns the units a second.
func (m *meter) now(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.at).Seconds()/drainTime.Seconds())
}

// retry returns the time in which the team's share of the drain rate serves cost, so that a place is free. The caller
// holds q.mu.
func (q *Queue) retry(r *Request, cost float64, now time.Time) time.Duration {
	weights := q.active
	if l := q.teams[r.Team]; l == nil || !l.busy() {
		weights += r.Weight
	}
	rate := q.drain.now(now) * r.Weight / weights
	if rate <= 0 {
		return firstRetry
	}
	s := cost / rate
	if !(s < maxRetry.Seconds()) {
		return maxRetry
	}
	return max(minRetry, time.Duration(s*float64(time.Second)))
}

func full(r *Request) *qm.Error {
	return qm.Refuse(qm.CodeQueueFull, "queue",
		"Team %s already has %d requests waiting for an engine, which is the most it may: wait as long as Retry-After says and send the same request again, it was not run.",
		r.Team, r.Length)
}

func late(r *Request) *qm.Error {
	return qm.Refuse(qm.CodeTimeout, "queue",
		"No engine was free for this request of team %s before its deadline: send it again with a later deadline or when less is running, it was not run.",
		r.Team)
}
