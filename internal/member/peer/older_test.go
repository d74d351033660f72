package peer_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/client/pool"
	"quetzalmount.dev/quetzalmount/internal/member/peer"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/standin/rawsrv"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// serveRepeating serves h on l until the test ends. It writes the first answer of a connection once more before each later one.
func serveRepeating(t *testing.T, l net.Listener, h http.Handler) {
	t.Helper()
	t.Cleanup(func() { _ = l.Close() })
	go rawsrv.Serve(l, func(c net.Conn, in *bufio.Reader) {
		var first []byte
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			rec := httptest.NewRecorder()
			h.ServeHTTP(rec, r)
			_, _ = io.Copy(io.Discard, r.Body)
			resp := rec.Result()
			resp.ContentLength = int64(rec.Body.Len())
			var own bytes.Buffer
			if resp.Write(&own) != nil {
				return
			}
			_, _ = c.Write(append(bytes.Clone(first), own.Bytes()...))
			if first == nil {
				first = own.Bytes()
			}
		}
	})
}

// newCountingPeer returns a Peer that answers call number n, from 1, with n.
func newCountingPeer(t *testing.T) *peer.Peer {
	t.Helper()
	var calls atomic.Int64
	b := board.New()
	r := roster.New(t.Context(), roster.Options{Board: b, List: func(context.Context) ([]qm.Member, []*qm.Endpoint, error) { return nil, nil, nil }})
	t.Cleanup(r.Close)
	p := peer.New(t.Context(), peer.Options{
		Board: b, Roster: r, Client: http.DefaultClient,
		Lend: func(context.Context, *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
			return &peerpb.BorrowResponse{LeaseMs: calls.Add(1)}, nil
		},
		Snapshot: func(context.Context, qm.Offset) ([]byte, qm.Offset, error) { return nil, qm.Offset(calls.Add(1)), nil },
		HandleLoads: func(*peerpb.LoadShare) *peerpb.LoadShare {
			return &peerpb.LoadShare{Routers: int32(calls.Add(1))}
		},
	})
	t.Cleanup(p.Close)
	return p
}

// TestPeerAnswerReadAgain guards against an earlier answer of a router that is taken for the one to a later call: shares of limits would be
// counted twice, and old loads, tables or states believed.
func TestPeerAnswerReadAgain(t *testing.T) {
	calls := map[string]func(*peer.Peer, qm.Member) (int64, error){
		"borrow": func(p *peer.Peer, m qm.Member) (int64, error) {
			r, err := p.RequestShares(t.Context(), m, &peerpb.BorrowRequest{})
			return r.GetLeaseMs(), err
		},
		"table": func(p *peer.Peer, m qm.Member) (int64, error) {
			_, offset, err := p.FetchTableFrom(t.Context(), m, 0)
			return int64(offset), err
		},
		"loads": func(p *peer.Peer, m qm.Member) (int64, error) {
			r, err := p.ExchangeLoads(t.Context(), m, &peerpb.LoadShare{})
			return int64(r.GetRouters()), err
		},
	}
	fake := httptest.NewTLSServer(http.NotFoundHandler())
	defer fake.Close()
	roots := x509.NewCertPool()
	roots.AddCert(fake.Certificate())
	for _, scheme := range []string{"http", "https"} {
		for name, call := range calls {
			t.Run(scheme+" "+name, func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				m := qm.Member{Instance: "b", PeerAddress: l.Addr().String()}
				if scheme == "https" {
					l = tls.NewListener(l, &tls.Config{Certificates: fake.TLS.Certificates})
				}
				serveRepeating(t, l, newCountingPeer(t).Handler())
				conns := pool.New(pool.Options{TLS: &tls.Config{RootCAs: roots}})
				defer conns.Close()
				p := newCaller(t, scheme, &http.Client{Transport: conns})
				for n := int64(1); n <= 8; n++ {
					got, err := call(p, m)
					if err == nil && got != n {
						t.Errorf("call %d has answer %d", n, got)
					}
					if n == 2 && !errors.Is(err, qm.ErrWrongRequest) {
						t.Errorf("call %d: %v, want ErrWrongRequest", n, err)
					}
				}
			})
		}
	}
}

// newCaller returns a Peer that calls others with client.
func newCaller(t *testing.T, scheme string, client peerpb.HTTPClient) *peer.Peer {
	t.Helper()
	b := board.New()
	r := roster.New(t.Context(), roster.Options{Board: b, List: func(context.Context) ([]qm.Member, []*qm.Endpoint, error) { return nil, nil, nil }})
	t.Cleanup(r.Close)
	p := peer.New(t.Context(), peer.Options{Board: b, Roster: r, Client: client, Scheme: scheme})
	t.Cleanup(p.Close)
	return p
}

// TestPeerConnections guards against a new connection for each call to a router, and against a router that can't talk to one of a version
// without numbers while a deployment is updated.
func TestPeerConnections(t *testing.T) {
	for name, tt := range map[string]struct {
		repeats            bool
		maxConns, maxFails int64
	}{"same version": {true, 1, 0}, "without numbers": {false, 10, 10}} {
		t.Run(name, func(t *testing.T) {
			var opened atomic.Int64
			h := newCountingPeer(t).Handler()
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !tt.repeats {
					r.Header.Del("N")
				}
				h.ServeHTTP(w, r)
			}))
			s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
				if state == http.StateNew {
					opened.Add(1)
				}
			}
			s.Start()
			defer s.Close()
			conns := pool.New(pool.Options{})
			defer conns.Close()
			p := newCaller(t, "http", &http.Client{Transport: conns})
			var fails int64
			failed := false
			for range 20 {
				_, err := p.RequestShares(t.Context(), qm.Member{Instance: "b", PeerAddress: s.Listener.Addr().String()}, &peerpb.BorrowRequest{})
				if err != nil && failed {
					t.Errorf("second failure in a row: %v", err)
				}
				if failed = err != nil; failed {
					fails++
				}
			}
			if opened.Load() > tt.maxConns || fails > tt.maxFails {
				t.Errorf("%d connections and %d failures of 20 calls, want at most %d and %d", opened.Load(), fails, tt.maxConns, tt.maxFails)
			}
		})
	}
}

// TestPeerStaysLive guards against a router that is taken for dead because it writes answers more than once: the check of the numbers must
// cost no more than a new connection.
func TestPeerStaysLive(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self, other := qm.Member{Instance: "a", State: qm.Live, IsSelf: true}, qm.Member{Instance: "b", PeerAddress: l.Addr().String(), State: qm.Live}
	list := func(context.Context) ([]qm.Member, []*qm.Endpoint, error) {
		return []qm.Member{self, other}, []*qm.Endpoint{{ID: "e", Kind: qm.KindEngine, State: qm.Live}}, nil
	}
	start := func(self qm.Member, client peerpb.HTTPClient) (*peer.Peer, *board.Board) {
		b := board.New()
		r := roster.New(t.Context(), roster.Options{Board: b, Self: self, List: list, ListInterval: 10 * time.Millisecond})
		t.Cleanup(r.Close)
		p := peer.New(t.Context(), peer.Options{
			Board: b, Roster: r, Self: self, Client: client, RoundInterval: 5 * time.Millisecond, UpdateInterval: 5 * time.Millisecond,
		})
		t.Cleanup(p.Close)
		return p, b
	}
	var calls atomic.Int64
	answering, _ := start(qm.Member{Instance: "b", IsSelf: true}, http.DefaultClient)
	serveRepeating(t, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		answering.Handler().ServeHTTP(w, r)
	}))
	conns := pool.New(pool.Options{})
	defer conns.Close()
	_, b := start(self, &http.Client{Transport: conns})
	for calls.Load() < 50 {
		changed := b.Members.Changed()
		members, _ := b.Members.Load()
		for _, m := range members {
			if m.Instance == other.Instance && m.State != qm.Live {
				t.Fatalf("router is %s after %d calls", m.State, calls.Load())
			}
		}
		select {
		case <-changed:
		case <-time.After(10 * time.Millisecond):
		case <-t.Context().Done():
			t.Fatal("timeout")
		}
	}
}
