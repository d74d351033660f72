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

	"quetzalmount.dev/quetzalmount/internal/infra/conf"
)

// open starts a listener with short timeouts whose handler reads the body.
func open(t *testing.T, certFile, keyFile string, conns int) *listener {
	t.Helper()
	s := &conf.Settings{ReadHeaderTimeout: 200 * time.Millisecond, ReadBodyTimeout: 400 * time.Millisecond}
	l, err := listen("test", "127.0.0.1:0", certFile, keyFile, conns, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
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

// TestHostileSenders guards against callers that hold a connection or memory with headers without end, or by sending slowly.
// Each case waits for the listener to answer or to close the connection; without the guard it would wait for ever.
func TestHostileSenders(t *testing.T) {
	tests := []struct {
		name, send string
		status     int // 0 if the connection is closed without an answer
	}{
		{"endless headers", "GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", 64<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"slow headers", "GET / HTTP/1.1\r\nHost:", 0},
		{"slow body", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", http.StatusRequestTimeout},
		{"silent", "", 0},
	}
	l := open(t, "", "", 0)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := net.Dial("tcp", l.net.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, tt.send); err != nil {
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

// TestTLS guards against a listener that ignores its certificate.
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
	l := open(t, certFile, keyFile, 4)
	cert, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, ServerName: "example.com"}}}
	defer client.CloseIdleConnections()
	res, err := client.Get(fmt.Sprintf("https://%s/", l.net.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Errorf("status = %s", res.Status)
	}
	plain, err := http.Get(fmt.Sprintf("http://%s/", l.net.Addr()))
	if err == nil {
		_ = plain.Body.Close()
		if plain.StatusCode == http.StatusOK {
			t.Error("the listener answers without TLS")
		}
	}
}

// TestPeerKey guards against processes other than routers that lend or read shares and tables.
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
