package retry

import (
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// RequestsPerRetry is the number of requests that earn a team one retry, so that retries add at most 10% to its load.
	RequestsPerRetry = 10
	// maxSavedRetries bounds the retries that a team accumulates, so that a long calm period does not allow a burst of retries.
	maxSavedRetries = 10
	// idleTimeout is how long the balance of a team without requests is kept.
	idleTimeout = time.Minute
)

// teamBalance counts the requests of a team that were not yet spent on retries.
type teamBalance struct {
	unspentRequests int
	lastRequest     time.Time
}

// TeamBudget bounds the retries of each team to a fraction of its requests. The balance of an idle team is dropped. Use NewTeamBudget; the
// zero value is not usable. It is safe for concurrent use.
type TeamBudget struct {
	mu        sync.Mutex
	teams     map[qm.TeamID]*teamBalance
	lastSweep time.Time
}

// NewTeamBudget returns a TeamBudget in which no team has earned a retry.
func NewTeamBudget() *TeamBudget { return &TeamBudget{teams: make(map[qm.TeamID]*teamBalance)} }

// RecordRequest counts a request of the team. It must not be called for retries.
func (b *TeamBudget) RecordRequest(team qm.TeamID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropIdle(now)
	a := b.teams[team]
	if a == nil {
		a = &teamBalance{}
		b.teams[team] = a
	}
	a.unspentRequests = min(a.unspentRequests+1, maxSavedRetries*RequestsPerRetry)
	a.lastRequest = now
}

// TakeRetry takes one retry from the budget of the team. It reports false if the team has not earned one.
func (b *TeamBudget) TakeRetry(team qm.TeamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.teams[team]
	if a == nil || a.unspentRequests < RequestsPerRetry {
		return false
	}
	a.unspentRequests -= RequestsPerRetry
	return true
}

// Teams returns the number of teams with a balance.
func (b *TeamBudget) Teams() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.teams)
}

// dropIdle drops the balances of idle teams, at most once per idleTimeout. The caller holds b.mu.
func (b *TeamBudget) dropIdle(now time.Time) {
	if now.Sub(b.lastSweep) < idleTimeout {
		return
	}
	b.lastSweep = now
	for id, a := range b.teams {
		if now.Sub(a.lastRequest) >= idleTimeout {
			delete(b.teams, id)
		}
	}
}
