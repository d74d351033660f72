package census_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/census"
)

// TestIncompleteList guards against forgetting routers because a list of memberships lacks them, and against keeping them for ever.
func TestIncompleteList(t *testing.T) {
	const grace = 9 * time.Second
	a, b, c := qm.Member{Instance: "a"}, qm.Member{Instance: "b"}, qm.Member{Instance: "c"}
	m, start := census.NewMembers(grace), time.Unix(0, 0)
	expect := func(after time.Duration, what string, want ...string) {
		t.Helper()
		var got []string
		for _, e := range m.List(start.Add(after)) {
			name := string(e.Instance)
			if e.Unlisted {
				name += " unlisted"
			}
			got = append(got, name)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", what, diff)
		}
	}
	m.Update([]qm.Member{a, b, c}, start)
	expect(0, "complete list", "a", "b", "c")
	m.Update([]qm.Member{a}, start.Add(time.Second))
	m.Update([]qm.Member{a, b}, start.Add(2*time.Second))
	expect(3*time.Second, "b is listed again", "a", "b", "c unlisted")
	m.Update([]qm.Member{a}, start.Add(9*time.Second))
	expect(grace, "c is missing for less than the grace period", "a", "b unlisted", "c unlisted")
	expect(time.Second+grace, "c is missing for the grace period", "a", "b unlisted")
}
