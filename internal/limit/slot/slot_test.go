package slot_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/slot"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// boardState describes the contents of a router's board: the number of live routers, and the engines of group g with 10
// slots each.
type boardState struct {
	routers, engines int
	// load is the number of requests that each engine reports; stale is the number of engines whose report is old.
	load, stale int
}

// publish stores s on the board, together with a leaving engine that must not be counted.
func publish(b *board.Board, s boardState) {
	members := make(qm.Members, s.routers)
	for i := range members {
		members[i] = qm.Member{Instance: qm.InstanceID(fmt.Sprint("entry-", i)), State: qm.Live}
	}
	b.Members.Store(members)
	var engines qm.Endpoints
	for i := range s.engines {
		e := &qm.Endpoint{
			ID: qm.EndpointID(fmt.Sprint("e", i)), Kind: qm.KindEngine, Group: "g", State: qm.Live, ReportedAt: time.Now(),
			Load: qm.Load{Slots: 10, Running: s.load},
		}
		if i < s.stale {
			e.ReportedAt = time.Now().Add(-time.Minute)
		}
		engines = append(engines, e)
	}
	engines = append(engines, &qm.Endpoint{ID: "gone", Kind: qm.KindEngine, Group: "g", State: qm.Leaving, Load: qm.Load{Slots: 1000}})
	b.Endpoints.Store(engines)
}

// TestPlaces guards against routers that together overload the engines, and against a router that cannot use the capacity that
// the others leave free.
func TestPlaces(t *testing.T) {
	tests := []struct {
		name string
		s    boardState
		want int // requests out of 200 that get a slot
	}{
		{"alone", boardState{routers: 1, engines: 4}, 60},
		{"the others are idle", boardState{routers: 6, engines: 4}, 60},
		{"the others use half", boardState{routers: 6, engines: 4, load: 7}, 60 - 28},
		{"the others use all", boardState{routers: 6, engines: 4, load: 15}, 10},
		{"two reports are old", boardState{routers: 6, engines: 4, load: 7, stale: 2}, 60 - 28},
		{"nothing known", boardState{routers: 6, engines: 4, stale: 4}, 4},
		{"no engine", boardState{routers: 6}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := board.New()
				publish(b, tt.s)
				p := slot.New(t.Context(), slot.Options{Board: b, LoadPercent: 150, QueueLength: 1000})
				defer p.Close()
				ctx, cancel := context.WithCancel(t.Context())
				got := make(chan struct{}, 200)
				for range 200 {
					go func() {
						if release, err := p.Acquire(ctx, &qm.Team{ID: "a", Weight: 1}, "g", 1); err == nil {
							got <- struct{}{}
							<-ctx.Done()
							release()
						}
					}()
				}
				synctest.Wait()
				if len(got) != tt.want {
					t.Errorf("%d of 200 requests got a slot, want %d", len(got), tt.want)
				}
				if diff := cmp.Diff([]slot.Load{{Team: "a", InFlight: tt.want, Queued: 200 - tt.want}}, p.Teams()); diff != "" {
					t.Errorf("loads (-want +got):\n%s", diff)
				}
				cancel()
				synctest.Wait()
				if left := p.Teams(); len(left) > 0 {
					t.Errorf("left over: %v", left)
				}
			})
		})
	}
}

// TestCapacityFollows guards against requests that still wait after the load of the engines has dropped.
func TestCapacityFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := board.New()
		publish(b, boardState{routers: 6, engines: 4, load: 15})
		p := slot.New(t.Context(), slot.Options{Board: b, LoadPercent: 150, QueueLength: 1000})
		defer p.Close()
		got := make(chan struct{}, 50)
		for range 50 {
			go func() {
				if _, err := p.Acquire(t.Context(), &qm.Team{ID: "a", Weight: 1}, "g", 1); err == nil {
					got <- struct{}{}
				}
			}()
		}
		synctest.Wait()
		before := len(got)
		publish(b, boardState{routers: 6, engines: 4, load: 2})
		time.Sleep(time.Second)
		synctest.Wait()
		if before != 10 || len(got) != 50 {
			t.Errorf("%d slots before and %d after the engines became free, want 10 and 50", before, len(got))
		}
	})
}
