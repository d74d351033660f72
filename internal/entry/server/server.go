// Package server assembles one router from its settings, runs it, and stops it without cutting a request.
//
// Start: the listeners open first, so that health can be asked; the table comes from the log and from peers at the same time,
// and the instance serves as soon as it has one. Stop: the instance leaves the address advice and tells its peers, accepts
// requests until every advice that names it has run out, finishes all open requests, and closes its parts in the reverse order
// of their start.
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
	settings  *conf.Settings
	log       logr.Logger
	parts     *parts
	listeners []*listener
}

// New assembles a router and opens its listeners. Nothing is served before Run.
func New(s *conf.Settings, version string, log logr.Logger) (*Server, error) {
	p, err := assemble(s, version, log)
	if err != nil {
		return nil, err
	}
	server := &Server{settings: s, log: log, parts: p}
	if err := server.open(); err != nil {
		server.close()
		return nil, err
	}
	return server, nil
}

func (s *Server) open() error {
	for _, l := range []struct {
		name, address, cert, key string
		conns                    int
		handler                  handlerOf
	}{
		{"callers", s.settings.CallersAddress, s.settings.CallersCert, s.settings.CallersKey, s.settings.MaxConns, s.parts.callers},
		{"operators", s.settings.OperatorsAddress, s.settings.OperatorsCert, s.settings.OperatorsKey, 0, s.parts.operators},
		{"peers", s.settings.PeersAddress, s.settings.PeersCert, s.settings.PeersKey, 0, s.parts.peers},
	} {
		h, err := l.handler()
		if err != nil {
			return err
		}
		opened, err := listen(l.name, l.address, l.cert, l.key, l.conns, h, s.settings)
		if err != nil {
			return err
		}
		s.listeners = append(s.listeners, opened)
	}
	return nil
}

// Run serves until ctx ends, then stops gracefully. It returns nil if every open request was finished.
func (s *Server) Run(ctx context.Context) error {
	defer s.close()
	group, failed := errgroup.WithContext(context.Background())
	for _, l := range s.listeners {
		group.Go(l.serve)
	}
	s.log.Info("serving", "Instance", s.settings.Instance, "Callers", s.settings.CallersAddress)
	select {
	case <-ctx.Done():
		s.leave()
	case <-failed.Done():
	}
	return errors.WithMessage(group.Wait(), "run router")
}

// leave stops the router without cutting a request.
func (s *Server) leave() {
	s.log.Info("leaving", "Instance", s.settings.Instance, logs.Step, "advice")
	s.parts.board.Leaving.Store(true)
	s.parts.peer.TriggerRound()
	// Callers that got this address just before may use it until their advice has run out.
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
	s.parts.close()
}
