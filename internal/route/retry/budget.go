package retry

import (
	"sync"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// RequestsPerRetry is the number of requests that earn a team one retry: 10%, from the design.
	RequestsPerRetry = 10
	// maxSaved bounds the retries that a team saves up, so that a quiet hour does not pay for a burst.
	maxSaved = 10
	// idleTime is how long a team without requests keeps its account.
	idleTime = time.Minute
)

// account counts requests that are not spent on retries yet.
type account struct {
	earned int
	used   time.Time
}

// Budget bounds the retries of each team to a share of its requests. An idle team has no state, and loses its savings. The
// zero Budget is not ready; use NewBudget.
type TeamBudget struct {
	mu    sync.Mutex
	teams map[qm.TeamID]*account
	swept time.Time
}

// NewBudget returns a budget in which no team has earned a retry yet.
func NewTeamBudget() *TeamBudget { return &TeamBudget{teams: make(map[qm.TeamID]*account)} }

// Request counts a request of the team; retries are not counted.
func (b *TeamBudget) AddRequest(team qm.TeamID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	a := b.teams[team]
	if a == nil {
		a = &account{}
		b.teams[team] = a
	}
	a.earned = min(a.earned+1, maxSaved*RequestsPerRetry)
	a.used = now
}

// Spend takes one retry from the budget of the team. It reports false if the team has not earned one.
func (b *TeamBudget) Spend(team qm.TeamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.teams[team]
	if a == nil || a.earned < RequestsPerRetry {
		return false
	}
	a.earned -= RequestsPerRetry
	return true
}

// Teams returns the number of teams with an account.
func (b *TeamBudget) Teams() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.teams)
}

// sweep drops the accounts of idle teams, once in an idle time. The caller holds b.mu.
func (b *TeamBudget) sweep(now time.Time) {
	if now.Sub(b.swept) < idleTime {
		return
	}
	b.swept = now
	for id, a := range b.teams {
		if now.Sub(a.used) >= idleTime {
			delete(b.teams, id)
		}
	}
}
