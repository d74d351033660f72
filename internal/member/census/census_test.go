package census_test

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/census"
)

func put(c *census.Registrations, ids ...qm.EndpointID) {
	var changes []census.Change
	for _, id := range ids {
		changes = append(changes, census.Change{ID: id, Endpoint: &qm.Endpoint{ID: id}})
	}
	c.Apply(changes, time.Time{})
}

func drop(c *census.Registrations, now time.Time, ids ...qm.EndpointID) {
	var changes []census.Change
	for _, id := range ids {
		changes = append(changes, census.Change{ID: id})
	}
	c.Apply(changes, now)
}

// TestWhole guards against a list that shows a part of what was read at once: a router would be ready and refuse requests for want of the
// other part.
func TestWhole(t *testing.T) {
	c := census.New()
	var ids []qm.EndpointID
	for i := range 20000 {
		ids = append(ids, qm.EndpointID(strconv.Itoa(i)))
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { put(c, ids...) })
	for n := 0; n < len(ids); {
		if n = len(c.List(time.Now())); n != 0 && n != len(ids) {
			t.Fatalf("the list has %d of %d endpoints", n, len(ids))
		}
	}
}

// TestLapse guards against endpoints that are dropped because the registry was away, and against endpoints that are kept although
// they did not come back.
func TestLapse(t *testing.T) {
	c, now := census.New(), time.Unix(0, 0)
	ids := func(at time.Time) (out []qm.EndpointID) {
		for _, e := range c.List(at) {
			out = append(out, e.ID)
		}
		return out
	}
	expect := func(at time.Time, when string, want ...qm.EndpointID) {
		t.Helper()
		if diff := cmp.Diff(want, ids(at)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", when, diff)
		}
	}
	put(c, "a", "b", "c")
	drop(c, now, "c")
	expect(now, "dropped while the registry is there", "a", "b")
	if !c.SetReachable(false, now) || c.SetReachable(false, now) {
		t.Error("the loss of the registry was not reported once")
	}
	drop(c, now, "a", "b")
	expect(now.Add(time.Minute), "dropped while the registry is away", "a", "b")
	back := now.Add(time.Minute)
	c.SetReachable(true, back)
	expect(back.Add(time.Second), "one second after its return", "a", "b")
	put(c, "a")
	expect(back.Add(3*time.Second), "three seconds after its return", "a")
	c.EndMissing(map[qm.EndpointID]bool{"b": true}, back.Add(4*time.Second))
	expect(back.Add(4*time.Second), "a whole list without it")
}

// TestOnly guards against a router without the registry that keeps what others know to be gone.
func TestOnly(t *testing.T) {
	c := census.New()
	put(c, "a", "b")
	c.SetReachable(false, time.Unix(0, 0))
	c.RemoveMissing(map[qm.EndpointID]bool{"a": true})
	if got := c.List(time.Unix(1, 0)); len(got) != 1 || got[0].ID != "a" {
		t.Errorf("List() = %v, want a alone", got)
	}
}
