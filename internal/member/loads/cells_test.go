package loads

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// cluster is a number of routers that exchange loads in memory.
type cluster struct {
	mu       sync.Mutex
	trackers map[qm.InstanceID]*Tracker
	// down holds the routers that do not answer.
	down map[qm.InstanceID]bool
	// exchanges counts the exchanges that each router was called for.
	exchanges map[qm.InstanceID]int
}

func newCluster(ctx context.Context, routers, maxDirect int) *cluster {
	c := &cluster{
		trackers: map[qm.InstanceID]*Tracker{}, down: map[qm.InstanceID]bool{}, exchanges: map[qm.InstanceID]int{},
	}
	var members qm.Members
	for i := range routers {
		id := qm.InstanceID(fmt.Sprintf("r%02d", i))
		members = append(members, qm.Member{Instance: id, PeerAddress: string(id), State: qm.Live})
	}
	for _, m := range members {
		b := board.New()
		own := append(qm.Members(nil), members...)
		for i := range own {
			own[i].IsSelf = own[i].Instance == m.Instance
		}
		b.Members.Store(own)
		tracker := New(ctx, Options{
			Board: b, Self: m.Instance, MaxDirect: maxDirect, Publish: func(map[qm.EndpointID]qm.Load) {},
			Exchange: func(ctx context.Context, to qm.Member, s *peerpb.LoadShare) (*peerpb.LoadShare, error) {
				c.mu.Lock()
				b, down := c.trackers[to.Instance], c.down[to.Instance]
				c.exchanges[to.Instance]++
				c.mu.Unlock()
				if down || b == nil {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return b.HandleExchange(s), nil
			},
		})
		c.mu.Lock()
		c.trackers[m.Instance] = tracker
		c.mu.Unlock()
	}
	return c
}

func (c *cluster) close() {
	for _, tracker := range c.trackers {
		tracker.Close()
	}
}

// simulate sends requests of one second each from random routers to random engines. It returns the mean number of requests at an engine
// and the mean absolute error of the routers' estimates of it.
func (c *cluster) simulate(rnd *rand.Rand, perSecond, engines int, length time.Duration) (mean, meanError float64) {
	d := make([]qm.Placement, engines)
	for i := range d {
		d[i].Endpoint = &qm.Endpoint{ID: qm.EndpointID(fmt.Sprint("e", i))}
	}
	ids := make([]qm.InstanceID, 0, len(c.trackers))
	for id := range c.trackers {
		ids = append(ids, id)
	}
	truth := make([]int, engines)
	samples := 0
	var mu sync.Mutex
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		at, tracker, r := rnd.IntN(engines), c.trackers[ids[rnd.IntN(len(ids))]], &qm.PlaceRequest{PromptTokens: 1000}
		CountingPlacer{noopPlacer{}, tracker}.Dispatched(r, d[at], time.Now())
		mu.Lock()
		truth[at]++
		mu.Unlock()
		time.AfterFunc(time.Second, func() {
			CountingPlacer{noopPlacer{}, tracker}.Finished(r, d[at], time.Now())
			mu.Lock()
			defer mu.Unlock()
			truth[at]--
		})
		if time.Until(end) > length/2 {
			continue
		}
		router := c.trackers[ids[rnd.IntN(len(ids))]]
		estimate := router.Estimate(len(ids)-1, time.Now())
		mu.Lock()
		for i := range d {
			mean += float64(truth[i])
			meanError += math.Abs(float64(estimate[d[i].Endpoint.ID].Running - truth[i]))
			samples++
		}
		mu.Unlock()
	}
	return mean / float64(samples), meanError / float64(samples)
}

// TestCellEstimateError guards against load estimates that are worse than none. With 76 routers, 60 engines and 550 requests per second,
// the mean error must stay below the random difference between engines, which is the square root of the mean.
func TestCellEstimateError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 76, 9)
		mean, meanError := c.simulate(rand.New(rand.NewPCG(1, 1)), 550, 60, 4*time.Second)
		c.close()
		maxExchanges := 0
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, n := range c.exchanges {
			maxExchanges = max(maxExchanges, n)
		}
		t.Logf("mean %.2f requests at an engine, mean error %.2f, at most %d exchanges per second at one router", mean, meanError, maxExchanges/4)
		if meanError > math.Sqrt(mean) {
			t.Errorf("the mean error is %.2f requests, more than %.2f", meanError, math.Sqrt(mean))
		}
	})
}

// TestCollectorDown guards against routers that lose the loads of all others when their collector stops answering.
func TestCollectorDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), 30, 9)
		defer c.close()
		for _, tracker := range c.trackers {
			for range 2 {
				tracker.begin(&qm.PlaceRequest{}, "e", 0)
			}
		}
		time.Sleep(time.Second)
		members, _ := c.trackers["r00"].opts.Board.Members.Load()
		c.mu.Lock()
		c.down[collectors(members)[0].Instance] = true
		c.mu.Unlock()
		time.Sleep(2 * time.Second)
		for id, tracker := range c.trackers {
			if got := tracker.Estimate(29, time.Now())["e"].Running; !c.down[id] && (got < 50 || got > 70) {
				t.Errorf("%s estimates %d requests, want about 60", id, got)
			}
		}
	})
}
