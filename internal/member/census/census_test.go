package census_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/census"
)

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
	for _, id := range []qm.EndpointID{"a", "b", "c"} {
		c.Put(&qm.Endpoint{ID: id})
	}
	c.Drop("c", now)
	expect(now, "dropped while the registry is there", "a", "b")
	if !c.Reached(false, now) || c.Reached(false, now) {
		t.Error("the loss of the registry was not reported once")
	}
	c.Drop("a", now)
	c.Drop("b", now)
	expect(now.Add(time.Minute), "dropped while the registry is away", "a", "b")
	back := now.Add(time.Minute)
	c.Reached(true, back)
	expect(back.Add(time.Second), "one second after its return", "a", "b")
	c.Put(&qm.Endpoint{ID: "a"})
	expect(back.Add(3*time.Second), "three seconds after its return", "a")
	c.Keep(map[qm.EndpointID]bool{"b": true}, back.Add(4*time.Second))
	expect(back.Add(4*time.Second), "a whole list without it")
}

// TestOnly guards against a router without the registry that keeps what others know to be gone.
func TestOnly(t *testing.T) {
	c := census.New()
	c.Put(&qm.Endpoint{ID: "a"})
	c.Put(&qm.Endpoint{ID: "b"})
	c.Reached(false, time.Unix(0, 0))
	c.Only(map[qm.EndpointID]bool{"a": true})
	if got := c.List(time.Unix(1, 0)); len(got) != 1 || got[0].ID != "a" {
		t.Errorf("List() = %v, want a alone", got)
	}
}
