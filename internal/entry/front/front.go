// Package front implements the HTTP API for callers: completions, calls to plain services, the list of models, address advice,
// health and readiness.
//
// It converts HTTP requests to the types of the root package, and results back. Every error response says whether the request was
// run, what the caller can do, and when to retry. Invalid requests are refused as early as possible: unknown keys before the body
// is read, oversized bodies while they are read, and unknown models before limits are charged.
package front

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/infra/meter"
	"quetzalmount.dev/quetzalmount/internal/limit/memory"
	"quetzalmount.dev/quetzalmount/internal/limit/supply"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/caller"
)

// AdviseFunc returns the router addresses that callers of a team in data centre dc should use.
type AdviseFunc func(team qm.TeamID, dc qm.DataCentre) advice.Answer

// Options configures a Handler.
type Options struct {
	Instance            qm.InstanceID
	DataCentre          qm.DataCentre
	Version             string
	MaxBodyBytes        int64
	DefaultOutputTokens qm.Tokens
	// RequestTimeout is the longest time for a request; callers may ask for less. HeartbeatInterval is the time between comments
	// in an event stream without events. WriteTimeout is the time after which a caller that reads no data is disconnected.
	RequestTimeout, HeartbeatInterval, WriteTimeout time.Duration
}

// Deps are the dependencies of a Handler.
type Deps struct {
	Board     *board.Board
	Completer qm.Completer
	Calls     qm.CallRunner
	// Admit charges a call against the limits of its team, or returns an error that refuses it.
	Admit func(ctx context.Context, team *qm.Team, cost qm.Cost) (qm.Grant, error)
	// RunRepeatable runs a call that its service allows to run more than once.
	RunRepeatable func(ctx context.Context, c *qm.Call) (qm.CallResult, error)
	// Memory limits the bodies of all requests together, Supply the memory for requests in progress; nil for no limit.
	Memory *memory.Limit
	Supply *supply.Limit
	Advise AdviseFunc
	Meter  *meter.Meter
	Log    logr.Logger
}

// Handler implements the interfaces that are generated from the callers' API.
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
	return h.withRequestContext(server), nil
}

// config returns the table in force, or an error with CodeNoTable if there is none yet.
func (h *Handler) config() (*qm.Config, error) {
	c, ok := h.deps.Board.Table.Load()
	if !ok {
		return nil, qm.Refuse(qm.CodeNoTable, "configure",
			"This instance has no configuration yet; nothing was run, try again or use another address.").WithRetryAfter(time.Second)
	}
	return c, nil
}
