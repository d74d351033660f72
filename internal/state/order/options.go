package order

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// Stream is the log stream of claims.
const Stream qm.StreamID = "orders"

// Engines sends commands to engines.
type Engines interface {
	// Desire tells an endpoint what to load and to do. It returns when the engine took or refused the command, which is
	// before the load has ended. An *Error with outcome NotRun means that the engine refused it; after any other error
	// it may take effect, now or within LongestDelay.
	Desire(ctx context.Context, e *qm.Endpoint, fence qm.Offset, v qm.VersionID, adapters []qm.AdapterID, role string) error
}

// Options are the parts that a Controller works with.
type Options struct {
	Log     qm.Log
	Board   *board.Board
	Engines Engines
	// Holder names this process: instance and incarnation.
	Holder string
	// Owner reports whether this instance is the one that should command an endpoint. Two owners do no harm.
	Owner  func(qm.EndpointID) bool
	Logger logr.Logger
}

func (o *Options) setDefaults() {
	if o.Logger.GetSink() == nil {
		o.Logger = logr.Discard()
	}
}

func newAttempt() qm.AttemptID { return qm.AttemptID(uuid.NewString()) }

const (
	// MaxCommandDelay is how long a command may travel to an endpoint that does not check fencing tokens. A successor waits
	// for it in addition to the lease.
	MaxCommandDelay = 5 * time.Second
	// OutOfServiceDivisor is the part of a group that a roll-out may take out of service: one engine in four, at least one.
	OutOfServiceDivisor = 4
	// loadTimeout is when a load counts as failed; the brief has 2 s for one or two loads at once.
	loadTimeout = 30 * time.Second
	// retryAfter is how long an endpoint is left alone after it refused commands or did not finish loading, so that one
	// broken engine does not keep a slot.
	failureBackoff = 10 * time.Second
	// mostRefusals of one claim; after them the slot goes to another endpoint.
	maxRefusals = 3
	// tick is how often the worker of a slot looks at the endpoint that it loads.
	pollInterval = 100 * time.Millisecond
	// idleTick is how often it looks for work. A look at 3,200 engines costs about half a millisecond (BenchmarkPick).
	idlePollInterval = 500 * time.Millisecond
	// longPoll, readTimeout and readPause bound reads of the log.
	longPoll       = 10 * time.Second
	readTimeout    = longPoll + 5*time.Second
	readRetryDelay = 200 * time.Millisecond
	readLimit      = 256
)
