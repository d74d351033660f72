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

func register(r *census.Registrations, ids ...qm.EndpointID) {
	var changes []census.Change
	for _, id := range ids {
		changes = append(changes, census.Change{ID: id, Endpoint: &qm.Endpoint{ID: id}})
	}
	r.Apply(changes, time.Time{})
}

func endAll(r *census.Registrations, now time.Time, ids ...qm.EndpointID) {
	var changes []census.Change
	for _, id := range ids {
		changes = append(changes, census.Change{ID: id})
	}
	r.Apply(changes, now)
}

// TestApplyIsAtomic guards against a list that contains only a part of the changes of one Apply: a router would become ready and refuse
// requests for the missing endpoints.
func TestApplyIsAtomic(t *testing.T) {
	r := census.New()
	var ids []qm.EndpointID
	for i := range 20000 {
		ids = append(ids, qm.EndpointID(strconv.Itoa(i)))
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { register(r, ids...) })
	for n := 0; n < len(ids); {
		if n = len(r.List(time.Now())); n != 0 && n != len(ids) {
			t.Fatalf("List() has %d of %d endpoints", n, len(ids))
		}
	}
}

// TestRegistrationGrace guards against removing endpoints because the registry was unreachable, and against keeping endpoints that did not
// register again.
func TestRegistrationGrace(t *testing.T) {
	r, now := census.New(), time.Unix(0, 0)
	ids := func(at time.Time) (out []qm.EndpointID) {
		for _, e := range r.List(at) {
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
	register(r, "a", "b", "c")
	endAll(r, now, "c")
	expect(now, "dropped while the registry is there", "a", "b")
	if !r.SetReachable(false, now) || r.SetReachable(false, now) {
		t.Error("SetReachable(false) did not report exactly one change")
	}
	endAll(r, now, "a", "b")
	expect(now.Add(time.Minute), "dropped while the registry is away", "a", "b")
	back := now.Add(time.Minute)
	r.SetReachable(true, back)
	expect(back.Add(time.Second), "one second after its return", "a", "b")
	if r.IsComplete(back.Add(time.Second)) || !r.IsComplete(back.Add(3*time.Second)) {
		t.Error("the registrations must be complete three seconds after the return and not after one")
	}
	register(r, "a")
	expect(back.Add(3*time.Second), "three seconds after its return", "a")
	r.EndMissing(map[qm.EndpointID]bool{"b": true}, back.Add(4*time.Second))
	expect(back.Add(4*time.Second), "a whole list without it")
}

// TestRemoveMissing guards against a router that can't reach the registry keeping endpoints that other routers know to be gone.
func TestRemoveMissing(t *testing.T) {
	r := census.New()
	register(r, "a", "b")
	r.SetReachable(false, time.Unix(0, 0))
	r.RemoveMissing(map[qm.EndpointID]bool{"a": true}, time.Unix(0, 0))
	if got := r.List(time.Unix(1, 0)); len(got) != 1 || got[0].ID != "a" {
		t.Errorf("List() = %v, want only a", got)
	}
}
