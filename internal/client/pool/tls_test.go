package pool_test

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"quetzalmount.dev/quetzalmount/internal/client/pool"
)

// TestTraceTLS guards against a trace that doesn't see connections with TLS: it would report a request that was sent as not sent, and could
// neither tell a kept connection from a new one nor close it.
func TestTraceTLS(t *testing.T) {
	var abort atomic.Bool
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if abort.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, "x")
	})
	for name, start := range map[string]func(http.Handler) *httptest.Server{"plain": httptest.NewServer, "TLS": httptest.NewTLSServer} {
		t.Run(name, func(t *testing.T) {
			abort.Store(false)
			s := start(handler)
			defer s.Close()
			roots := x509.NewCertPool()
			if s.Certificate() != nil {
				roots.AddCert(s.Certificate())
			}
			p := pool.New(pool.Options{TLS: &tls.Config{RootCAs: roots}})
			defer p.Close()
			send := func(method string) (*pool.Trace, error) {
				trace := &pool.Trace{}
				req, err := http.NewRequestWithContext(trace.Context(t.Context()), method, s.URL, nil)
				if err != nil {
					t.Fatal(err)
				}
				resp, err := p.RoundTrip(req)
				if err != nil {
					return trace, err
				}
				return trace, pool.Drain(resp)
			}
			for n, want := range []bool{false, true} {
				trace, err := send(http.MethodGet)
				if err != nil || trace.Reused() != want {
					t.Errorf("request %d: error %v, Reused() = %t, want %t", n, err, trace.Reused(), want)
				}
				if n == 1 {
					trace.CloseConns()
					p.Close()
				}
			}
			if trace, err := send(http.MethodGet); err != nil || trace.Reused() {
				t.Errorf("after CloseConns: error %v, Reused() = %t", err, trace.Reused())
			}
			abort.Store(true)
			if trace, err := send(http.MethodPost); err == nil || !trace.Sent() {
				t.Errorf("aborted request: error %v, Sent() = %t, want an error and true", err, trace.Sent())
			}
		})
	}
}
