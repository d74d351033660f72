// Package pause tracks the endpoints that have asked this router to send nothing for some time, and brings work back to them by steps.
//
// The table says nothing to other routers: an endpoint may refuse one router because of what that router sends.
package pause

import (
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// MaxRetryAfter bounds the Retry-After time that callers are told while all endpoints are paused, without its random addition. By then, another
// endpoint or an operator may have helped.
const MaxRetryAfter = time.Minute

const (
	// firstStep is the number of requests that may run at an endpoint at the same time when its pause ends. It doubles with each request
	// that the endpoint has taken; beyond lastStep there is no limit any more.
	firstStep = 1
	lastStep  = 16
	// forgetAfter is the time after the end of a pause in which a limit that was not lifted is forgotten. An endpoint to which nothing was
	// sent for so long has had time to recover.
	forgetAfter = 10 * time.Second
)

// entry is the pause of one endpoint.
type entry struct {
	incarnation qm.Incarnation
	until       time.Time
	// step is the number of requests that may run after the pause, running that of those which do.
	step, running int
}

// Table holds the pauses. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[qm.EndpointID]*entry
}

// New returns an empty table.
func New() *Table { return &Table{entries: map[qm.EndpointID]*entry{}} }

// Begin records that an incarnation of an endpoint asked for a pause, and reports whether it was not paused before. A pause never ends
// earlier because of a later one that is shorter.
func (t *Table) Begin(id qm.EndpointID, inc qm.Incarnation, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.current(id, inc, now)
	if e == nil {
		t.prune(now)
		e = &entry{incarnation: inc}
		t.entries[id] = e
	}
	isNew := !now.Before(e.until)
	if until := now.Add(d); until.After(e.until) {
		e.until = until
	}
	e.step = firstStep
	return isNew
}

// Until returns the end of an endpoint's pause, or the zero time if it may be sent requests now. After a pause, an endpoint that runs as many
// requests as the current step allows is not paused, but must not be sent more; see MayTake.
func (t *Table) Until(id qm.EndpointID, inc qm.Incarnation, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.current(id, inc, now); e != nil && now.Before(e.until) {
		return e.until
	}
	return time.Time{}
}

// MayTake reports whether an endpoint may be sent a request now.
func (t *Table) MayTake(id qm.EndpointID, inc qm.Incarnation, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.current(id, inc, now)
	return e == nil || !now.Before(e.until) && e.running < e.step
}

// Sent records that a request is sent to an endpoint. The returned function records its end, and whether the endpoint took it.
func (t *Table) Sent(id qm.EndpointID, inc qm.Incarnation, now time.Time) (ended func(taken bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.current(id, inc, now)
	if e == nil {
		return func(bool) {}
	}
	e.running++
	return func(taken bool) {
		t.mu.Lock()
		defer t.mu.Unlock()
		e.running--
		if !taken || time.Now().Before(e.until) || t.entries[id] != e {
			return
		}
		if e.step *= 2; e.step > lastStep {
			delete(t.entries, id)
		}
	}
}

// Len returns the number of endpoints that are paused.
func (t *Table) Len(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.entries {
		if now.Before(e.until) {
			n++
		}
	}
	return n
}

// current returns the entry of an endpoint, nil if there is none, it is of another incarnation or it is forgotten. The caller holds mu.
func (t *Table) current(id qm.EndpointID, inc qm.Incarnation, now time.Time) *entry {
	e := t.entries[id]
	if e == nil || e.incarnation != inc || !now.Before(e.until.Add(forgetAfter)) {
		return nil
	}
	return e
}

// prune removes forgotten entries. The caller holds mu.
func (t *Table) prune(now time.Time) {
	for id, e := range t.entries {
		if !now.Before(e.until.Add(forgetAfter)) {
			delete(t.entries, id)
		}
	}
}
