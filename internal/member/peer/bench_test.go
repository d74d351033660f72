package peer_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/peer"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// BenchmarkExchange measures one call with a full message over loopback HTTP, with both sides in this process. A router takes part in
// about two calls per second, so its use of a core per second is twice the time of a call.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{6, 96, 420} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			nw := newNetwork(b, n)
			defer nw.stop()
			srv := httptest.NewServer(nw.node(1).peer.Handler())
			defer srv.Close()
			tr := &http.Transport{DisableCompression: true}
			defer tr.CloseIdleConnections()
			c := peerpb.NewPeerProtobufClient(srv.URL, &http.Client{Transport: tr})
			runtime.GC()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q := &peerpb.ExchangeRequest{Self: &peerpb.InstanceState{Instance: "router-000", Incarnation: "0", Version: int64(i)}}
				for j := range peer.MaxStates {
					q.Others = append(q.Others, &peerpb.InstanceState{
						Instance: string(nw.list[(2+i+j)%n].Instance), Incarnation: "0", TableOffset: int64(i), Version: time.Now().UnixMilli() + int64(i),
					})
				}
				if _, err := c.Exchange(b.Context(), q); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestLoopback guards against messages that work only over the in-memory network of these tests and not over HTTP.
func TestLoopback(t *testing.T) {
	nw := newNetwork(t, 2)
	defer nw.stop()
	srv := httptest.NewServer(nw.node(1).peer.Handler())
	defer srv.Close()
	tr := &http.Transport{DisableCompression: true}
	defer tr.CloseIdleConnections()
	p := peer.New(t.Context(), peer.Options{
		Board: nw.node(0).board, Roster: nw.node(0).roster, Self: nw.list[0], Client: &http.Client{Transport: tr},
	})
	defer p.Close()
	to := qm.Member{Instance: nw.list[1].Instance, PeerAddress: strings.TrimPrefix(srv.URL, "http://")}
	_, _, err := p.FetchTableFrom(t.Context(), to, 0)
	if err == nil || !strings.Contains(err.Error(), "fetch table from router-001") {
		t.Errorf("FetchTableFrom a router without a table: error %v", err)
	}
	if _, err := p.RequestShares(t.Context(), to, &peerpb.BorrowRequest{}); err == nil {
		t.Error("RequestShares from a router that lends none succeeded")
	}
}
