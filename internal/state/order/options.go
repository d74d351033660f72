package order

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// Stream is the log stream of claims and releases.
const Stream qm.StreamID = "orders"

// Engines sends commands to engines.
type Engines interface {
	// SetDesired commands an endpoint to load a version and adapters and to take a role. It returns when the engine has
	// accepted or refused the command, before the load ends. A *quetzalmount.Error with OutcomeNotRun means that the engine
	// refused the command. After any other error the command may take effect within MaxCommandDelay.
	SetDesired(ctx context.Context, e *qm.Endpoint, fence qm.Offset, v qm.VersionID, adapters []qm.AdapterID, role string) error
}

// Options configures a Controller. All fields but Logger are required.
type Options struct {
	Log     qm.Log
	Board   *board.Board
	Engines Engines
	// Holder is the name of this process, which consists of the instance and its incarnation.
	Holder string
	// Owner reports whether this instance should command an endpoint. It may return true on several instances; the slots
	// ensure that only one of them commands the endpoint.
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
	// MaxCommandDelay is the maximum time in which a command arrives at an endpoint. If the endpoint does not check fencing
	// tokens, the next holder of its slot waits this long in addition to the lease.
	MaxCommandDelay = 5 * time.Second
	// OutOfServiceDivisor limits the engines of a group that a rollout may take out of service to one in four, but at
	// least one.
	OutOfServiceDivisor = 4
	// loadTimeout is the time after which a load has failed. A load takes 2 s if at most two run at the same time.
	loadTimeout = 30 * time.Second
	// failureBackoff is how long an endpoint is not commanded after it refused commands or did not finish a load, so that a
	// broken engine does not occupy a slot.
	failureBackoff = 10 * time.Second
	// maxFailedCommands is the number of failed commands after which the endpoint loses its slot.
	maxFailedCommands = 3
	// pollInterval is how often the state of an endpoint is checked while a slot is claimed for it.
	pollInterval = 100 * time.Millisecond
	// idlePollInterval is how often an idle slot looks for a job. With 3,200 engines this takes about 0.5 ms
	// (BenchmarkNextJob).
	idlePollInterval = 500 * time.Millisecond
	// longPoll is how long a read of the log waits for new records, and readRetryDelay the delay after a failed read.
	longPoll       = 10 * time.Second
	readTimeout    = longPoll + 5*time.Second
	readRetryDelay = 200 * time.Millisecond
	readLimit      = 256
)
