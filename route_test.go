package quetzalmount_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qm "quetzalmount.dev/quetzalmount"
)

func ExampleRoutes_Find() {
	long, short := &qm.Route{ID: "long", Prefix: "/a/b/"}, &qm.Route{ID: "short", Prefix: "/a/"}
	routes := &qm.Routes{Hosts: map[string][]*qm.Route{"api.example": {long, short}}}
	for _, path := range []string{"/a/b/c", "/a/x", "/b"} {
		if r, ok := routes.Find("API.example:8080", path); ok {
			fmt.Println(path, r.ID)
		} else {
			fmt.Println(path, "no route")
		}
	}
	// Output:
	// /a/b/c long
	// /a/x short
	// /b no route
}

// TestChooseGroup guards against groups that are not chosen in proportion to their weights, and against a request ID that is mapped to
// different groups.
func TestChooseGroup(t *testing.T) {
	r := &qm.Route{WeightedGroups: []qm.WeightedGroup{{Group: "a", Weight: 90}, {Group: "b", Weight: 10}, {Group: "c"}}}
	counts := map[qm.GroupID]int{}
	const n = 20000
	for i := range n {
		id := qm.RequestID(fmt.Sprint("request-", i))
		g, ok := r.ChooseGroup(id)
		if again, _ := r.ChooseGroup(id); !ok || again != g {
			t.Fatalf("ChooseGroup(%s) = %s, then %s", id, g, again)
		}
		counts[g]++
	}
	if b := float64(counts["b"]) / n; math.Abs(b-0.1) > 0.01 || counts["c"] != 0 {
		t.Errorf("requests per group = %v, want 90%% in a, 10%% in b and none in c", counts)
	}
	if g, ok := (&qm.Route{}).ChooseGroup("x"); ok {
		t.Errorf("ChooseGroup() of a route without groups = %q, want false", g)
	}
}

// TestMinUsableNumber guards against weights that are used for too long after a newer version was set, including the cases of a second
// newer version and of an earlier time reported by another router.
func TestMinUsableNumber(t *testing.T) {
	now := time.Unix(1000, 0)
	w := qm.DesiredWeights{Version: "2", Number: 2, SeenAt: now}
	w = qm.DesiredWeights{Version: "3", Number: 3, SeenAt: now.Add(5 * time.Second)}.WithPrevious(w)
	for after, want := range map[time.Duration]int64{9 * time.Second: 0, 11 * time.Second: 2, 16 * time.Second: 3} {
		if got := w.MinUsableNumber(now.Add(after), 10*time.Second); got != want {
			t.Errorf("MinUsableNumber() after %v = %d, want %d", after, got, want)
		}
	}
	learned := w.WithFirstSeen(3, now.Add(-20*time.Second)).WithFirstSeen(1, now.Add(-time.Hour)).WithFirstSeen(9, now)
	if got := learned.MinUsableNumber(now, 10*time.Second); got != 3 {
		t.Errorf("MinUsableNumber() with an earlier time from another router = %d, want 3", got)
	}
	if w.MinUsableNumber(now, 10*time.Second) != 0 {
		t.Error("WithFirstSeen modified its receiver")
	}
}
