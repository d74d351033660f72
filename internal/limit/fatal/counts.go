package fatal

import (
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// maxCounted bounds the fingerprints that are counted in one half of a window.
	maxCounted = 8192
	// unknownCompletions is the number of completions before minCounted has passed.
	unknownCompletions = -1
	// minCounted is the time from which completions are counted for long enough.
	minCounted = 10 * time.Second
	// maxLatest is the number of latest completions that are kept of each fingerprint.
	maxLatest = 4
)

// completion is a run of a request that completed.
type completion struct {
	request qm.RequestID
	at      time.Time
}

// completions are those of one fingerprint: their number, and the latest ones, newest last.
type completions struct {
	n      int
	latest []completion
}

// counts counts the completions of fingerprints over a moving window, between half of it and all of it long. It is not safe for concurrent
// use.
type counts struct {
	half time.Duration
	// full is the time from which completions have been counted for long enough.
	full time.Time
	// began is the start of the current half.
	began             time.Time
	current, previous map[qm.Fingerprint]*completions
}

func newCounts(window time.Duration, now time.Time) *counts {
	return &counts{
		half: window / 2, full: now.Add(minCounted), began: now,
		current: make(map[qm.Fingerprint]*completions), previous: make(map[qm.Fingerprint]*completions),
	}
}

func (c *counts) add(fp qm.Fingerprint, request qm.RequestID, now time.Time) {
	c.advance(now)
	k := c.current[fp]
	if k == nil {
		if len(c.current) >= maxCounted {
			return
		}
		k = &completions{}
		c.current[fp] = k
	}
	k.n++
	if len(k.latest) == maxLatest {
		k.latest = append(k.latest[:0], k.latest[1:]...)
	}
	k.latest = append(k.latest, completion{request, now})
}

// count returns the number of completions of a fingerprint, or unknownCompletions.
func (c *counts) count(fp qm.Fingerprint, now time.Time) int {
	c.advance(now)
	if now.Before(c.full) {
		return unknownCompletions
	}
	n := 0
	for _, k := range []*completions{c.current[fp], c.previous[fp]} {
		if k != nil {
			n += k.n
		}
	}
	return n
}

// after returns the latest completions of a fingerprint after a time.
func (c *counts) after(fp qm.Fingerprint, at time.Time) []completion {
	var out []completion
	for _, k := range []*completions{c.previous[fp], c.current[fp]} {
		if k == nil {
			continue
		}
		for _, done := range k.latest {
			if done.at.After(at) {
				out = append(out, done)
			}
		}
	}
	return out
}

// advance begins a new half if the current one has passed.
func (c *counts) advance(now time.Time) {
	passed := now.Sub(c.began)
	if passed < c.half {
		return
	}
	c.previous, c.current, c.began = c.current, make(map[qm.Fingerprint]*completions), now
	if passed >= 2*c.half {
		c.previous = make(map[qm.Fingerprint]*completions)
	}
}
