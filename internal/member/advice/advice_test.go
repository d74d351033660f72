package advice_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/member/advice"
	"quetzalmount.dev/quetzalmount/internal/state/board"
)

func members(n int) qm.Members {
	var out qm.Members
	for i := range n {
		id := fmt.Sprintf("r%03d", i)
		out = append(out, qm.Member{Instance: qm.InstanceID(id), Address: id + ":1", State: qm.Live, DataCentre: "a", Region: "x"})
	}
	return out
}

// TestFewTeamsMove guards against advice that moves most teams, and thus loses their cached prefixes, when one router is removed.
func TestFewTeamsMove(t *testing.T) {
	const teams = 4000
	for _, n := range []int{6, 24, 96} {
		all := members(n)
		less := slices.Delete(slices.Clone(all), n/2, n/2+1)
		moved := 0
		for i := range teams {
			team := qm.TeamID(fmt.Sprint("team", i))
			before, _ := advice.Home(team, all)
			after, _ := advice.Home(team, less)
			if before != after {
				moved++
				if before != all[n/2] {
					t.Fatalf("%s moved from %s, which was not removed", team, before.Instance)
				}
			}
		}
		// On average 1/n of the teams had the removed router as home; the bound allows for 4 standard deviations.
		mean := float64(teams) / float64(n)
		bound := mean + 4*math.Sqrt(mean)
		t.Logf("n=%d: %d of %d teams moved, 1/n is %d", n, moved, teams, teams/n)
		if float64(moved) > bound {
			t.Errorf("n=%d: %d teams moved, want at most %.0f", n, moved, bound)
		}
	}
}

// TestFor guards against a wrong order and against recommending a router that is leaving or suspect while others are live.
func TestFor(t *testing.T) {
	base := func() qm.Members {
		return qm.Members{
			{Instance: "a1", Address: "a1", DataCentre: "a", Region: "x", State: qm.Live, IsSelf: true},
			{Instance: "a2", Address: "a2", DataCentre: "a", Region: "x", State: qm.Live},
			{Instance: "b1", Address: "b1", DataCentre: "b", Region: "x", State: qm.Live},
			{Instance: "c1", Address: "c1", DataCentre: "c", Region: "y", State: qm.Live},
		}
	}
	for _, c := range []struct {
		name    string
		dc      qm.DataCentre
		states  map[int]qm.MemberState
		leaving bool
		want    []string
	}{
		{name: "own data centre first, other regions left out", dc: "b", want: []string{"b1", "a1", "a2"}},
		{name: "unknown data centre means that of the router", dc: "z", states: map[int]qm.MemberState{1: qm.Leaving}, want: []string{"a1", "b1"}},
		{name: "leaving and suspect left out", dc: "a", states: map[int]qm.MemberState{0: qm.Suspect, 1: qm.Leaving}, want: []string{"b1"}},
		{name: "other region when the own one is lost", dc: "a", states: map[int]qm.MemberState{0: qm.Suspect, 1: qm.Suspect, 2: qm.Suspect}, want: []string{"c1"}},
		{name: "this router stops", dc: "a", leaving: true, states: map[int]qm.MemberState{2: qm.Leaving}, want: []string{"a2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := board.New()
			m := base()
			for i, s := range c.states {
				m[i].State = s
			}
			b.Members.Store(m)
			b.Leaving.Store(c.leaving)
			got := advice.New(b, advice.Options{Validity: time.Second}).For("ledger", c.dc).Addresses()
			if c.dc == "b" {
				slices.Sort(got[1:])
			}
			if d := cmp.Diff(c.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

// TestHomeIsFirstOfRank guards against Home and Rank disagreeing about a team's home instance.
func TestHomeIsFirstOfRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := members(rapid.IntRange(1, 30).Draw(t, "n"))
		team := qm.TeamID(rapid.String().Draw(t, "team"))
		home, ok := advice.Home(team, m)
		if !ok || home != advice.Rank(team, m)[0] {
			t.Fatalf("Home() = %v, Rank()[0] = %v", home, advice.Rank(team, m)[0])
		}
	})
}
