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

// maxNodeBytes is the memory that the target size allows for all control work of a node, in bytes.
const maxNodeBytes = 32 << 20

func heapBytes() int64 {
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

// TestMemoryPerTeam guards the memory of a node on which every team is active, and against state of idle teams that is never
// evicted. It measures at the home, which holds the most state for a team.
func TestMemoryPerTeam(t *testing.T) {
	for _, n := range []int{1000, 4000, 12000} {
		synctest.Test(t, func(t *testing.T) {
			teams := manyTeams(n)
			l := newSingle(t, teams...)
			defer l.Close()
			time.Sleep(time.Minute)
			synctest.Wait()
			before := heapBytes()
			for _, tm := range teams {
				g, err := l.Admit(tm, qm.Cost{PromptTokens: 100, OutputTokens: 100}, time.Now())
				if err != nil {
					t.Fatal(err)
				}
				g.Release(50)
			}
			active := heapBytes() - before
			time.Sleep(5 * time.Minute)
			synctest.Wait()
			idle := heapBytes() - before
			left, accounts := l.stateCounts()
			t.Logf("%d teams: %d B each while active, %d B each after five idle minutes", n, active/int64(n), idle/int64(n))
			if len(left)+accounts > 0 || active > maxNodeBytes {
				t.Errorf("%d teams and %d accounts kept; %d B while active, bound %d", len(left), accounts, active, maxNodeBytes)
			}
		})
	}
}

// BenchmarkTick measures the work of one tick of the loop, of which there are four a second, by the number of active teams.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{60, 1000, 4000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			teams := manyTeams(n)
			l := newSingle(b, teams...)
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

// BenchmarkLend measures the home's work for one message, without the transport.
func BenchmarkLend(b *testing.B) {
	for _, n := range []int{1, 10} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			teams := manyTeams(n)
			l := newSingle(b, teams...)
			defer l.Close()
			q := &peerpb.BorrowRequest{Instance: "r2"}
			for _, tm := range teams {
				for _, d := range append(dimNames[:], concurrency) {
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
