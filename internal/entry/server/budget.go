package server

import (
	"time"

	"golang.org/x/time/rate"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/retry"
)

const (
	// reserveRetriesPerSecond and reserveRetryBurst bound the retries that an instance allows in addition to those that teams have
	// earned. Without a reserve, a team with one request a minute has no retry available when its engine crashes.
	reserveRetriesPerSecond = 1
	reserveRetryBurst       = 10
)

// retryBudget limits retries. Each team first uses the retries that its own requests earned, then the reserve that all teams of the
// instance share.
type retryBudget struct {
	teams   *retry.TeamBudget
	reserve *rate.Limiter
}

func newRetryBudget() *retryBudget {
	return &retryBudget{teams: retry.NewTeamBudget(), reserve: rate.NewLimiter(reserveRetriesPerSecond, reserveRetryBurst)}
}

// RecordRequest implements quetzalmount.RetryBudget.
func (b *retryBudget) RecordRequest(team qm.TeamID) { b.teams.RecordRequest(team, time.Now()) }

// TakeRetry implements quetzalmount.RetryBudget.
func (b *retryBudget) TakeRetry(team qm.TeamID) bool {
	return b.teams.TakeRetry(team) || b.reserve.Allow()
}
