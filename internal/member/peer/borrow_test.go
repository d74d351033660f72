package peer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"quetzalmount.dev/quetzalmount/internal/member/peer"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// TestBorrowBytes guards against a request for shares that is changed or split between the two sides, and measures its bytes.
func TestBorrowBytes(t *testing.T) {
	for _, items := range []int{1, 4, 40} {
		synctest.Test(t, func(t *testing.T) {
			nw := newNetwork(t, 2)
			defer nw.stop()
			var got *peerpb.BorrowRequest
			n := nw.node(1)
			n.peer.Close() // replaced by lender
			lender := peer.New(t.Context(), peer.Options{
				Board: n.board, Roster: n.roster, Self: nw.list[1], Client: n,
				Lend: func(_ context.Context, q *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
					got = q
					r := &peerpb.BorrowResponse{LeaseMs: 2000}
					for _, w := range q.GetWants() {
						r.Granted = append(r.Granted, &peerpb.BorrowItem{Units: w.GetUnits()})
					}
					return r, nil
				},
			})
			defer lender.Close()
			nw.mu.Lock()
			n.peer = lender
			nw.countedMethod = "/Borrow"
			nw.mu.Unlock()
			want := &peerpb.BorrowRequest{Instance: "router-000", Incarnation: "0123456789abcdef"}
			for i := range items {
				want.Wants = append(want.Wants, &peerpb.BorrowItem{Team: fmt.Sprintf("team-%05d", i), Dimension: "Requests", Units: 3})
			}
			r, err := nw.node(0).peer.RequestShares(t.Context(), nw.list[1], want)
			if err != nil || len(r.GetGranted()) != items || r.GetLeaseMs() != 2000 {
				t.Fatalf("answer %v, error %v", r, err)
			}
			if d := cmp.Diff(want, got, protocmp.Transform()); d != "" {
				t.Error(d)
			}
			nw.mu.Lock()
			defer nw.mu.Unlock()
			if nw.calls != 1 {
				t.Errorf("%d calls, want 1", nw.calls)
			}
			t.Logf("%d items: %d B for one call with its answer", items, nw.bytes/2/nw.calls)
		})
	}
}
