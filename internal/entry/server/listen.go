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

	"quetzalmount.dev/quetzalmount/internal/entry/conns"
	"quetzalmount.dev/quetzalmount/internal/infra/certs"
	"quetzalmount.dev/quetzalmount/internal/infra/conf"
)

// maxHeaderBytes limits the headers of a request. Callers send little more than a key and an ID.
const maxHeaderBytes = 16 << 10

// idleTimeout is the time after which a keep-alive connection without requests is closed.
const idleTimeout = 2 * time.Minute

// listener is one of the three HTTP servers of a router: for callers, operators and peers.
type listener struct {
	name        string
	server      *http.Server
	netListener net.Listener
}

// listen opens a listener on a TCP address. The listener uses TLS unless certFile is empty. maxConns limits the concurrent
// connections, 0 for no limit; table holds them.
func listen(table *conns.Table, name, address, certFile, keyFile string, maxConns int, handler http.Handler, s *conf.Settings) (*listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithMessagef(err, "listen for %s", name)
	}
	l = table.Wrap(l, name, maxConns, certFile != "")
	if certFile != "" {
		reloader, err := certs.New(certFile, keyFile)
		if err != nil {
			_ = l.Close()
			return nil, errors.WithMessagef(err, "listen for %s", name)
		}
		l = tls.NewListener(l, reloader.Config())
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: s.ReadHeaderTimeout, ReadTimeout: s.ReadBodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	table.Serve(server)
	return &listener{name: name, netListener: l, server: server}, nil
}

// serve handles connections until the listener is shut down. It returns nil after a shutdown.
func (l *listener) serve() error {
	err := l.server.Serve(l.netListener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithMessagef(err, "serve %s", l.name)
}

// shutdown stops accepting connections and waits for open requests. It aborts those that are still open when ctx is done.
func (l *listener) shutdown(ctx context.Context, log logr.Logger) {
	if err := l.server.Shutdown(ctx); err != nil {
		log.Error(err, "open requests aborted at the shutdown deadline", "Listener", l.name)
		_ = l.server.Close()
	}
}

// peerKeyHeader is the request header with the key that all routers share.
const peerKeyHeader = "X-Peer-Key"

// requirePeerKey returns a handler that answers 401 to requests without the shared key and passes all others to next.
func requirePeerKey(key string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(peerKeyHeader)), []byte(key)) != 1 {
			http.Error(w, "wrong key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// peerTLS returns the TLS configuration for requests to other routers, which trusts the CA certificates in caFile. It returns nil
// if caFile is empty.
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

// peerClient is an HTTP client that adds the shared key to requests to other routers.
type peerClient struct {
	key    string
	client *http.Client
}

// Do sends a request with the shared key.
func (c *peerClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set(peerKeyHeader, c.key)
	return c.client.Do(r)
}
