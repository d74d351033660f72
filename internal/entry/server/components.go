package server

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/engine"
	"quetzalmount.dev/quetzalmount/internal/client/lister"
	"quetzalmount.dev/quetzalmount/internal/client/logsvc"
	"quetzalmount.dev/quetzalmount/internal/client/plain"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/infra/conf"
	"quetzalmount.dev/quetzalmount/internal/infra/meter"
	"quetzalmount.dev/quetzalmount/internal/limit/fatal"
	"quetzalmount.dev/quetzalmount/internal/limit/gate"
	"quetzalmount.dev/quetzalmount/internal/limit/memory"
	"quetzalmount.dev/quetzalmount/internal/limit/pause"
	"quetzalmount.dev/quetzalmount/internal/limit/share"
	"quetzalmount.dev/quetzalmount/internal/limit/slot"
	"quetzalmount.dev/quetzalmount/internal/limit/supply"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
	"quetzalmount.dev/quetzalmount/internal/member/health"
	"quetzalmount.dev/quetzalmount/internal/member/peer"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/route/feed"
	"quetzalmount.dev/quetzalmount/internal/route/invoke"
	"quetzalmount.dev/quetzalmount/internal/route/relay"
	"quetzalmount.dev/quetzalmount/internal/route/stream"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/state/claim"
	"quetzalmount.dev/quetzalmount/internal/state/config"
	"quetzalmount.dev/quetzalmount/internal/state/order"
	"quetzalmount.dev/quetzalmount/internal/state/watch"
)

// newHandlerFunc creates the HTTP handler of one listener.
type newHandlerFunc func() (http.Handler, error)

// components are the components of a router, in the order in which they are started.
type components struct {
	settings    *conf.Settings
	version     string
	log         logr.Logger
	incarnation qm.Incarnation
	stop        context.CancelFunc
	// closers close the components. They are called in reverse order.
	closers []func()

	board *board.Board
	meter *meter.Meter
	logs  *logsvc.Client
	// watchedLog is logs for streams to which this router appends too.
	watchedLog *watch.Log
	list       *lister.Client
	// ignoredInstances is the number of unreadable instances in the instance list. Only the loop that reads the list uses it.
	ignoredInstances int
	engines          *engine.Client
	services         *plain.Client
	peerHTTP         *http.Client

	roster  *roster.Roster
	adviser *advice.Adviser
	fatal   *fatal.Tracker
	peer    *peer.Peer
	config  *config.Controller
	limiter *share.Limiter
	gate    *gate.Gate
	health  *health.Health
	budget  *retryBudget
	slots   *slot.Pool
	placer  qm.Placer
	// observer is the placer, if its policy uses cache events, and nil otherwise.
	observer qm.CacheObserver
	feed     *feed.Feed
	streams  *stream.Streamer
	// bodies and messages limit the memory of the bodies of callers' requests and of the messages of other routers.
	bodies, messages *memory.Limit
	invoker          *invoke.Invoker
	claims           *claim.Claims
	orders           *order.Controller
	relay            *relay.Relay
}

// newComponents creates and starts the components of a router with a memory in bytes. If one fails, it closes those already started.
func newComponents(s *conf.Settings, memoryBytes int64, version string, log logr.Logger) (*components, error) {
	ctx, stop := context.WithCancel(context.Background())
	c := &components{
		settings: s, version: version, log: log, incarnation: qm.Incarnation(uuid.NewString()), stop: stop, board: board.New(),
		bodies: memory.New(memoryBytes).Within(supply.Memory), messages: memory.New(memoryBytes).Within(supply.Memory),
	}
	if err := c.addClients(); err != nil {
		c.close()
		return nil, err
	}
	if err := c.addPlacement(); err != nil {
		c.close()
		return nil, err
	}
	c.addMembers(ctx)
	c.addConfig(ctx)
	c.addLimits(ctx)
	c.addRouting(ctx)
	if err := c.addState(ctx); err != nil {
		c.close()
		return nil, err
	}
	c.onClose(newMonitor(ctx, c).close)
	return c, nil
}

// onClose registers a function for close to call.
func (c *components) onClose(f func()) { c.closers = append(c.closers, f) }

// close closes the components in the reverse order of their start. Their context is cancelled last, since the claims still append
// the records of calls that were answered just before.
func (c *components) close() {
	for i := len(c.closers) - 1; i >= 0; i-- {
		c.closers[i]()
	}
	c.stop()
}

// onCloseLogError registers a function for close to call, whose error is logged at debug level only: while the process ends, an
// operator can't act on it.
func (c *components) onCloseLogError(name string, f func() error) {
	c.onClose(func() {
		if err := f(); err != nil {
			c.log.V(1).Info("close", "Part", name, "Cause", err.Error())
		}
	})
}

// selfMember returns this router as a member of the deployment.
func (c *components) selfMember() qm.Member {
	s := c.settings
	return qm.Member{
		Instance: qm.InstanceID(s.Instance), Address: s.CallersAddress, PeerAddress: s.PeersAddress,
		AdminAddress: s.OperatorsAddress, DataCentre: qm.DataCentre(s.DataCentre), Region: s.Region, State: qm.Live,
		Incarnation: c.incarnation, IsSelf: true,
	}
}

func (c *components) addClients() error {
	opts := pool.Options{MaxAge: c.settings.MaxConnAge}
	c.meter = meter.New(qm.InstanceID(c.settings.Instance), c.settings.MaxMeteredTeams)
	c.onCloseLogError("meter", c.meter.Close)
	c.logs = logsvc.New(c.settings.LogAddress, opts)
	c.onCloseLogError("log client", c.logs.Close)
	c.watchedLog = watch.NewLog(c.logs)
	c.list = lister.New(c.settings.ListAddress, opts)
	c.onCloseLogError("list client", c.list.Close)
	c.engines = engine.New(opts)
	c.onCloseLogError("engine client", c.engines.Close)
	c.services = plain.New(opts, c.board.Endpoint)
	c.onCloseLogError("service client", c.services.Close)
	tlsConfig, err := peerTLS(c.settings.PeersCA)
	if err != nil {
		return err
	}
	opts.TLS = tlsConfig
	transport := pool.New(opts)
	c.peerHTTP = &http.Client{Transport: transport}
	c.onClose(transport.Close)
	return nil
}

func (c *components) addPlacement() error {
	for _, policy := range policies() {
		if policy.Name == c.settings.Policy {
			c.placer = policy.New()
			c.observer, _ = c.placer.(qm.CacheObserver)
			return nil
		}
	}
	return errors.Errorf("no placement policy %q", c.settings.Policy)
}

func (c *components) addMembers(ctx context.Context) {
	c.roster = roster.New(ctx, roster.Options{
		Board: c.board, Self: c.selfMember(), List: c.readList, FetchReport: c.readLoad, Probe: pool.Probe, OnRestart: c.incarnationChanged,
		ListInterval: c.settings.ListInterval, PollInterval: c.settings.LoadInterval, PollsPerRound: c.settings.PollsPerRound,
		Log: c.log.WithName("roster"),
	})
	c.onClose(c.roster.Close)
	c.adviser = advice.New(c.board, advice.Options{Validity: c.settings.AdviceValidity})
	self := qm.InstanceID(c.settings.Instance)
	c.fatal = fatal.New(ctx, fatal.Options{
		Probe: pool.Probe, Lookup: c.board.Endpoint, Announce: func() { c.peer.TriggerRound() }, Scope: c.meter.Scope(), Log: c.log.WithName("fatal"),
		IsFirst: func(fp qm.Fingerprint) bool {
			members, _ := c.board.Members.Load()
			return fatal.IsFirst(members, self, fp)
		},
	})
	c.onClose(c.fatal.Close)
	c.peer = peer.New(ctx, peer.Options{
		Reports: c.fatal,
		Board:   c.board, Roster: c.roster, Self: c.selfMember(), Client: &peerClient{key: c.settings.PeerKey, client: c.peerHTTP},
		Scheme:   c.peerScheme(),
		Memory:   c.messages,
		Snapshot: c.tableSnapshot, Lend: c.lendShares, RoundInterval: c.settings.PeerRoundInterval,
	})
	c.onClose(c.peer.Close)
}

// peerScheme returns the URL scheme of requests to other routers.
func (c *components) peerScheme() string {
	if c.settings.PeersCA != "" {
		return "https"
	}
	return "http"
}

func (c *components) addConfig(ctx context.Context) {
	c.config = config.New(ctx, config.Options{
		Log: c.logs, Board: c.board, Fetch: c.fetchTable, IsSnapshotOwner: func() bool { return c.owns("config") },
		Retention: c.settings.LogRetention, Logger: c.log.WithName("config"),
	})
	c.onCloseLogError("config", c.config.Close)
}

func (c *components) addLimits(ctx context.Context) {
	c.limiter = share.New(ctx, share.Options{
		Board: c.board, Self: qm.InstanceID(c.settings.Instance), Incarnation: c.incarnation, Borrow: c.peer.RequestShares,
		FloorFraction: c.settings.FloorFraction, EntrySlots: c.settings.EntrySlots,
	})
	c.onClose(c.limiter.Close)
	c.gate = gate.New(c.limiter)
	c.slots = slot.New(ctx, slot.Options{
		Board: c.board, LoadPercent: c.settings.EngineLoadPercent, QueueLength: c.settings.DefaultQueueLength,
	})
	c.onClose(c.slots.Close)
	c.health = health.New(c.roster)
	c.budget = newRetryBudget()
}

func (c *components) addRouting(ctx context.Context) {
	if c.observer != nil {
		c.feed = feed.New(ctx, feed.Options{
			Board: c.board, Observer: c.observer, Read: c.readEvents, Interval: c.settings.EventsInterval, Log: c.log.WithName("feed"),
		})
		c.onClose(c.feed.Close)
	}
	c.placer = &useTrackingPlacer{Placer: c.placer, feed: c.feed, roster: c.roster}
	c.streams = stream.New(c.engines, stream.Options{FirstTokenTimeout: c.settings.FirstTokenTimeout, ProgressTimeout: c.settings.ProgressTimeout})
	c.onCloseLogError("streams", c.streams.Close)
	c.relay = relay.New(relay.Deps{
		Board: c.board, Admit: c.gate.Admit, AcquireSlot: c.slots.Acquire, RetryBudget: c.budget, Placer: c.placer, Streamer: c.streams, Health: c.health,
		Meter: c.meter, Pauses: pause.New(), Fatal: c.fatal,
	})
	c.invoker = invoke.New(invoke.Deps{Board: c.board, Client: c.services, Health: c.health, TakeRetry: c.budget.TakeRetry})
}

// useTrackingPlacer is a Placer that also tells the feed and the roster which engines receive requests. The feed reads the cache
// events of these engines, and the roster polls their loads first.
type useTrackingPlacer struct {
	qm.Placer
	feed   *feed.Feed // nil if the placement policy uses no cache events
	roster *roster.Roster
}

// Dispatched implements quetzalmount.Placer.
func (t *useTrackingPlacer) Dispatched(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	if t.feed != nil {
		t.feed.MarkUsed(d.Endpoint.ID, now)
	}
	t.roster.MarkUsed(d.Endpoint.ID)
	t.Placer.Dispatched(r, d, now)
}
