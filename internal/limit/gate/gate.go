// Package gate retries admission for a short time if a limit refuses a request only temporarily.
//
// The limiter never waits: an instance that has spent its share of a team's limit refuses requests until its loan arrives,
// although the team as a whole is below its limit. Callers would see refusals that their limits do not explain. A request whose
// refusal has a retry delay of at most MaxWait therefore waits. The number of waiting requests of a team is bounded, so that a
// client that sends excessive load is still refused early and holds little memory.
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
	// MaxWait is the maximum wait of a request. It is shorter than the time after which a user gives up, and longer than a
	// loan takes to arrive from the home of the team.
	MaxWait = time.Second
	// MaxWaiting is the maximum number of waiting requests of a team on one instance.
	MaxWaiting = 32
	// loanWait is how long one attempt waits for a loan from the home of the team; an answer takes a few milliseconds.
	loanWait = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay before the next attempt. The retry delay of a refusal is the time in
	// which the instance's own share refills; a loan, or the first membership view after a start, often arrives much earlier.
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 40 * time.Millisecond
	// jitter is the maximum random delay that spreads the next attempts of requests that were refused together.
	jitter = 10 * time.Millisecond
)

// Limiter is a limiter that can wait for a loan.
type Limiter interface {
	qm.Limiter
	// AdmitWithin is like Admit, but waits up to timeout for a loan.
	AdmitWithin(ctx context.Context, team *qm.Team, cost qm.Cost, timeout time.Duration) (qm.Grant, error)
}

// Gate admits requests. It is safe for concurrent use.
type Gate struct {
	limiter Limiter

	mu      sync.Mutex
	waiting map[qm.TeamID]int
}

// New returns a gate for a limiter.
func New(limiter Limiter) *Gate {
	return &Gate{limiter: limiter, waiting: make(map[qm.TeamID]int)}
}

// Admit takes the cost from the limits of the team. If the refusal is temporary, it retries until MaxWait has passed. The error
// is a *quetzalmount.Error whose outcome is NotRun.
func (g *Gate) Admit(ctx context.Context, team *qm.Team, cost qm.Cost) (qm.Grant, error) {
	grant, err := g.limiter.Admit(team, cost, time.Now())
	if err == nil || !retryableWithin(err, MaxWait) || !g.addWaiter(team.ID) {
		return grant, err
	}
	defer g.removeWaiter(team.ID)
	for end := time.Now().Add(MaxWait); ; {
		grant, err = g.limiter.AdmitWithin(ctx, team, cost, loanWait)
		if err == nil || !retryableWithin(err, time.Until(end)) {
			return grant, err
		}
		if !sleep(ctx, retryAfter(err)) {
			return nil, qm.Refuse(qm.CodeTimeout, "admit",
				"The deadline passed before the limits of team %s let the request through; nothing was run.", team.ID)
		}
	}
}

// addWaiter reports whether one more request of a team may wait, and counts it if so.
func (g *Gate) addWaiter(team qm.TeamID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting[team] >= MaxWaiting {
		return false
	}
	g.waiting[team]++
	return true
}

// removeWaiter subtracts a waiting request. Teams without waiting requests have no entry.
func (g *Gate) removeWaiter(team qm.TeamID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.waiting[team]--; g.waiting[team] == 0 {
		delete(g.waiting, team)
	}
}

// retryableWithin reports whether a refusal has a retry delay of at most d.
func retryableWithin(err error, d time.Duration) bool {
	after := retryAfter(err)
	return after > 0 && after <= d
}

// retryAfter returns the retry delay of a refusal, or 0 if there is none or the request may have run.
func retryAfter(err error) time.Duration {
	var e *qm.Error
	if !errors.As(err, &e) || e.Outcome != qm.OutcomeNotRun {
		return 0
	}
	return e.RetryAfter
}

// sleep waits for d, bounded by minRetryDelay and maxRetryDelay, plus jitter. It reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(min(max(d, minRetryDelay), maxRetryDelay) + rand.N(jitter))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
