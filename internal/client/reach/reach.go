// Package reach tracks whether a server answers, from the outcomes of all calls to it.
//
// A call that waits on a connection which went silent during an outage learns nothing of the server's return. Other calls do, so the first
// one that is answered after an outage ends those that still wait, which can then be repeated on a new connection.
package reach

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStale is the cause with which the context of a waiting call ends when the server answers another call after an outage or a
// restart.
var ErrStale = errors.New("the server answered another call after an outage or a restart")

// Tracker tracks the reachability of one server. It is safe for concurrent use.
type Tracker struct {
	mu   sync.Mutex
	lost bool
	// answeredBegan is the latest time at which a call began that was answered.
	answeredBegan time.Time
	// waiting holds the repeatable calls without an outcome.
	waiting map[*Call]bool
	// regained is closed and replaced when the server answers after an outage or a restart.
	regained chan struct{}
}

// New returns a Tracker of a server that is assumed to be reachable.
func New() *Tracker { return &Tracker{waiting: map[*Call]bool{}, regained: make(chan struct{})} }

// Lost reports whether the server is taken for unreachable: a call failed, and none that began later was answered.
func (t *Tracker) Lost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// Regained returns a channel that is closed when the server answers for the first time after an outage or a restart.
func (t *Tracker) Regained() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.regained
}

// Call is a call to the server.
type Call struct {
	tracker *Tracker
	began   time.Time
	stop    context.CancelCauseFunc
}

// Begin starts a call. If the call is repeatable, the returned context ends with the cause ErrStale when another call is answered after an
// outage or a restart. The caller calls Answered or Failed when the outcome is known, and Close in any case.
func (t *Tracker) Begin(ctx context.Context, repeatable bool) (context.Context, *Call) {
	ctx, stop := context.WithCancelCause(ctx)
	c := &Call{tracker: t, began: time.Now(), stop: stop}
	t.mu.Lock()
	defer t.mu.Unlock()
	if repeatable {
		t.waiting[c] = true
	}
	return ctx, c
}

// Answered records that the server answered the call.
func (c *Call) Answered() {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, c)
	if c.began.After(t.answeredBegan) {
		t.answeredBegan = c.began
	}
	if !t.lost {
		return
	}
	t.lost = false
	t.repeatWaiting()
}

// Restarted records that the server is not the one that the waiting calls were sent to, and ends them as after an outage.
func (t *Tracker) Restarted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.repeatWaiting()
}

// repeatWaiting ends the calls that wait and closes regained. The caller holds mu.
func (t *Tracker) repeatWaiting() {
	for other := range t.waiting {
		other.stop(ErrStale)
	}
	clear(t.waiting)
	close(t.regained)
	t.regained = make(chan struct{})
}

// Failed records that the server did not answer the call. If it has answered a call that began later, the fault lies with the connection of
// this call alone.
func (c *Call) Failed() {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.waiting, c)
	if !t.answeredBegan.After(c.began) {
		t.lost = true
	}
}

// Close ends the context of the call.
func (c *Call) Close() {
	c.tracker.mu.Lock()
	delete(c.tracker.waiting, c)
	c.tracker.mu.Unlock()
	c.stop(nil)
}
