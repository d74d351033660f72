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
	"quetzalmount.dev/quetzalmount/internal/limit/gate"
	"quetzalmount.dev/quetzalmount/internal/limit/share"
	"quetzalmount.dev/quetzalmount/internal/limit/slot"
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
)

// handlerOf makes the handler of one listener.
type handlerOf func() (http.Handler, error)

// parts are the parts of a router, in the order of their start.
type parts struct {
	settings    *conf.Settings
	version     string
	log         logr.Logger
	incarnation qm.Incarnation
	stop        context.CancelFunc
	// closers end the parts, the first one last.
	closers []func()

	board    *board.Board
	meter    *meter.Meter
	logs     *logsvc.Client
	list     *lister.Client
	engines  *engine.Client
	services *plain.Client
	peerHTTP *http.Client

	roster  *roster.Roster
	adviser *advice.Adviser
	peer    *peer.Peer
	config  *config.Controller
	limiter *share.Limiter
	gate    *gate.Gate
	health  *health.Health
	budget  *budget
	slots   *slot.Pool
	placer  qm.Placer
	// observer is the placer's view of cache events, nil for policies that use none.
	observer qm.CacheObserver
	feed     *feed.Feed
	streams  *stream.Streamer
	invoker  *invoke.Invoker
	claims   *claim.Claims
	orders   *order.Controller
	relay    *relay.Relay
}

func assemble(s *conf.Settings, version string, log logr.Logger) (*parts, error) {
	ctx, stop := context.WithCancel(context.Background())
	p := &parts{
		settings: s, version: version, log: log, incarnation: qm.Incarnation(uuid.NewString()), stop: stop, board: board.New(),
	}
	if err := p.addClients(); err != nil {
		p.close()
		return nil, err
	}
	if err := p.addPlacement(); err != nil {
		p.close()
		return nil, err
	}
	p.addMembers(ctx)
	p.addConfig(ctx)
	p.addLimits(ctx)
	p.addRoutes(ctx)
	if err := p.addState(ctx); err != nil {
		p.close()
		return nil, err
	}
	p.onClose(newMonitor(ctx, p).close)
	return p, nil
}

func (p *parts) onClose(f func()) { p.closers = append(p.closers, f) }

// close ends the parts in the reverse order of their start. Their context ends last: the claims still write the records of calls
// that were answered just before.
func (p *parts) close() {
	for i := len(p.closers) - 1; i >= 0; i-- {
		p.closers[i]()
	}
	p.stop()
}

// closeQuietly closes a part whose error says nothing that an operator could act on while the process ends.
func (p *parts) closeQuietly(name string, closer func() error) {
	p.onClose(func() {
		if err := closer(); err != nil {
			p.log.V(1).Info("close", "Part", name, "Cause", err.Error())
		}
	})
}

func (p *parts) self() qm.Member {
	s := p.settings
	return qm.Member{
		Instance: qm.InstanceID(s.Instance), Address: s.CallersAddress, PeerAddress: s.PeersAddress,
		AdminAddress: s.OperatorsAddress, DataCentre: qm.DataCentre(s.DataCentre), Region: s.Region, State: qm.Live,
		Incarnation: p.incarnation, IsSelf: true,
	}
}

func (p *parts) addClients() error {
	opts := pool.Options{MaxAge: p.settings.MaxConnAge}
	p.meter = meter.New(qm.InstanceID(p.settings.Instance), p.settings.MaxMeteredTeams)
	p.closeQuietly("meter", p.meter.Close)
	p.logs = logsvc.New(p.settings.LogAddress, opts)
	p.closeQuietly("log client", p.logs.Close)
	p.list = lister.New(p.settings.ListAddress, opts)
	p.closeQuietly("list client", p.list.Close)
	p.engines = engine.New(opts)
	p.closeQuietly("engine client", p.engines.Close)
	p.services = plain.New(opts)
	p.closeQuietly("service client", p.services.Close)
	peers, err := peerTLS(p.settings.PeersCA)
	if err != nil {
		return err
	}
	opts.TLS = peers
	connections := pool.New(opts)
	p.peerHTTP = &http.Client{Transport: connections}
	p.onClose(connections.Close)
	return nil
}

func (p *parts) addPlacement() error {
	for _, policy := range policies() {
		if policy.Name == p.settings.Policy {
			p.placer = policy.New()
			p.observer, _ = p.placer.(qm.CacheObserver)
			return nil
		}
	}
	return errors.Errorf("no placement policy %q", p.settings.Policy)
}

func (p *parts) addMembers(ctx context.Context) {
	p.roster = roster.New(ctx, roster.Options{
		Board: p.board, Self: p.self(), List: p.readList, FetchReport: p.readLoad, Probe: pool.Probe, OnRestart: p.incarnationChanged,
		ListInterval: p.settings.ListInterval, PollInterval: p.settings.LoadInterval, PollsPerRound: p.settings.PollsPerRound,
		Log: p.log.WithName("roster"),
	})
	p.onClose(p.roster.Close)
	p.adviser = advice.New(p.board, advice.Options{Validity: p.settings.AdviceValidity})
	p.peer = peer.New(ctx, peer.Options{
		Board: p.board, Roster: p.roster, Self: p.self(), Client: &peerClient{key: p.settings.PeerKey, client: p.peerHTTP},
		Scheme:   p.peerScheme(),
		Snapshot: p.tableSnapshot, Grant: p.grant, RoundInterval: p.settings.PeerRoundInterval,
	})
	p.onClose(p.peer.Close)
}

// peerScheme returns the scheme of requests to other routers.
func (p *parts) peerScheme() string {
	if p.settings.PeersCA != "" {
		return "https"
	}
	return "http"
}

func (p *parts) addConfig(ctx context.Context) {
	p.config = config.New(ctx, config.Options{
		Log: p.logs, Board: p.board, Fetch: p.fetchTable, IsSnapshotOwner: func() bool { return p.owns("config") },
		Retention: p.settings.LogRetention, Logger: p.log.WithName("config"),
	})
	p.closeQuietly("config", p.config.Close)
}

func (p *parts) addLimits(ctx context.Context) {
	p.limiter = share.New(ctx, share.Options{
		Board: p.board, Self: qm.InstanceID(p.settings.Instance), Incarnation: p.incarnation, Borrow: p.peer.RequestShares,
		FloorFraction: p.settings.FloorFraction, EntrySlots: p.settings.EntrySlots,
	})
	p.onClose(p.limiter.Close)
	p.gate = gate.New(p.limiter)
	p.slots = slot.New(ctx, slot.Options{
		Board: p.board, LoadPercent: p.settings.EngineLoadPercent, QueueLength: p.settings.DefaultQueueLength,
	})
	p.onClose(p.slots.Close)
	p.health = health.New(p.roster)
	p.budget = newBudget()
}

func (p *parts) addRoutes(ctx context.Context) {
	if p.observer != nil {
		p.feed = feed.New(ctx, feed.Options{
			Board: p.board, Observer: p.observer, Read: p.readEvents, Every: p.settings.EventsInterval, Log: p.log.WithName("feed"),
		})
		p.onClose(p.feed.Close)
	}
	p.placer = &followed{Placer: p.placer, feed: p.feed, roster: p.roster}
	p.streams = stream.New(p.engines, stream.Options{FirstTokenTimeout: p.settings.FirstTokenTimeout, ProgressTimeout: p.settings.ProgressTimeout})
	p.closeQuietly("streams", p.streams.Close)
	p.relay = relay.New(relay.Deps{
		Board: p.board, Admit: p.gate.Admit, AcquireSlot: p.slots.Acquire, Budget: p.budget, Placer: p.placer, Streamer: p.streams, Health: p.health,
		Meter: p.meter,
	})
	p.invoker = invoke.New(invoke.Deps{Board: p.board, Client: p.services, Health: p.health, TakeRetry: p.budget.TakeRetry})
}

// followed tells the feed and the roster which engines get work.
type followed struct {
	qm.Placer
	feed   *feed.Feed // nil for policies that use no cache events
	roster *roster.Roster
}

// Dispatched implements quetzalmount.Placer.
func (f *followed) Dispatched(r *qm.PlaceRequest, d qm.Placement, now time.Time) {
	if f.feed != nil {
		f.feed.MarkUsed(d.Endpoint.ID, now)
	}
	f.roster.MarkUsed(d.Endpoint.ID)
	f.Placer.Dispatched(r, d, now)
}
