package server

import (
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
)

// health passes what a request observes of an endpoint to the roster.
type health struct{ roster *roster.Roster }

// Allow reports whether an endpoint may be used. The roster has the states.
func (h *health) Allow(qm.EndpointID) bool { return true }

// Succeeded tells that the endpoint answered.
func (h *health) Succeeded(id qm.EndpointID) { h.roster.Succeeded(id, "") }

// Failed tells that a request failed at the endpoint. A full queue is no fault of the endpoint, and a request that the
// endpoint calls invalid is one of the caller.
func (h *health) Failed(id qm.EndpointID, err error) {
	var e *qm.Error
	if errors.As(err, &e) && (e.Code == qm.CodeQueueFull || e.Code == qm.CodeBadRequest) {
		return
	}
	h.roster.Failed(id)
}

// oneRetry allows every retry; the callers of Retry bound the tries of one request.
type oneRetry struct{}

// Request implements relay.Budget.
func (oneRetry) Request(qm.TeamID) {}

// Retry implements relay.Budget.
func (oneRetry) Retry(qm.TeamID) bool { return true }
