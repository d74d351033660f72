package share

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/wire/peerpb"
)

// nodeMemory is the memory of all control work of a node, from the target size.
const nodeMemory = 32 << 20

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func manyTeams(n int) []*qm.Team {
	out := make([]*qm.Team, n)
	for i := range out {
		out[i] = &qm.Team{ID: qm.TeamID(fmt.Sprintf("team-%05d", i)), Limits: qm.Limits{
			RequestsPerMinute: 600, PromptTokensPerMinute: 600000, OutputTokensPerMinute: 60000, Concurrency: 24,
		}}
	}
	return out
}

// TestMemoryPerTeam measures the memory of active and of idle teams at their home, which holds the most for a team, and
// guards the memory of a node if every team were active there.
func TestMemoryPerTeam(t *testing.T) {
	for _, n := range []int{1000, 4000, 12000} {
		synctest.Test(t, func(t *testing.T) {
			teams := manyTeams(n)
			l := alone(t, teams...)
			defer l.Close()
			time.Sleep(time.Minute)
			synctest.Wait()
			before := heap()
			for _, tm := range teams {
				g, err := l.Admit(tm, qm.Cost{PromptTokens: 100, OutputTokens: 100}, time.Now())
				if err != nil {
					t.Fatal(err)
				}
				g.Release(50)
			}
			active := heap() - before
			time.Sleep(5 * time.Minute)
			synctest.Wait()
			idle := heap() - before
			left, accounts := l.running()
			t.Logf("%d teams: %d B each while active, %d B each after five idle minutes", n, active/int64(n), idle/int64(n))
			if len(left)+accounts > 0 || active > nodeMemory {
				t.Errorf("%d teams and %d accounts kept; %d B while active, bound %d", len(left), accounts, active, nodeMemory)
			}
		})
	}
}

// BenchmarkTick measures the regular work of the loop, which runs four times a second, with a number of active teams.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{60, 1000, 4000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			teams := manyTeams(n)
			l := alone(b, teams...)
			defer l.Close()
			for _, tm := range teams {
				_, _ = l.Admit(tm, qm.Cost{}, time.Now())
			}
			b.ReportAllocs()
			for b.Loop() {
				l.borrow(b.Context(), true)
			}
		})
	}
}

// BenchmarkLend measures the home's side of one message, without the transport.
func BenchmarkLend(b *testing.B) {
	for _, n := range []int{1, 10} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			teams := manyTeams(n)
			l := alone(b, teams...)
			defer l.Close()
			q := &peerpb.BorrowRequest{Instance: "r2"}
			for _, tm := range teams {
				for _, d := range append(names[:], concurrency) {
					q.Wants = append(q.Wants, &peerpb.BorrowItem{Team: string(tm.ID), Dimension: d, Units: 1})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := l.Lend(b.Context(), q); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
