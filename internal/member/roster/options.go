package roster

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

const (
	// DefaultListEvery is how often the instance list is read. The list lags by seconds itself, so that a shorter time
	// gains little.
	DefaultListEvery = 2 * time.Second
	// DefaultPollEvery is how often a round of load polls starts.
	DefaultPollEvery = time.Second
	// DefaultPollsPerRound bounds the load polls of a round. A poll takes about 700 bytes with its headers, and the exchange
	// between 420 routers 1.8 kB/s, so that one a second leaves 0.5 of the 3 kB/s of a node to borrowing. Small systems
	// can afford more.
	DefaultPollsPerRound = 1
	// DefaultTimeout bounds one poll or probe.
	DefaultTimeout = time.Second
	// DefaultUsedFor is how long an engine that got work from this router is polled first.
	DefaultUsedFor = 30 * time.Second
	// PollersPerEngine is the number of routers that rendezvous hashing assigns to each engine. Two keep the state of an
	// unused engine known when one of them stops.
	PollersPerEngine = 2
	// FailuresToSuspect is the number of failures in a row after which an endpoint is suspect although new connections to
	// it work: an engine may take connections and answer nothing.
	FailuresToSuspect = 3
	// probesAtOnce bounds the probes that run at the same time, so that a lost rack does not take all sockets.
	probesAtOnce = 16
	// hintsKept bounds the evidence that is kept for peers.
	hintsKept = 64
)

// Report is what an endpoint says about itself.
type Report struct {
	Incarnation qm.Incarnation
	Load        qm.Load
	Version     qm.VersionID
	Adapters    []qm.AdapterID
	Role        string
	Leaving     bool
}

// Options are the settings of a Roster. List is required; a nil Load or Probe turns polling or probing off. Zero values
// of the others mean the defaults.
type Options struct {
	// Board takes the members and the endpoints.
	Board *board.Board
	// Self is this router. It is a member even if the list lags.
	Self qm.Member
	// List reads the instance list.
	List func(context.Context) ([]qm.Member, []*qm.Endpoint, error)
	// Load asks an engine for its report.
	Load func(context.Context, *qm.Endpoint) (Report, error)
	// Probe opens a new connection to an endpoint and closes it.
	Probe func(context.Context, *qm.Endpoint) error
	// Log takes a line for each changed belief about a router or an endpoint; the zero value drops them.
	Log logr.Logger
	// Changed is told when an endpoint answers with another incarnation than before. It must not call the Roster.
	Changed func(qm.EndpointID, qm.Incarnation)

	ListEvery, PollEvery, Timeout, UsedFor time.Duration
	PollsPerRound                          int
}

func orDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (o *Options) fill() {
	orDefault(&o.ListEvery, DefaultListEvery)
	orDefault(&o.PollEvery, DefaultPollEvery)
	orDefault(&o.Timeout, DefaultTimeout)
	orDefault(&o.UsedFor, DefaultUsedFor)
	orDefault(&o.PollsPerRound, DefaultPollsPerRound)
	if o.Changed == nil {
		o.Changed = func(qm.EndpointID, qm.Incarnation) {}
	}
	o.Self.IsSelf = true
	if o.Self.State == "" {
		o.Self.State = qm.Live
	}
}
