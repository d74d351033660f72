package share_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

// TestRunning guards the bound on running requests over all instances, while requests outlive many leases and the home
// changes, and against a limit far below the demand that is not used.
func TestRunning(t *testing.T) {
	const n, limit = 6, 20
	for _, c := range []struct {
		name  string
		fault func(cl *cluster, home int)
		// over is the bound on requests above the limit.
		over int
	}{
		{"no failure", func(*cluster, int) {}, 0},
		{"death of the home", func(cl *cluster, home int) {
			cl.crash(home)
			time.Sleep(time.Second)
			for i := range n {
				cl.setMembers(i, n, home)
			}
		}, 0},
		// Partitioned instances keep their running requests above the floors, while others are granted the same slots.
		{"partition", func(cl *cluster, home int) { cl.partition(home, (home+1)%n) }, limit},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, n, qm.Limits{Concurrency: limit}, 0)
				var mu sync.Mutex
				running, most, done := make([]int, n), 0, 0
				var wg sync.WaitGroup
				start := time.Now()
				for i := range n {
					rnd := rand.New(rand.NewPCG(3, uint64(i)))
					wg.Go(func() {
						var own sync.WaitGroup
						for time.Since(start) < 3*time.Minute {
							time.Sleep(time.Duration(rnd.Int64N(int64(200 * time.Millisecond))))
							cl.mu.Lock()
							l, dead := cl.routers[i].limiter, cl.routers[i].dead
							cl.mu.Unlock()
							if dead {
								mu.Lock()
								running[i] = 0
								mu.Unlock()
								continue
							}
							g, err := l.Admit(cl.team, qm.Cost{}, time.Now())
							if err != nil {
								continue
							}
							mu.Lock()
							running[i]++
							sum := 0
							for _, r := range running {
								sum += r
							}
							most = max(most, sum)
							mu.Unlock()
							length := time.Second + time.Duration(rnd.Int64N(int64(8*time.Second)))
							own.Go(func() {
								time.Sleep(length)
								cl.mu.Lock()
								dead := cl.routers[i].dead
								cl.mu.Unlock()
								if dead {
									return
								}
								mu.Lock()
								running[i]--
								done++
								mu.Unlock()
								g.Release(0)
							})
						}
						own.Wait()
					})
				}
				wg.Go(func() {
					time.Sleep(time.Minute)
					c.fault(cl, cl.homeIndex())
				})
				wg.Wait()
				cl.stop()
				// 20 slots, 5 s a request, 180 s: 720 requests at most.
				t.Logf("at most %d ran at a time, limit %d, %d were served", most, limit, done)
				if most > limit+c.over {
					t.Errorf("%d ran at a time, bound %d", most, limit+c.over)
				}
				if done < 400 {
					t.Errorf("only %d of 720 requests served", done)
				}
			})
		})
	}
}
