package server

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"quetzalmount.dev/quetzalmount/internal/entry/conns"
	"quetzalmount.dev/quetzalmount/internal/infra/conf"
)

// startListener starts a listener with short timeouts whose handler reads the whole request body.
func startListener(t *testing.T, certFile, keyFile string, maxConns int) *listener {
	t.Helper()
	s := &conf.Settings{ReadHeaderTimeout: 200 * time.Millisecond, ReadBodyTimeout: 400 * time.Millisecond}
	l, err := listen(resourcesOf(s).newTable(s, nil, logr.Discard()), "test", "127.0.0.1:0", certFile, keyFile, maxConns, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusRequestTimeout)
		}
	}), s)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- l.serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		l.shutdown(ctx, logr.Discard())
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l
}

// TestHostileSenders guards against clients that tie up memory with unlimited headers, or connections by sending slowly. Each
// case waits for a response or for the connection to be closed, so that a missing limit makes it hang.
func TestHostileSenders(t *testing.T) {
	tests := []struct {
		name, request string
		status        int // 0 if the connection is closed without a response
	}{
		{"endless headers", "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", 64<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"slow headers", "GET / HTTP/1.1\r\nHost:", 0},
		{"slow body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", http.StatusRequestTimeout},
		{"silent", "", 0},
	}
	l := startListener(t, "", "", 0)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := net.Dial("tcp", l.netListener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, tt.request); err != nil {
				t.Fatal(err)
			}
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			status := 0
			if err == nil {
				status = res.StatusCode
				_ = res.Body.Close()
			}
			if status != tt.status {
				t.Errorf("status = %d (%v), want %d", status, err, tt.status)
			}
		})
	}
}

// TestTLS guards against a listener that ignores its certificate and accepts plain HTTP.
func TestTLS(t *testing.T) {
	fake := httptest.NewTLSServer(http.NotFoundHandler())
	pair := fake.TLS.Certificates[0]
	fake.Close()
	key, err := x509.MarshalPKCS8PrivateKey(pair.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	for file, block := range map[string]*pem.Block{
		certFile: {Type: "CERTIFICATE", Bytes: pair.Certificate[0]}, keyFile: {Type: "PRIVATE KEY", Bytes: key},
	} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	l := startListener(t, certFile, keyFile, 4)
	cert, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: "example.com"}}}
	defer client.CloseIdleConnections()
	res, err := client.Get(fmt.Sprintf("https://%s/", l.netListener.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Errorf("status = %s", res.Status)
	}
	plain, err := http.Get(fmt.Sprintf("http://%s/", l.netListener.Addr()))
	if err == nil {
		_ = plain.Body.Close()
		if plain.StatusCode == http.StatusOK {
			t.Error("the listener answers without TLS")
		}
	}
}

// TestPeerKey guards against processes without the shared key that read tables or borrow shares of limits.
func TestPeerKey(t *testing.T) {
	h := requirePeerKey("0123456789abcdef", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	for key, want := range map[string]int{"0123456789abcdef": http.StatusOK, "": http.StatusUnauthorized, "0123456789abcdeX": http.StatusUnauthorized} {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header.Set(peerKeyHeader, key)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != want {
			t.Errorf("key %q: status %d, want %d", key, w.Code, want)
		}
	}
}

// TestFailedListener guards against a router that goes on with some of its listeners, and never ends, because one has failed.
func TestFailedListener(t *testing.T) {
	var all []*listener
	for range 2 {
		l, err := listen(conns.New(conns.Options{}), "test", "127.0.0.1:0", "", "", 0, http.NotFoundHandler(), &conf.Settings{})
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, l)
	}
	ended := make(chan error, 1)
	go func() {
		ended <- serve(t.Context(), all, func() {
			for _, l := range all {
				l.shutdown(t.Context(), logr.Discard())
			}
		})
	}()
	_ = all[0].netListener.Close()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the failure is not reported")
		}
	case <-time.After(5 * time.Second):
		t.Error("the router goes on with one listener")
	}
}
