package peer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/roster"
)

const (
	// nodeBudget is the bytes a second of all control work of a node, from the target size.
	nodeBudget = 3000
	// spread is the time in which a configuration is in force everywhere, from the target size.
	spread = 4 * time.Second
	// changeEvery is 3,100 configuration changes a day.
	changeEvery = 28 * time.Second
)

// TestBytesPerNode measures the exchange with the target's rate of configuration changes, and guards its two bounds.
func TestBytesPerNode(t *testing.T) {
	for _, n := range []int{6, 24, 96} {
		synctest.Test(t, func(t *testing.T) { measure(t, n) })
	}
}

// TestBytesPerNodeAtTarget does the same at the target size.
func TestBytesPerNodeAtTarget(t *testing.T) {
	if testing.Short() {
		t.Skip("takes half a minute, and several with the race detector")
	}
	synctest.Test(t, func(t *testing.T) { measure(t, 420) })
}

func measure(t *testing.T, n int) {
	f := build(t, n)
	ctx, cancel := context.WithCancel(t.Context())
	wg := f.follow(ctx)
	time.Sleep(10 * time.Second)
	f.mu.Lock()
	f.bytes, f.calls = 0, 0
	f.mu.Unlock()
	start := time.Now()
	var worst time.Duration
	for i := range 3 {
		want := qm.Offset(i + 1)
		f.node(i % n).apply(want)
		took := until(time.Minute, func() bool { return f.every(-1, func(n *node) bool { return n.offset() >= want }) })
		worst = max(worst, took)
		time.Sleep(changeEvery - took)
	}
	f.mu.Lock()
	sec := time.Since(start).Seconds() * float64(n)
	rate, each := float64(f.bytes)/sec, float64(f.bytes)/2/float64(f.calls)
	f.mu.Unlock()
	t.Logf("%d members: %.0f B/s a node sent and received, %.0f B a call, offset everywhere within %v", n, rate, each, worst)
	if rate > nodeBudget || worst > spread {
		t.Errorf("over the bounds of %d B/s and %v", nodeBudget, spread)
	}
	cancel()
	wg.Wait()
	f.stop()
}

// TestMembership drives the failures of routers and of the links between them. Each state must be reached within a
// bound and must hold for a minute. One router of five calls a crashed one within three rounds of at most 2.5 s, unless all
// of them called it just before and have it late in their next order; the others then hear of it. A call that is not
// answered takes another two timeouts.
func TestMembership(t *testing.T) {
	for _, c := range []struct {
		name   string
		do     func(*fabric)
		of     int
		want   qm.MemberState
		except int
		within time.Duration
	}{
		{"crashed router", func(f *fabric) { f.crash(3) }, 3, qm.Suspect, 3, 8 * time.Second},
		{"leaving is announced at once", func(f *fabric) { f.node(2).board.Leaving.Store(true) }, 2, qm.Leaving, -1, 100 * time.Millisecond},
		{"cut off both ways", func(f *fabric) {
			for i := range 6 {
				f.sever(i, 1, true)
				f.sever(1, i, true)
			}
		}, 1, qm.Suspect, 1, 15 * time.Second},
		{"one link cut leaves the others' view", func(f *fabric) { f.sever(0, 1, true) }, 1, qm.Live, 0, time.Second},
		{"heals", func(f *fabric) {
			f.sever(0, 1, true)
			f.sever(1, 0, true)
			time.Sleep(30 * time.Second)
			f.sever(0, 1, false)
			f.sever(1, 0, false)
		}, 1, qm.Live, -1, 15 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := build(t, 6)
				defer f.stop()
				time.Sleep(5 * time.Second)
				c.do(f)
				ok := func() bool { return f.every(c.except, func(n *node) bool { return n.sees(c.of).State == c.want }) }
				took := until(c.within, ok)
				t.Logf("took %v", took)
				if took >= c.within {
					t.Errorf("not reached within %v", c.within)
				}
				for range 60 {
					time.Sleep(time.Second)
					synctest.Wait()
					if !ok() {
						t.Fatal("does not hold for a minute")
					}
				}
			})
		})
	}
}

// TestRestartAllTogether guards against suspicions or old incarnations that outlive a restart of every router.
func TestRestartAllTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := build(t, 6)
		time.Sleep(5 * time.Second)
		for i := range 6 {
			f.crash(i)
		}
		for i := range 6 {
			f.start(t, f.list[i], "second")
		}
		took := until(time.Minute, func() bool {
			return f.every(-1, func(n *node) bool {
				for j := range 6 {
					if m := n.sees(j); m.State != qm.Live || m.Incarnation != "second" {
						return false
					}
				}
				return true
			})
		})
		t.Logf("took %v", took)
		if took >= 10*time.Second {
			t.Errorf("members know each other after %v", took)
		}
		f.stop()
	})
}

// TestHintsSpread guards against evidence about a leaving endpoint that stays at the router that saw it.
func TestHintsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := build(t, 24)
		defer f.stop()
		time.Sleep(5 * time.Second)
		f.node(0).roster.MarkLeaving("engine-1", "i1")
		took := until(time.Minute, func() bool {
			return f.every(-1, func(n *node) bool {
				e, _ := n.board.Endpoints.Load()
				return e[0].State == qm.Leaving
			})
		})
		t.Logf("took %v", took)
		if took > spread {
			t.Errorf("hint known everywhere after %v", took)
		}
		// The endpoint restarts: the hint, which may still be passed on, must not hold the new process.
		f.node(5).roster.ApplyReport("engine-1", roster.Report{Incarnation: "i2"})
		time.Sleep(time.Minute)
		synctest.Wait()
		if e, _ := f.node(5).board.Endpoints.Load(); e[0].State != qm.Live {
			t.Errorf("restarted endpoint is %s", e[0].State)
		}
	})
}
