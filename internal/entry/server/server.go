// Package server builds a router from its settings, runs it, and stops it without aborting requests.
//
// At the start, the listeners open first, so that health checks are answered. The table is read from the log and from peers
// concurrently, and the instance serves requests as soon as it has one.
//
// At a graceful stop, the instance marks itself as leaving, which removes it from the address advice, and tells its peers. It
// accepts requests until every advice that names it has expired, completes all open requests, and closes its components in the
// reverse order of their start.
package server

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"quetzalmount.dev/quetzalmount/internal/infra/conf"
	"quetzalmount.dev/quetzalmount/internal/infra/logs"
)

// Server is one router process.
type Server struct {
	settings   *conf.Settings
	log        logr.Logger
	resources  resources
	components *components
	listeners  []*listener
}

// New builds a router and opens its listeners. Requests are not served before Run is called.
func New(s *conf.Settings, version string, log logr.Logger) (*Server, error) {
	r := resourcesOf(s)
	r.apply()
	c, err := newComponents(s, r.memory, version, log)
	if err != nil {
		return nil, err
	}
	server := &Server{settings: s, log: log, resources: r, components: c}
	if err := server.openListeners(); err != nil {
		server.close()
		return nil, err
	}
	return server, nil
}

// openListeners opens the listeners for callers, operators and peers.
func (s *Server) openListeners() error {
	table := s.resources.newTable(s.settings, s.components.meter.Scope(), s.log.WithName("connections"))
	maxCallers := s.resources.maxCallerConns(s.settings.MaxConns)
	s.components.bodies.OnFull(table.CloseReader)
	s.components.messages.OnFull(table.CloseReader)
	for _, l := range []struct {
		name, address, cert, key string
		maxConns                 int
		newHandler               newHandlerFunc
	}{
		{"callers", s.settings.CallersAddress, s.settings.CallersCert, s.settings.CallersKey, maxCallers, s.components.callerHandler},
		{"operators", s.settings.OperatorsAddress, s.settings.OperatorsCert, s.settings.OperatorsKey, maxOperatorConns, s.components.operatorHandler},
		{"peers", s.settings.PeersAddress, s.settings.PeersCert, s.settings.PeersKey, max(maxCallers/peerConnsDivisor, 1), s.components.peerHandler},
	} {
		h, err := l.newHandler()
		if err != nil {
			return err
		}
		opened, err := listen(table, l.name, l.address, l.cert, l.key, l.maxConns, h, s.settings)
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, opened)
	}
	return nil
}

// Run serves until ctx is done or a listener fails, then stops gracefully. It returns nil if all listeners worked until then.
func (s *Server) Run(ctx context.Context) error {
	defer s.close()
	s.log.Info("serving", "Instance", s.settings.Instance, "Callers", s.settings.CallersAddress)
	return errors.WithMessage(serve(ctx, s.listeners, s.drain), "run router")
}

// serve runs listeners until ctx is done or one of them fails. It then calls drain, which must shut them down, and returns the first failure.
func serve(ctx context.Context, listeners []*listener, drain func()) error {
	group, failed := errgroup.WithContext(context.Background())
	for _, l := range listeners {
		group.Go(l.serve)
	}
	select {
	case <-ctx.Done():
	case <-failed.Done():
	}
	drain()
	return group.Wait()
}

// drain marks this router as leaving, waits until callers no longer use its address, and shuts its listeners down after their open
// requests.
func (s *Server) drain() {
	s.log.Info("leaving", "Instance", s.settings.Instance, logs.Step, "advice")
	s.components.board.Leaving.Store(true)
	s.components.peer.TriggerRound()
	// Callers that received this address just before may use it until their advice expires.
	time.Sleep(s.settings.AdviceValidity)
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.StopTimeout)
	defer cancel()
	for _, l := range s.listeners {
		l.shutdown(ctx, s.log)
	}
	s.log.Info("left", "Instance", s.settings.Instance)
}

func (s *Server) close() {
	for _, l := range s.listeners {
		_ = l.server.Close()
	}
	s.components.close()
}
