package share_test

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	qm "quetzalmount.dev/quetzalmount"
)

// quotaLoad sends requests of varied sizes through router i until length has passed since start, rate tokens a second on average.
func (cl *cluster) quotaLoad(i int, rate float64, length time.Duration, start time.Time, on func(time.Duration) bool) {
	rnd := rand.New(rand.NewPCG(uint64(i), 7))
	var wg sync.WaitGroup
	defer wg.Wait()
	for time.Since(start) < length {
		tokens := qm.Tokens(200 + rnd.IntN(3000))
		if rnd.IntN(4) == 0 {
			tokens = qm.Tokens(6000 + rnd.IntN(8000))
		}
		cl.mu.Lock()
		r, team := cl.routers[i], cl.team
		l, dead := r.limiter, r.dead
		cl.mu.Unlock()
		if !dead && on(time.Since(start)) {
			wg.Go(func() {
				_, err := l.AdmitQuota(cl.t.Context(), team, tokens)
				cl.mu.Lock()
				defer cl.mu.Unlock()
				var e *qm.Error
				switch {
				case err == nil:
					units := team.Limits.Quota.Charge(tokens)
					cl.admitted = append(cl.admitted, admission{at: time.Since(start), prompt: units})
				case errors.As(err, &e) && e.Outcome == qm.OutcomeNotRun && e.Code == qm.CodeRateLimit && e.RetryAfter > 0:
					cl.refused++
				default:
					cl.t.Errorf("refusal without a retry delay or of another kind: %v", err)
				}
			})
		}
		time.Sleep(time.Duration(float64(tokens) / rate * float64(time.Second)))
	}
}

// worstWindow returns the most units admitted in a window, of all that begin at or after from.
func (cl *cluster) worstWindow(window, from time.Duration) float64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	slices.SortFunc(cl.admitted, func(a, b admission) int { return int(a.at - b.at) })
	worst, sum, first := 0.0, 0.0, 0
	for _, a := range cl.admitted {
		if a.at < from {
			first++
			continue
		}
		sum += a.prompt
		for cl.admitted[first].at <= a.at-window {
			sum -= cl.admitted[first].prompt
			first++
		}
		worst = max(worst, sum)
	}
	return worst
}

// tokenQuota is the quota of a large team: its burst is worth a second of its rate.
var tokenQuota = qm.Quota{PerSecond: 230_000, Burst: 230_000, Unit: qm.QuotaTokens, PlainTokens: 200}

const quotaWindow = 8 * time.Second

// TestQuotaBounds guards against a team that runs more than its quota allows while nine routers get four times as much, with the loss of any number
// of them, in a partition, with two homes and with changes of the quota.
func TestQuotaBounds(t *testing.T) {
	const n = 9
	all := func(time.Duration) bool { return true }
	halved := tokenQuota
	halved.PerSecond, halved.Burst = tokenQuota.PerSecond/2, tokenQuota.Burst/2
	requests := qm.Quota{PerSecond: 40, Burst: 40, Unit: qm.QuotaRequests}
	for _, c := range []struct {
		name  string
		quota qm.Quota
		// fault runs beside the load.
		fault func(cl *cluster, home int)
		on    func(time.Duration) bool
		// times multiplies the bound, least is the part of it that must be reached, since otherwise it is not tested. A bucket that is never full
		// admits 8/9.5 of it.
		times, least float64
	}{
		{"no failure", tokenQuota, func(*cluster, int) {}, all, 1, 0.8},
		{"full bucket", tokenQuota, func(*cluster, int) {}, func(at time.Duration) bool { return at > 10*time.Second }, 1, 0.85},
		{"in requests", requests, func(*cluster, int) {}, all, 1, 0.8},
		{"restart of the home", tokenQuota, func(cl *cluster, home int) {
			time.Sleep(10 * time.Second)
			cl.crash(home)
			time.Sleep(time.Second)
			for i := range n {
				cl.setMembers(i, n, home)
			}
			time.Sleep(5 * time.Second)
			cl.start(home)
			for i := range n {
				cl.setMembers(i, n)
			}
		}, all, 1, 0.8},
		{"restart of all", tokenQuota, func(cl *cluster, _ int) {
			time.Sleep(10 * time.Second)
			for i := range n {
				cl.crash(i)
			}
			time.Sleep(time.Second)
			for i := range n {
				cl.start(i)
			}
		}, all, 1, 0.8},
		{"loss of all but one", tokenQuota, func(cl *cluster, home int) {
			time.Sleep(10 * time.Second)
			rest := []int{}
			for i := range n {
				if i != (home+1)%n {
					cl.crash(i)
					rest = append(rest, i)
				}
			}
			time.Sleep(time.Second)
			cl.setMembers((home+1)%n, n, rest...)
		}, all, 1, 0.8},
		{"partition with the home in the smaller part", tokenQuota, func(cl *cluster, home int) {
			time.Sleep(10 * time.Second)
			cl.partition(home, (home+1)%n)
		}, all, 1, 0.8},
		{"two homes", tokenQuota, func(cl *cluster, home int) {
			time.Sleep(10 * time.Second)
			for i := range n {
				if i%2 == 0 && i != home {
					cl.setMembers(i, n, home)
				}
			}
			time.Sleep(5 * time.Second)
			for i := range n {
				cl.setMembers(i, n)
			}
		}, all, 2, 0.4},
		{"lowered", halved, func(cl *cluster, _ int) {
			cl.configure(qm.Limits{Quota: tokenQuota})
			time.Sleep(10 * time.Second)
			cl.configure(qm.Limits{Quota: halved})
		}, func(at time.Duration) bool { return at > 10*time.Second }, 1, 0.85},
		{"unit changed", requests, func(cl *cluster, _ int) {
			cl.configure(qm.Limits{Quota: tokenQuota})
			time.Sleep(10 * time.Second)
			cl.configure(qm.Limits{Quota: requests})
		}, func(at time.Duration) bool { return at > 10*time.Second }, 1, 0.85},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, n, qm.Limits{Quota: c.quota}, 0)
				var wg sync.WaitGroup
				start := time.Now()
				for i := range n {
					wg.Go(func() { cl.quotaLoad(i, 4*tokenQuota.PerSecond/n, 25*time.Second, start, c.on) })
				}
				wg.Go(func() { c.fault(cl, cl.homeIndex()) })
				wg.Wait()
				cl.stop()
				bound := c.quota.PerSecond*(quotaWindow+500*time.Millisecond).Seconds() + c.quota.Burst
				got := cl.worstWindow(quotaWindow, 0)
				t.Logf("%.3f of the bound of one home in the worst window, %d refused", got/bound, cl.refused)
				if got > c.times*bound {
					t.Errorf("%.0f units in a window, at most %.0f are allowed", got, c.times*bound)
				}
				if got < c.least*bound {
					t.Errorf("only %.0f units in the worst window, want %.0f", got, c.least*bound)
				}
			})
		})
	}
}

// TestQuotaWithin guards against refusals of a team that stays within its quota, and against waits that its callers would notice.
func TestQuotaWithin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 9
		cl := newCluster(t, n, qm.Limits{Quota: tokenQuota}, 0)
		var wg sync.WaitGroup
		start := time.Now()
		for i := range n {
			wg.Go(func() {
				cl.quotaLoad(i, 0.7*tokenQuota.PerSecond/n, 30*time.Second, start, func(at time.Duration) bool { return at > 3*time.Second })
			})
		}
		wg.Wait()
		cl.stop()
		if cl.refused > len(cl.admitted)/200 {
			t.Errorf("%d of %d requests refused within the quota", cl.refused, cl.refused+len(cl.admitted))
		}
	})
}

// TestQuotaRefund guards against a team that pays for requests that were not run.
func TestQuotaRefund(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 3
		quota := qm.Quota{PerSecond: 1, Burst: 10, Unit: qm.QuotaRequests}
		cl := newCluster(t, n, qm.Limits{Quota: quota}, 0)
		defer cl.stop()
		time.Sleep(20 * time.Second)
		for i := range 3 * n {
			l := cl.routers[i%n].limiter
			for range 5 {
				refund, err := l.AdmitQuota(t.Context(), cl.team, 0)
				if err != nil {
					t.Fatalf("round %d: %v, although earlier requests were not run", i, err)
				}
				refund()
			}
			time.Sleep(600 * time.Millisecond) // refunds reach the home with the next tick
		}
	})
}

// TestQuotaLargeRequest guards against a request that costs more than the burst and could never run.
func TestQuotaLargeRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3, qm.Limits{Quota: qm.Quota{PerSecond: 1000, Burst: 1000, Unit: qm.QuotaTokens}}, 0)
		defer cl.stop()
		time.Sleep(10 * time.Second)
		l := cl.routers[0].limiter
		if _, err := l.AdmitQuota(t.Context(), cl.team, 5000); err != nil {
			t.Fatalf("a request of five bursts is refused although the bucket is full: %v", err)
		}
		if _, err := l.AdmitQuota(t.Context(), cl.team, 10); err == nil {
			t.Error("the bucket is not in debt after a request of five bursts")
		}
		time.Sleep(6 * time.Second)
		if _, err := l.AdmitQuota(t.Context(), cl.team, 10); err != nil {
			t.Errorf("refused after the debt is paid: %v", err)
		}
	})
}
