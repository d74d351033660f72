package table_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

// sizes are the numbers of teams to measure, from a hundred times the current scale up to the target size.
var sizes = []int{1000, 4000, 12000}

// importRecord returns a record that creates n teams.
func importRecord(b *testing.B, n int) qm.Record {
	changes := make([]table.Change, n)
	for i := range changes {
		changes[i] = change(fmt.Sprintf("team-%05d", i), 0, "2")
		changes[i].Cells["RequestsPerMinute"] = fmt.Sprint(100 + i)
		changes[i].Cells["Concurrency"] = "16"
	}
	return record(b, 1, edit("import", 0, changes...))
}

// newTableWith returns a table after one accepted record.
func newTableWith(b *testing.B, rec qm.Record) *table.Table {
	t := table.New()
	if v, err := t.Apply(rec); err != nil || v.Status != table.Accepted {
		b.Fatal(v, err)
	}
	return t
}

func BenchmarkFoldAndBuild(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			rec := importRecord(b, n)
			b.ReportAllocs()
			for b.Loop() {
				newTableWith(b, rec).Config()
			}
			b.ReportMetric(float64(retainedBytes(b, rec)), "kept-bytes")
			b.ReportMetric(float64(len(rec.Data)), "record-bytes")
		})
	}
}

// retainedBytes returns the memory that a table and its configuration occupy.
func retainedBytes(b *testing.B, rec qm.Record) uint64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := newTableWith(b, rec)
	c := t.Config()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(t)
	runtime.KeepAlive(c)
	return after.HeapAlloc - before.HeapAlloc
}

func BenchmarkOneEdit(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			t := newTableWith(b, importRecord(b, n))
			t.Config()
			b.ReportAllocs()
			for b.Loop() {
				applyOne(b, t, n)
			}
		})
	}
}

// applyOne applies an edit of one team and builds the configuration, as a router does for each edit.
func applyOne(b *testing.B, t *table.Table, n int) {
	name := fmt.Sprintf("team-%05d", int(t.Offset())%n)
	c := t.MergeCells(team(name), map[string]string{"Weight": fmt.Sprint(1 + int(t.Offset())%9)})
	rec := record(b, t.Offset()+1, edit(qm.AttemptID(fmt.Sprint(t.Offset())), t.Offset(), c))
	if v, err := t.Apply(rec); err != nil || v.Status != table.Accepted {
		b.Fatal(v, err)
	}
	t.Config()
}

func BenchmarkDeltaAndSnapshot(b *testing.B) {
	for _, n := range sizes {
		t := newTableWith(b, importRecord(b, n))
		before := t.Offset()
		applyOne(b, t, n)
		for name, after := range map[string]qm.Offset{"delta": before, "whole": 0} {
			b.Run(fmt.Sprintf("%s/teams=%d", name, n), func(b *testing.B) {
				for b.Loop() {
					data, err := t.Delta(after).Encode()
					if err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(float64(len(data)), "bytes")
				}
			})
		}
		b.Run(fmt.Sprintf("snapshot/teams=%d", n), func(b *testing.B) {
			for b.Loop() {
				records, err := t.Snapshot("snapshot", table.DefaultPartRows)
				if err != nil {
					b.Fatal(err)
				}
				sum, most := 0, 0
				for _, r := range records {
					sum, most = sum+len(r), max(most, len(r))
				}
				b.ReportMetric(float64(sum), "bytes")
				b.ReportMetric(float64(most), "record-bytes")
				b.ReportMetric(float64(len(records)), "records")
			}
		})
	}
}

// BenchmarkDay measures the load of 3,100 edits, a whole day's at the target size, that come within ten minutes.
func BenchmarkDay(b *testing.B) {
	const edits, period = 3100, 10 * time.Minute
	t := newTableWith(b, importRecord(b, 12000))
	t.Config()
	for b.Loop() {
		start := time.Now()
		for range edits {
			applyOne(b, t, 12000)
		}
		b.ReportMetric(100*float64(time.Since(start))/float64(period), "%core")
	}
}
