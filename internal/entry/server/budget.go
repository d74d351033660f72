package server

import (
	"time"

	"golang.org/x/time/rate"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/route/retry"
)

const (
	// reservePerSecond and reserveBurst are the retries that an instance allows beside what the teams have earned. A team that
	// sends a request a minute has earned none when its engine crashes.
	reservePerSecond = 1
	reserveBurst     = 10
)

// budget bounds retries: each team spends what its requests have earned, then the small reserve of the instance.
type budget struct {
	teams   *retry.TeamBudget
	reserve *rate.Limiter
}

func newBudget() *budget {
	return &budget{teams: retry.NewTeamBudget(), reserve: rate.NewLimiter(reservePerSecond, reserveBurst)}
}

// Request implements quetzalmount.RetryBudget.
func (b *budget) RecordRequest(team qm.TeamID) { b.teams.AddRequest(team, time.Now()) }

// Retry implements quetzalmount.RetryBudget.
func (b *budget) TakeRetry(team qm.TeamID) bool { return b.teams.Spend(team) || b.reserve.Allow() }
