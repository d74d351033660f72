package roster_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

// TestPollsAreBounded guards against a router that polls all 3,200 engines, and against a bound that keeps the engines in use from being
// polled.
func TestPollsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers, engines, rounds = 420, 3200, 30
		var list []qm.Member
		var eps []*qm.Endpoint
		for i := range routers {
			list = append(list, qm.Member{Instance: qm.InstanceID(fmt.Sprint("r", i)), State: qm.Live})
		}
		for i := range engines {
			eps = append(eps, &qm.Endpoint{ID: qm.EndpointID(fmt.Sprint("e", i)), Kind: qm.KindEngine, State: qm.Live})
		}
		polls := map[qm.EndpointID]int{}
		r := roster.New(t.Context(), roster.Options{
			Board: board.New(), Self: list[0], PollsPerRound: 1,
			List: func(context.Context) ([]qm.Member, []*qm.Endpoint, error) { return list, eps, nil },
			FetchReport: func(_ context.Context, e *qm.Endpoint) (roster.Report, error) {
				polls[e.ID]++
				return roster.Report{Incarnation: "i"}, nil
			},
		})
		defer r.Close()
		synctest.Wait()
		r.MarkUsed("e77")
		time.Sleep(rounds*time.Second - time.Millisecond)
		synctest.Wait()
		total := 0
		for _, n := range polls {
			total += n
		}
		if total > rounds+1 || polls["e77"] < rounds-2 {
			t.Errorf("got %d polls in %d rounds, %d of them to the engine in use", total, rounds, polls["e77"])
		}
	})
}

// TestSmallDeploymentsArePolledWhole guards against engines whose load and weights stay unknown although a round has room to poll them,
// which prevents a rollout from starting.
func TestSmallDeploymentsArePolledWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var list []qm.Member
		for i := range 6 {
			list = append(list, qm.Member{Instance: qm.InstanceID(fmt.Sprint("r", i)), State: qm.Live})
		}
		var eps []*qm.Endpoint
		for i := range 12 {
			eps = append(eps, &qm.Endpoint{ID: qm.EndpointID(fmt.Sprint("e", i)), Kind: qm.KindEngine, State: qm.Live})
		}
		b := board.New()
		r := roster.New(t.Context(), roster.Options{
			Board: b, Self: list[0], PollsPerRound: 16,
			List: func(context.Context) ([]qm.Member, []*qm.Endpoint, error) { return list, eps, nil },
			FetchReport: func(context.Context, *qm.Endpoint) (roster.Report, error) {
				return roster.Report{Incarnation: "i", Version: "v1"}, nil
			},
		})
		defer r.Close()
		time.Sleep(3 * roster.DefaultPollInterval)
		synctest.Wait()
		known, _ := b.Endpoints.Load()
		for _, e := range known {
			if e.Version != "v1" {
				t.Errorf("version of %s is unknown", e.ID)
			}
		}
	})
}

// BenchmarkReport measures the cost of one load report at the target size, including the publication of the new endpoints on the board.
func BenchmarkReport(b *testing.B) {
	const engines = 3200
	var eps []*qm.Endpoint
	for i := range engines {
		eps = append(eps, &qm.Endpoint{ID: qm.EndpointID(fmt.Sprintf("e%04d", i)), Kind: qm.KindEngine, State: qm.Live})
	}
	bd := board.New()
	changed := bd.Endpoints.Changed()
	r := roster.New(b.Context(), roster.Options{
		Board: bd, Self: qm.Member{Instance: "r1"},
		List: func(context.Context) ([]qm.Member, []*qm.Endpoint, error) { return nil, eps, nil },
	})
	defer r.Close()
	for e, _ := bd.Endpoints.Load(); len(e) == 0; e, _ = bd.Endpoints.Load() {
		<-changed
		changed = bd.Endpoints.Changed()
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.ApplyReport(eps[i%engines].ID, roster.Report{Incarnation: "i", Load: qm.Load{Running: i}})
	}
}
