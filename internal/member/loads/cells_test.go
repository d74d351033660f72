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

// town is a number of routers that trade with each other in memory.
type town struct {
	mu     sync.Mutex
	books  map[qm.InstanceID]*Book
	down   map[qm.InstanceID]bool
	trades map[qm.InstanceID]int
}

func newTown(ctx context.Context, routers, few int) *town {
	w := &town{
		books: map[qm.InstanceID]*Book{}, down: map[qm.InstanceID]bool{}, trades: map[qm.InstanceID]int{},
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
		book := New(ctx, Options{
			Board: b, Self: m.Instance, Few: few, Publish: func(map[qm.EndpointID]qm.Load) {},
			Trade: func(ctx context.Context, to qm.Member, s *peerpb.LoadShare) (*peerpb.LoadShare, error) {
				w.mu.Lock()
				b, down := w.books[to.Instance], w.down[to.Instance]
				w.trades[to.Instance]++
				w.mu.Unlock()
				if down || b == nil {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return b.Traded(s), nil
			},
		})
		w.mu.Lock()
		w.books[m.Instance] = book
		w.mu.Unlock()
	}
	return w
}

func (w *town) close() {
	for _, b := range w.books {
		b.Close()
	}
}

// replay sends requests of a second each from random routers to random engines, and returns the mean number of requests at an engine and the
// mean error of what routers take it to be.
func (w *town) replay(rnd *rand.Rand, perSecond, engines int, length time.Duration) (mean, wrong float64) {
	d := make([]qm.Placement, engines)
	for i := range d {
		d[i].Endpoint = &qm.Endpoint{ID: qm.EndpointID(fmt.Sprint("e", i))}
	}
	ids := make([]qm.InstanceID, 0, len(w.books))
	for id := range w.books {
		ids = append(ids, id)
	}
	truth := make([]int, engines)
	samples := 0
	var mu sync.Mutex
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		at, b, r := rnd.IntN(engines), w.books[ids[rnd.IntN(len(ids))]], &qm.PlaceRequest{PromptTokens: 1000}
		Counted{nothing{}, b}.Dispatched(r, d[at], time.Now())
		mu.Lock()
		truth[at]++
		mu.Unlock()
		time.AfterFunc(time.Second, func() {
			Counted{nothing{}, b}.Finished(r, d[at], time.Now())
			mu.Lock()
			defer mu.Unlock()
			truth[at]--
		})
		if time.Until(end) > length/2 {
			continue
		}
		router := w.books[ids[rnd.IntN(len(ids))]]
		estimate := router.Estimate(len(ids)-1, time.Now())
		mu.Lock()
		for i := range d {
			mean += float64(truth[i])
			wrong += math.Abs(float64(estimate[d[i].Endpoint.ID].Running - truth[i]))
			samples++
		}
		mu.Unlock()
	}
	return mean / float64(samples), wrong / float64(samples)
}

// TestCells replays the load of 76 routers in front of 60 engines, 550 requests a second. It guards against knowledge of the engines' loads
// that is worse than none: its error must stay below the differences between engines that chance makes, the square root of the mean.
func TestCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTown(t.Context(), 76, 9)
		mean, wrong := w.replay(rand.New(rand.NewPCG(1, 1)), 550, 60, 4*time.Second)
		w.close()
		most := 0
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, n := range w.trades {
			most = max(most, n)
		}
		t.Logf("mean %.2f requests at an engine, mean error %.2f, at most %d trades a second at one router", mean, wrong, most/4)
		if wrong > math.Sqrt(mean) {
			t.Errorf("the mean error is %.2f requests, more than %.2f", wrong, math.Sqrt(mean))
		}
	})
}

// TestCollectorLost guards against routers that know nothing of the others' work once their collector does not answer.
func TestCollectorLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTown(t.Context(), 30, 9)
		defer w.close()
		for _, b := range w.books {
			for range 2 {
				b.begin(&qm.PlaceRequest{}, "e", 0)
			}
		}
		time.Sleep(time.Second)
		members, _ := w.books["r00"].opts.Board.Members.Load()
		w.mu.Lock()
		w.down[collectors(members)[0].Instance] = true
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		for id, b := range w.books {
			if got := b.Estimate(29, time.Now())["e"].Running; !w.down[id] && (got < 50 || got > 70) {
				t.Errorf("%s takes 60 requests to be %d", id, got)
			}
		}
	})
}
