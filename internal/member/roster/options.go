package roster

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

const (
	// DefaultListInterval is the time between two reads of the instance list. The list itself lags by seconds, so that a shorter interval
	// gains little.
	DefaultListInterval = 2 * time.Second
	// DefaultPollInterval is the time between two rounds of load polls.
	DefaultPollInterval = time.Second
	// DefaultPollsPerRound bounds the load polls of a round. Of a node's budget of 3 kB/s for control traffic, the exchange between 420
	// routers takes 1.8 kB/s and a poll about 700 bytes with its headers, so that one poll per second leaves 0.5 kB/s for borrowing. Small
	// systems can afford more.
	DefaultPollsPerRound = 1
	// DefaultTimeout bounds one poll or probe.
	DefaultTimeout = time.Second
	// DefaultRecentUse is how long an engine takes precedence in polls after this router sent it a request.
	DefaultRecentUse = 30 * time.Second
	// PollersPerEngine is the number of routers that rendezvous hashing assigns to each engine. With two, the state of an unused engine
	// stays known when one of them stops.
	PollersPerEngine = 2
	// FailuresToSuspect is the number of failures in a row after which an endpoint is suspect even though new connections to it succeed: an
	// engine may accept connections without answering.
	FailuresToSuspect = 3
	// maxConcurrentProbes bounds the probes in progress, so that the failure of a rack does not exhaust the sockets.
	maxConcurrentProbes = 16
	// maxHints bounds the hints that are queued for peers.
	maxHints = 64
)

// Report is the state that an endpoint reports about itself.
type Report struct {
	Incarnation qm.Incarnation
	Load        qm.Load
	Version     qm.VersionID
	Adapters    []qm.AdapterID
	Role        string
	Leaving     bool
}

// Options are the settings of a Roster. Board and List are required. A nil FetchReport disables load polls, a nil Probe disables probes.
// Zero values of the others select the defaults.
type Options struct {
	// Board receives the members and the endpoints.
	Board *board.Board
	// Self is this router. It is a member even if the instance list does not contain it yet.
	Self qm.Member
	// List reads the instance list.
	List func(context.Context) ([]qm.Member, []*qm.Endpoint, error)
	// FetchReport asks an engine for its load report.
	FetchReport func(context.Context, *qm.Endpoint) (Report, error)
	// Probe opens a new connection to an endpoint and closes it.
	Probe func(context.Context, *qm.Endpoint) error
	// Log receives a line for each change in the state of a router or an endpoint. The zero value discards them.
	Log logr.Logger
	// OnRestart is called when an endpoint answers with another incarnation than before. It must not call the Roster.
	OnRestart func(qm.EndpointID, qm.Incarnation)

	// Timeout bounds one poll or probe.
	ListInterval, PollInterval, Timeout, RecentUse time.Duration
	PollsPerRound                                  int
}

func orDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (o *Options) setDefaults() {
	orDefault(&o.ListInterval, DefaultListInterval)
	orDefault(&o.PollInterval, DefaultPollInterval)
	orDefault(&o.Timeout, DefaultTimeout)
	orDefault(&o.RecentUse, DefaultRecentUse)
	orDefault(&o.PollsPerRound, DefaultPollsPerRound)
	if o.OnRestart == nil {
		o.OnRestart = func(qm.EndpointID, qm.Incarnation) {}
	}
	o.Self.IsSelf = true
	if o.Self.State == "" {
		o.Self.State = qm.Live
	}
}
