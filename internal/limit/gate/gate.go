// Package gate waits a short time where a limit refuses only for a moment.
//
// The limiter never waits: an instance that has spent its share of a team's limit refuses until its loan arrives, although the
// team as a whole is below its limit. Callers that never read the limits would see refusals that they cannot explain. A request
// whose refusal names a time within the patience therefore waits for it. The number of requests of a team that wait is bounded,
// so that a script that sends excessive load is still refused early and holds little memory.
package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// Patience is the longest wait of a request. It is shorter than the time in which a user gives up, and longer than the
	// way of a loan from the home of the team.
	Patience = time.Second
	// MaxWaiting bounds the requests of a team that wait on one instance.
	MaxWaiting = 32
	// loanWait is how long one try waits for a loan from the home of the team; an answer takes a few milliseconds.
	loanWait = 100 * time.Millisecond
	// minPause and maxPause bound the wait before the next try. A refusal names the time in which the instance's own share
	// refills; a loan, or the view of the members right after a start, often comes much earlier.
	minPause = 10 * time.Millisecond
	maxPause = 40 * time.Millisecond
	// jitter spreads the next tries of requests that were refused together.
	jitter = 10 * time.Millisecond
)

// Limiter is a limiter that can wait for one loan.
type Limiter interface {
	qm.Limiter
	// AdmitWithin is Admit, but waits up to patience for a loan.
	AdmitWithin(ctx context.Context, team *qm.Team, cost qm.Cost, patience time.Duration) (qm.Grant, error)
}

// Gate admits requests. It is safe for concurrent use.
type Gate struct {
	limiter Limiter

	mu      sync.Mutex
	waiting map[qm.TeamID]int
}

// New returns a gate before a limiter.
func New(limiter Limiter) *Gate {
	return &Gate{limiter: limiter, waiting: make(map[qm.TeamID]int)}
}

// Admit takes the cost from the limits of the team. If the limits refuse for a moment only, it tries again until Patience has
// passed. The error is an *quetzalmount.Error whose outcome is NotRun.
func (g *Gate) Admit(ctx context.Context, team *qm.Team, cost qm.Cost) (qm.Grant, error) {
	grant, err := g.limiter.Admit(team, cost, time.Now())
	if err == nil || !passes(err, Patience) || !g.enter(team.ID) {
		return grant, err
	}
	defer g.leave(team.ID)
	for end := time.Now().Add(Patience); ; {
		grant, err = g.limiter.AdmitWithin(ctx, team, cost, loanWait)
		if err == nil || !passes(err, time.Until(end)) {
			return grant, err
		}
		if !pause(ctx, retryAfter(err)) {
			return nil, qm.Refuse(qm.CodeTimeout, "admit",
				"The deadline passed before the limits of team %s let the request through; nothing was run.", team.ID)
		}
	}
}

// enter counts one more waiting request and reports whether it may wait.
func (g *Gate) enter(team qm.TeamID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting[team] >= MaxWaiting {
		return false
	}
	g.waiting[team]++
	return true
}

// leave forgets a waiting request. Teams without any have no entry.
func (g *Gate) leave(team qm.TeamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting[team]--; g.waiting[team] == 0 {
		delete(g.waiting, team)
	}
}

// passes reports whether a refusal will be over within d.
func passes(err error, d time.Duration) bool {
	after := retryAfter(err)
	return after > 0 && after <= d
}

func retryAfter(err error) time.Duration {
	var e *qm.Error
	if !errors.As(err, &e) || e.Outcome != qm.OutcomeNotRun {
		return 0
	}
	return e.RetryAfter
}

// pause sleeps and reports false if the context ended before.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(min(max(d, minPause), maxPause) + rand.N(jitter))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
