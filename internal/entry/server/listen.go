package server

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"quetzalmount.dev/quetzalmount/internal/infra/certs"
	"quetzalmount.dev/quetzalmount/internal/infra/conf"
)

// maxHeaderBytes bounds the headers of a request. Callers send a key, an id and little else.
const maxHeaderBytes = 16 << 10

// idleTimeout closes connections that callers leave open without requests.
const idleTimeout = 2 * time.Minute

// listener is one of the three HTTP servers of a router.
type listener struct {
	name   string
	server *http.Server
	net    net.Listener
}

// listen opens a listener. certFile is empty for one without TLS; conns of 0 means no bound on connections.
func listen(name, address, certFile, keyFile string, conns int, h http.Handler, s *conf.Settings) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithMessagef(err, "listen for %s", name)
	}
	if conns > 0 {
		l = netutil.LimitListener(l, conns)
	}
	if certFile != "" {
		r, err := certs.New(certFile, keyFile)
		if err != nil {
			_ = l.Close()
			return nil, errors.WithMessagef(err, "listen for %s", name)
		}
		l = tls.NewListener(l, r.Config())
	}
	return &listener{name: name, net: l, server: &http.Server{
		Handler: h, ReadHeaderTimeout: s.ReadHeaderTimeout, ReadTimeout: s.ReadBodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}}, nil
}

// serve serves until the listener is shut down.
func (l *listener) serve() error {
	err := l.server.Serve(l.net)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithMessagef(err, "serve %s", l.name)
}

// shutdown waits for open requests, and cuts them when the context ends.
func (l *listener) shutdown(ctx context.Context, log logr.Logger) {
	if err := l.server.Shutdown(ctx); err != nil {
		log.Error(err, "open requests were cut", "Listener", l.name)
		_ = l.server.Close()
	}
}

// peerKeyHeader carries the key that routers share.
const peerKeyHeader = "X-Peer-Key"

// requirePeerKey refuses requests of processes that do not know the shared key.
func requirePeerKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(peerKeyHeader)), []byte(key)) != 1 {
			http.Error(w, "wrong key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// peerTLS returns the TLS settings for requests to other routers, nil if caFile is empty.
func peerTLS(caFile string) (*tls.Config, error) {
	if caFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.WithMessage(err, "read PeersCA")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s holds no certificate", caFile)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}, nil
}

// peerClient adds the shared key to requests to other routers.
type peerClient struct {
	key    string
	client *http.Client
}

// Do sends a request.
func (c *peerClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set(peerKeyHeader, c.key)
	return c.client.Do(r)
}
