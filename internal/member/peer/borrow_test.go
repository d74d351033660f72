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

// TestBorrowBytes guards the way of a request for shares through both sides, and measures its bytes.
func TestBorrowBytes(t *testing.T) {
	for _, items := range []int{1, 4, 40} {
		synctest.Test(t, func(t *testing.T) {
			f := build(t, 2)
			defer f.stop()
			var got *peerpb.BorrowRequest
			n := f.node(1)
			n.peer.Close() // the lender takes its place
			lender := peer.New(t.Context(), peer.Options{
				Board: n.board, Roster: n.roster, Self: f.list[1], Client: n,
				Grant: func(_ context.Context, q *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
					got = q
					r := &peerpb.BorrowResponse{LeaseMs: 2000}
					for _, w := range q.GetWants() {
						r.Granted = append(r.Granted, &peerpb.BorrowItem{Units: w.GetUnits()})
					}
					return r, nil
				},
			})
			defer lender.Close()
			f.mu.Lock()
			n.peer = lender
			f.only = "/Borrow"
			f.mu.Unlock()
			want := &peerpb.BorrowRequest{Instance: "router-000", Incarnation: "0123456789abcdef"}
			for i := range items {
				want.Wants = append(want.Wants, &peerpb.BorrowItem{Team: fmt.Sprintf("team-%05d", i), Dimension: "Requests", Units: 3})
			}
			r, err := f.node(0).peer.RequestShares(t.Context(), f.list[1], want)
			if err != nil || len(r.GetGranted()) != items || r.GetLeaseMs() != 2000 {
				t.Fatalf("answer %v, error %v", r, err)
			}
			if d := cmp.Diff(want, got, protocmp.Transform()); d != "" {
				t.Error(d)
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.calls != 1 {
				t.Errorf("%d calls, want 1", f.calls)
			}
			t.Logf("%d items: %d B for one call with its answer", items, f.bytes/2/f.calls)
		})
	}
}
