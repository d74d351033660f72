package watch_test

import (
	"fmt"
	"testing"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/watch"
)

func Example() {
	for _, members := range []qm.Members{
		{{Instance: "a", State: qm.Live, IsSelf: true}, {Instance: "b", State: qm.Live}},
		{{Instance: "a", State: qm.Live}, {Instance: "b", State: qm.Live, IsSelf: true}},
		{{Instance: "a", State: qm.Suspect}, {Instance: "b", State: qm.Live, IsSelf: true}},
	} {
		fmt.Println(watch.Wait(members, 2*time.Second, 8*time.Second))
	}
	// Output:
	// 500ms
	// 750ms
	// 500ms
}

// TestMissedByAll guards against a record that comes late because the read of every router has missed it, in systems of one router to 420,
// also if the first three routers have stopped and the others still take them for live, and against reads that cost more in large systems.
func TestMissedByAll(t *testing.T) {
	const longest = 8 * time.Second
	for _, bound := range []time.Duration{200 * time.Millisecond, 2 * time.Second, 4 * time.Second, 20 * time.Second} {
		for _, routers := range []int{1, 2, 3, 6, 9, 10, 30, 95, 420} {
			var members qm.Members
			for i := range routers {
				members = append(members, qm.Member{Instance: qm.InstanceID(fmt.Sprintf("r-%03d", i)), State: qm.Live})
			}
			reads := 0.0 // per second
			first, firstAlive := longest, longest
			for i := range members {
				members[i].IsSelf = true
				wait := watch.Wait(members, bound, longest)
				members[i].IsSelf = false
				if wait <= 0 || wait > longest {
					t.Fatalf("Wait() = %v", wait)
				}
				reads += 1 / wait.Seconds()
				first = min(first, wait)
				if i >= 3 {
					firstAlive = min(firstAlive, wait)
				}
			}
			if first > bound/3 {
				t.Errorf("%d routers, bound %v: the first read ends after %v", routers, bound, first)
			}
			if routers > 3 && firstAlive > bound*2/3 && firstAlive < longest {
				t.Errorf("%d routers, bound %v: the first read of the others ends after %v", routers, bound, firstAlive)
			}
			if extra := reads - float64(routers)/longest.Seconds(); extra > 16/bound.Seconds() {
				t.Errorf("%d routers, bound %v: %.1f reads a second more than with the longest wait", routers, bound, extra)
			}
		}
	}
}

// TestNoBound guards against reads that follow each other without a pause because no bound is set.
func TestNoBound(t *testing.T) {
	if got := watch.Wait(nil, 0, time.Second); got != time.Second {
		t.Errorf("Wait() without a bound = %v, want the longest wait", got)
	}
}
