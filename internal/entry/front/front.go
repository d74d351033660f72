// Package front serves callers: completions, plain service calls, the list of models, the address advice, health and
// readiness.
//
// It turns HTTP requests into the types of the root package and back. Every error that leaves it says whether the request was
// run, what the caller can do, and when to retry. Work is refused as early as it can be: unknown keys before the body is read,
// oversized bodies while they are read, and unknown models before any limit is touched.
package front

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/meter"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/caller"
)

// Advisor returns the addresses that a team should use.
type Advisor func(team qm.TeamID, dc qm.DataCentre) advice.Answer

// Options configure the handlers.
type Options struct {
	Instance            qm.InstanceID
	DataCentre          qm.DataCentre
	Version             string
	MaxBodyBytes        int64
	DefaultOutputTokens qm.Tokens
	// Request is the deadline of a request that names none, Heartbeat the time between comments of a waiting stream, and
	// WriteStall the time after which a caller that takes no data is disconnected.
	Request, Heartbeat, WriteStall time.Duration
}

// Deps are the parts that the handlers use.
type Deps struct {
	Board     *board.Board
	Completer qm.Completer
	Claims    qm.CallRunner
	// Admit takes a call from the limits of its team, or refuses.
	Admit func(ctx context.Context, team *qm.Team, cost qm.Cost) (qm.Grant, error)
	// Repeat runs calls that may be repeated.
	Repeat func(ctx context.Context, c *qm.Call) (qm.CallResult, error)
	Advise Advisor
	Meter  *meter.Meter
	Log    logr.Logger
}

// Handler implements the generated interface of callers.
type Handler struct {
	opts Options
	deps Deps
}

var (
	_ caller.Handler         = (*Handler)(nil)
	_ caller.SecurityHandler = (*Handler)(nil)
)

// New returns the HTTP handler for callers.
func New(opts Options, deps Deps) (http.Handler, error) {
	h := &Handler{opts: opts, deps: deps}
	server, err := caller.NewServer(h, h,
		caller.WithErrorHandler(h.serveError),
		caller.WithNotFound(h.serveNotFound),
		caller.WithMethodNotAllowed(h.serveMethodNotAllowed))
	if err != nil {
		return nil, err
	}
	return h.wrap(server), nil
}

// config returns the table in force, or a refusal while there is none.
func (h *Handler) config() (*qm.Config, error) {
	c, ok := h.deps.Board.Table.Load()
	if !ok {
		return nil, qm.Refuse(qm.CodeNoTable, "configure",
			"This instance has no configuration yet; nothing was run, try again or use another address.").WithRetryAfter(time.Second)
	}
	return c, nil
}
