// Package health reports the results of requests to endpoints to both the circuit breakers and the roster.
package health

import (
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/route/retry"
)

// Health records the results of requests to endpoints. It is safe for concurrent use.
type Health struct {
	breakers *retry.Breakers
	roster   *roster.Roster
}

var _ qm.Health = (*Health)(nil)

// New returns a Health with its own circuit breakers that reports results to r.
func New(r *roster.Roster) *Health { return &Health{breakers: retry.NewBreakers(), roster: r} }

// Failing returns the number of endpoints whose last request failed.
func (h *Health) Failing() int { return h.breakers.Failing() }

// Ready implements quetzalmount.Health.
func (h *Health) Ready(id qm.EndpointID) bool { return h.breakers.Ready(id, time.Now()) }

// Begin implements quetzalmount.Health.
func (h *Health) Begin(id qm.EndpointID) qm.Attempt {
	return &attempt{health: h, id: id, permit: h.breakers.Begin(id, time.Now())}
}

// attempt is one request to an endpoint.
type attempt struct {
	health *Health
	id     qm.EndpointID
	permit retry.Permit
}

// Succeeded implements quetzalmount.Attempt.
func (a *attempt) Succeeded() {
	a.permit.Report(true, time.Now())
	a.health.roster.MarkSucceeded(a.id, "")
}

// Failed implements quetzalmount.Attempt. A full queue is not a fault of the endpoint, and a request that the endpoint rejects as invalid
// is a fault of the caller, so neither counts as a failure.
func (a *attempt) Failed(err error) {
	var e *qm.Error
	if errors.As(err, &e) && (e.Code == qm.CodeQueueFull || e.Code == qm.CodeBadRequest) {
		a.permit.Report(true, time.Now())
		return
	}
	a.permit.Report(false, time.Now())
	a.health.roster.MarkFailed(a.id)
}

// Abandoned implements quetzalmount.Attempt.
func (a *attempt) Abandoned() { a.permit.Abandon(time.Now()) }
