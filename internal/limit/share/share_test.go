package share_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

var (
	limits = qm.Limits{RequestsPerMinute: 1200, PromptTokensPerMinute: 600000, OutputTokensPerMinute: 240000}
	cost   = qm.Cost{PromptTokens: 450, OutputTokens: 180}
)

// leasable is the part of the limit that a home lends, with the default floors.
const leasable = 0.9

// TestBounds guards the bounds on over-admission that the package states, under each failure, while every instance gets
// more requests than the whole limit allows.
func TestBounds(t *testing.T) {
	const n = 6
	minutes := func(m float64) time.Duration { return time.Duration(m * float64(time.Minute)) }
	for _, c := range []struct {
		name string
		n    int
		// fault runs beside the load, from its start.
		fault func(w *world, home int)
		// over is the bound, as a part of the limit; least is what must be admitted in the best minute for the test to mean
		// anything.
		over, least float64
	}{
		{"no failure", n, func(*world, int) {}, 0, 0.85},
		{"death of an instance that is not the home", n, func(w *world, home int) {
			time.Sleep(minutes(1.5))
			w.kill((home + 1) % n)
			time.Sleep(time.Second)
			for i := range n {
				w.see(i, n, (home+1)%n)
			}
		}, 0, 0.85},
		{"death and restart of the home", n, func(w *world, home int) {
			time.Sleep(minutes(1.5))
			w.kill(home)
			time.Sleep(time.Second)
			for i := range n {
				w.see(i, n, home)
			}
			time.Sleep(20 * time.Second)
			w.start(home)
			for i := range n {
				w.see(i, n)
			}
		}, 0, 0.85},
		{"quick restart of the home that nobody notices", n, func(w *world, home int) {
			time.Sleep(minutes(1.5))
			w.kill(home)
			w.start(home)
		}, 0, 0.85},
		{"all restarted together", n, func(w *world, home int) {
			time.Sleep(minutes(1.5))
			for i := range n {
				w.kill(i)
			}
			for i := range n {
				w.start(i)
			}
		}, 0, 0.85},
		{"two homes for ten seconds", n, func(w *world, home int) {
			time.Sleep(minutes(1.5))
			for i := range n {
				if i != home {
					w.see(i, n, home)
				}
			}
			time.Sleep(10 * time.Second)
			for i := range n {
				w.see(i, n)
			}
		}, leasable * 10 / 60, 0.85},
		{"partition with the home in the smaller part", n, func(w *world, home int) {
			time.Sleep(minutes(1.5))
			w.split(home, (home+1)%n)
		}, 0, 0.85},
		{"home changes every three seconds", n, func(w *world, home int) {
			for range 60 {
				time.Sleep(3 * time.Second)
				for i := range n {
					w.see(i, n, home)
				}
				time.Sleep(3 * time.Second)
				for i := range n {
					w.see(i, n)
				}
			}
		}, 0, 0.3},
		{"more instances than slots, all known", 9, func(*world, int) {}, 0, 0.85},
		{"more instances than slots, unknown to each other", 9, func(w *world, _ int) {
			for i := range 9 {
				w.see(i, n)
			}
		}, 0.1 * 3 / 6, 0.85},
	} {
		for _, p := range []struct {
			name string
			// on tells whether there is load; a pause before the fault fills all buckets.
			on func(time.Duration) bool
		}{
			{"steady", func(time.Duration) bool { return true }},
			{"full buckets", func(at time.Duration) bool { return at > minutes(1.5)-time.Second }},
		} {
			t.Run(c.name+", "+p.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, c.n, limits, 0)
					var wg sync.WaitGroup
					start := time.Now()
					for i := range c.n {
						wg.Go(func() { w.load(i, 41*time.Millisecond, minutes(4), cost, start, p.on) })
					}
					wg.Go(func() { c.fault(w, w.home()) })
					wg.Wait()
					w.stop()
					r, in, o := w.worst()
					got := [3]float64{r / limits.RequestsPerMinute, in / limits.PromptTokensPerMinute, o / limits.OutputTokensPerMinute}
					each := (4 * time.Minute).Seconds() * float64(c.n)
					t.Logf("worst minute: %.3f of the requests, %.3f of the prompt tokens, %.3f of the output tokens; bound %.3f; %.2f messages and %.0f B without headers a second from each instance",
						got[0], got[1], got[2], 1+c.over, float64(w.calls)/each, float64(w.bytes)/each)
					most := max(got[0], got[1], got[2])
					if most > 1+c.over {
						t.Errorf("%.3f of a limit admitted in a minute, bound %.3f", most, 1+c.over)
					}
					if most < c.least {
						t.Errorf("only %.3f admitted, want %.3f", most, c.least)
					}
				})
			})
		}
	}
}

// split cuts the given nodes off from the others, and lets the views follow over a few seconds.
func (w *world) split(small ...int) {
	n, in := len(w.nodes), map[int]bool{}
	var large []int
	for _, i := range small {
		in[i] = true
	}
	for i := range n {
		if !in[i] {
			large = append(large, i)
		}
	}
	w.mu.Lock()
	for i := range n {
		for j := range n {
			if in[i] != in[j] {
				w.cut[[2]int{i, j}] = true
			}
		}
	}
	w.mu.Unlock()
	for i := range n {
		if in[i] {
			time.Sleep(300 * time.Millisecond)
			w.see(i, n, large...)
		}
	}
	for i := range n {
		if !in[i] {
			time.Sleep(300 * time.Millisecond)
			w.see(i, n, small...)
		}
	}
}

// TestSparseScript guards against a script that calls once in a while through an instance that is not the home and is
// refused each time, because nothing is lent when its request comes.
func TestSparseScript(t *testing.T) {
	for _, c := range []struct {
		limit float64
		every time.Duration
	}{{60, 2 * time.Second}, {60, 7 * time.Second}, {600, 20 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, 6, qm.Limits{RequestsPerMinute: c.limit, PromptTokensPerMinute: c.limit * 1000}, 0)
			time.Sleep(5 * time.Second)
			w.load((w.home()+1)%6, c.every, 10*time.Minute, qm.Cost{PromptTokens: 900}, time.Now(), func(time.Duration) bool { return true })
			w.stop()
			t.Logf("limit %.0f, a request every %v: %d admitted, %d refused, %d messages", c.limit, c.every, len(w.admitted), w.refused, w.calls)
			// The first request of a team meets empty buckets, and a message may be lost in between.
			if w.refused > 2 {
				t.Errorf("%d requests refused far below the limit", w.refused)
			}
		})
	}
}

// TestFirstRequest guards against a refusal of the first request that a team sends after a pause through an instance that
// is not its home, with a prompt that is larger than the floor.
func TestFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 6, qm.Limits{RequestsPerMinute: 60, PromptTokensPerMinute: 100000, Concurrency: 4}, 0)
		defer w.stop()
		time.Sleep(5 * time.Minute)
		l, cost := w.nodes[(w.home()+1)%6].limiter, qm.Cost{PromptTokens: 6000}
		_, err := l.Admit(w.team, cost, time.Now())
		if e := qm.AsError(err); err == nil || e.RetryAfter > 200*time.Millisecond {
			t.Errorf("nothing is lent yet and the home's bucket is full, but Admit returned %v", err)
		}
		time.Sleep(5 * time.Minute)
		begin := time.Now()
		g, err := l.AdmitWithin(t.Context(), w.team, cost, 100*time.Millisecond)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("admitted after %v, one way to the home takes %v", time.Since(begin), latency)
		g.Release(0)
		begin = time.Now()
		for err == nil {
			_, err = l.AdmitWithin(t.Context(), w.team, cost, 100*time.Millisecond)
		}
		if took := time.Since(begin); took > 2*time.Second {
			t.Errorf("waited %v for a limit that is used up", took)
		}
	})
}

// TestSingleInstance measures what a script gets that sends everything through one instance, for several floors.
func TestSingleInstance(t *testing.T) {
	for _, c := range []struct {
		fraction, least float64
	}{{0.25, 0}, {0.1, 0.8}, {0.05, 0}} {
		for _, viaHome := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 6, qm.Limits{RequestsPerMinute: 600}, c.fraction)
				at := w.home()
				if !viaHome {
					at = (at + 1) % 6
				}
				w.load(at, 29*time.Millisecond, 5*time.Minute, qm.Cost{}, time.Now(), func(time.Duration) bool { return true })
				w.stop()
				r, _, _ := w.worst()
				got := float64(len(w.admitted)) / 5 / 600
				t.Logf("floors %.2f, through the home %v: %.3f of the limit over 5 minutes, worst minute %.3f", c.fraction, viaHome, got, r/600)
				if got < c.least || r > 600 {
					t.Errorf("admitted %.3f of the limit, want at least %.2f and at most 1 in any minute", got, c.least)
				}
			})
		}
	}
}
