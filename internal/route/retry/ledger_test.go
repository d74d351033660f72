package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"quetzalmount.dev/quetzalmount/internal/route/retry"
)

// TestLedger guards against more repeats than all routers may have together, in any window and for any order of requests.
func TestLedger(t *testing.T) {
	const (
		ratio, extra = 0.2, 50
		window       = 10 * time.Second
		routers      = 5
	)
	rapid.Check(t, func(t *rapid.T) {
		var ledgers []*retry.GroupBudget
		for range routers {
			ledgers = append(ledgers, retry.NewGroupBudget(retry.GroupBudgetOptions{
				Ratio: ratio, Extra: extra, Window: window, UsableFraction: 0.8, Routers: func() int { return routers },
			}))
		}
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(10, 2000).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			l := ledgers[rapid.IntRange(0, routers-1).Draw(t, "router")]
			if rapid.Bool().Draw(t, "request") {
				l.AddRequest("g", now)
				requests = append(requests, now)
			}
			if l.Spend("g", now) {
				repeats = append(repeats, now)
			}
			allowed := ratio*float64(since(requests, now.Add(-window))) + extra
			if got := since(repeats, now.Add(-window)); float64(got) > allowed {
				t.Fatalf("%d repeats in a window, %.1f allowed", got, allowed)
			}
		}
	})
}

// TestLedgerAlone guards against a router that does not know the others and takes the whole bound.
func TestLedgerAlone(t *testing.T) {
	l := retry.NewGroupBudget(retry.GroupBudgetOptions{Ratio: 0.2, Extra: 50, Window: 10 * time.Second, UsableFraction: 0.8, Routers: func() int { return 0 }})
	if l.Spend("g", time.Unix(1000, 0)) {
		t.Error("a repeat was allowed although the number of routers is not known")
	}
}

func since(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) {
			n++
		}
	}
	return n
}
