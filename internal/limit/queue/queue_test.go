package queue_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/limit/queue"
)

// TestNeighbours guards against a team that sends far more than its share and raises the p99 of another team, measured from
// arrival to the end of each request, with the heavy team at its share and at ten times its share.
func TestNeighbours(t *testing.T) {
	const slots, teams, seconds = 64, 8, 300
	run := func(heavy float64) (p99, wait99 time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			q := queue.New(slots)
			var mu sync.Mutex
			var total, waits []time.Duration
			var wg sync.WaitGroup
			for i := range teams {
				rnd := rand.New(rand.NewPCG(7, uint64(i)))
				// The share of each team is 8 of 64 slots; all but the heavy team use 6 on average, with a mean service time of
				// one second.
				rate := 6.0
				if i == 0 {
					rate = heavy
				}
				wg.Go(func() {
					var mine sync.WaitGroup
					for at := 0.0; at < seconds; {
						gap := rnd.ExpFloat64() / rate
						at += gap
						time.Sleep(time.Duration(gap * float64(time.Second)))
						work := time.Duration((0.5 + rnd.ExpFloat64()/2) * float64(time.Second))
						mine.Go(func() {
							begin := time.Now()
							release, err := q.Wait(t.Context(), queue.Request{
								Team: qm.TeamID(fmt.Sprint("team", i)), Cost: qm.Tokens(work / time.Millisecond), Length: 50,
							})
							if err != nil {
								return
							}
							waited := time.Since(begin)
							time.Sleep(work)
							release()
							if i == 1 {
								mu.Lock()
								total, waits = append(total, time.Since(begin)), append(waits, waited)
								mu.Unlock()
							}
						})
					}
					mine.Wait()
				})
			}
			wg.Wait()
			slices.Sort(total)
			slices.Sort(waits)
			p99, wait99 = total[len(total)*99/100], waits[len(waits)*99/100]
		})
		return p99, wait99
	}
	base, baseWait := run(6)
	with, withWait := run(80)
	t.Logf("p99 of another team: %v at the share, %v at ten times the share, ratio %.3f; wait alone %v and %v",
		base, with, with.Seconds()/base.Seconds(), baseWait, withWait)
	if with > base*11/10 {
		t.Errorf("p99 moved from %v to %v", base, with)
	}
}

// TestShares guards against service that is not in proportion to the weights while all teams wait, whatever the cost of their
// requests.
func TestShares(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 2, 5).Draw(r, "weights")
		costs := rapid.SliceOfN(rapid.IntRange(1, 1000), len(weights), len(weights)).Draw(r, "costs")
		synctest.Test(t, func(t *testing.T) {
			q := queue.New(0)
			ctx, cancel := context.WithCancel(t.Context())
			var mu sync.Mutex
			served, largest := make([]float64, len(weights)), 0.0
			var wg sync.WaitGroup
			for i, w := range weights {
				largest = max(largest, float64(costs[i])/w)
				for range 200 {
					wg.Go(func() {
						release, err := q.Wait(ctx, queue.Request{Team: qm.TeamID(fmt.Sprint(i)), Weight: w, Cost: qm.Tokens(costs[i])})
						if err != nil {
							return
						}
						mu.Lock()
						served[i] += float64(costs[i]) / w
						mu.Unlock()
						defer release()
						<-ctx.Done()
					})
				}
			}
			synctest.Wait()
			q.SetCapacity(100)
			synctest.Wait()
			mu.Lock()
			lo, hi := slices.Min(served), slices.Max(served)
			mu.Unlock()
			cancel()
			wg.Wait()
			if hi-lo > 2*largest {
				r.Errorf("service per weight from %v to %v with requests of at most %v", lo, hi, largest)
			}
			if q.Running() != 0 || q.Waiting() != 0 {
				r.Errorf("%d running and %d waiting at the end", q.Running(), q.Waiting())
			}
		})
	})
}

// TestRefusals guards the refusals of full, expired and cancelled requests. None may affect the order of the other requests.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := queue.New(1)
		for range 20 {
			release, err := q.Wait(t.Context(), queue.Request{Team: "a", Cost: 100})
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second) // a drain rate of 100 tokens a second
			release()
			release()
		}
		hold, err := q.Wait(t.Context(), queue.Request{Team: "a", Cost: 100})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		got := map[string]qm.Code{}
		var mu sync.Mutex
		var wg sync.WaitGroup
		wait := func(ctx context.Context, name string, r queue.Request) {
			wg.Go(func() {
				release, err := q.Wait(ctx, r)
				mu.Lock()
				defer mu.Unlock()
				if got[name] = "served"; err != nil {
					e := qm.AsError(err)
					if got[name] = e.Code; e.Outcome != qm.OutcomeNotRun || e.RetryAfter < 900*time.Millisecond || e.RetryAfter > 3*time.Second {
						t.Errorf("%s: %+v", name, e)
					}
					return
				}
				release()
			})
			synctest.Wait()
		}
		soon := time.Now().Add(time.Second)
		wait(ctx, "cancelled", queue.Request{Team: "a", Cost: 100, Length: 2})
		wait(t.Context(), "late", queue.Request{Team: "a", Cost: 100, Length: 2, Deadline: soon})
		wait(t.Context(), "full", queue.Request{Team: "a", Cost: 100, Length: 2})
		wait(t.Context(), "already late", queue.Request{Team: "b", Cost: 100, Deadline: time.Now()})
		cancel()
		synctest.Wait()
		time.Sleep(time.Second)
		synctest.Wait()
		wait(t.Context(), "last", queue.Request{Team: "a", Cost: 100, Length: 1})
		hold()
		wg.Wait()
		want := map[string]qm.Code{
			"cancelled": qm.CodeTimeout, "late": qm.CodeTimeout, "already late": qm.CodeTimeout, "full": qm.CodeQueueFull, "last": "served",
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Error(d)
		}
		if q.Running() != 0 || q.Waiting() != 0 {
			t.Errorf("%d running and %d waiting at the end", q.Running(), q.Waiting())
		}
		if _, err := q.Wait(ctx, queue.Request{Team: "a"}); !errors.Is(err, context.Canceled) {
			t.Errorf("a caller that is gone got %v", err)
		}
	})
}

// BenchmarkWait measures one Wait and release by the number of teams that wait for four slots.
func BenchmarkWait(b *testing.B) {
	for _, teams := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			q := queue.New(4)
			b.ReportAllocs()
			var left atomic.Int64
			left.Store(int64(b.N))
			var wg sync.WaitGroup
			for i := range teams {
				wg.Go(func() {
					r := queue.Request{Team: qm.TeamID(fmt.Sprint(i)), Cost: 1000}
					for left.Add(-1) >= 0 {
						release, err := q.Wait(b.Context(), r)
						if err != nil {
							b.Error(err)
							return
						}
						release()
					}
				})
			}
			wg.Wait()
		})
	}
}
