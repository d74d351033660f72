package server

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/route/retry"
)

// health joins the circuit breakers with the roster: what a request observes of an endpoint reaches both.
type health struct {
	breakers *retry.Breakers
	roster   *roster.Roster
}

// Ready implements quetzalmount.Health.
func (h *health) Ready(id qm.EndpointID) bool { return h.breakers.Ready(id, time.Now()) }

// Begin implements quetzalmount.Health.
func (h *health) Begin(id qm.EndpointID) qm.Attempt {
	return &attempt{health: h, id: id, permit: h.breakers.Begin(id, time.Now())}
}

// attempt is one request at an endpoint.
type attempt struct {
	health *health
	id     qm.EndpointID
	permit retry.Permit
}

// Succeeded implements quetzalmount.Attempt.
func (a *attempt) Succeeded() {
	a.permit.Report(true, time.Now())
	a.health.roster.Succeeded(a.id, "")
}

// Failed implements quetzalmount.Attempt. A full queue is no fault of the endpoint, and a request that the endpoint calls invalid is
// one of the caller.
func (a *attempt) Failed(err error) {
	var e *qm.Error
	if errors.As(err, &e) && (e.Code == qm.CodeQueueFull || e.Code == qm.CodeBadRequest) {
		a.permit.Report(true, time.Now())
		return
	}
	a.permit.Report(false, time.Now())
	a.health.roster.Failed(a.id)
}

const (
	// reservePerSecond and reserveBurst are the retries that an instance allows beside what the teams have earned. A team that
	// sends a request a minute has earned none when its engine crashes.
	reservePerSecond = 1
	reserveBurst     = 10
)

// budget bounds retries: each team spends what its requests have earned, then the small reserve of the instance.
type budget struct {
	teams   *retry.Budget
	reserve *rate.Limiter
}

func newBudget() *budget {
	return &budget{teams: retry.NewBudget(), reserve: rate.NewLimiter(reservePerSecond, reserveBurst)}
}

// Request implements quetzalmount.RetryBudget.
func (b *budget) Request(team qm.TeamID) { b.teams.Request(team, time.Now()) }

// Retry implements quetzalmount.RetryBudget.
func (b *budget) Retry(team qm.TeamID) bool { return b.teams.Spend(team) || b.reserve.Allow() }
