package newest_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/newest"
)

// history is a topic whose store may return from a copy.
type history struct {
	era     qm.Era
	records []newest.Record
}

func (h *history) write(key string, value []byte) {
	h.records = append(h.records, newest.Record{Key: key, Value: value, Era: h.era, Offset: qm.Offset(len(h.records))})
}

// restore begins a new era with the first n records.
func (h *history) restore(n int) {
	h.era++
	h.records = slices.Clone(h.records[:n])
	for i := range h.records {
		h.records[i].Era = h.era
	}
}

// list returns the newest record of each key.
func (h *history) list() newest.Snapshot {
	s := newest.Snapshot{Era: h.era, Next: qm.Offset(len(h.records))}
	for i, r := range h.records {
		if r.Value != nil && !slices.ContainsFunc(h.records[i+1:], func(o newest.Record) bool { return o.Key == r.Key }) {
			s.Records = append(s.Records, r)
		}
	}
	return s
}

// values returns the values of records by key.
func values(s newest.Snapshot) map[string]string {
	out := map[string]string{}
	for _, r := range s.Records {
		out[r.Key] = string(r.Value)
	}
	return out
}

func number(r newest.Record) int {
	n, err := strconv.Atoi(string(r.Value))
	if err != nil {
		return -1
	}
	return n
}

// TestViewsOfRestoredHistory draws writes, deletions and returns from a copy while routers read lists and records and send each other
// snapshots, each of which may be applied late. When all is read, each router has the last era's records, and of a topic whose records
// outlive their era the highest value that it has seen or read of each key.
func TestViewsOfRestoredHistory(t *testing.T) {
	for _, outlive := range []bool{false, true} {
		t.Run(fmt.Sprint("outlive ", outlive), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkViews(t, outlive) })
		})
	}
}

var keys = []string{"a", "b", "c", "d", "e", "f", "g", "h"}

func checkViews(t *rapid.T, outlive bool) {
	var o newest.Options
	if outlive {
		o.Outdates = func(r, old newest.Record) bool { return number(r) > number(old) }
	}
	views := make([]*newest.View, 3)
	highest := make([]map[string]int, len(views))
	for i := range views {
		views[i], highest[i] = newest.New(o), map[string]int{}
	}
	h := &history{era: 1}
	var snapshots []newest.Snapshot
	written := 0
	see := func(i int, records []newest.Record) {
		for _, r := range records {
			highest[i][r.Key] = max(highest[i][r.Key], number(r))
		}
	}
	// read applies what a read of the store returns.
	read := func(i int) {
		v := views[i]
		if next, complete := v.Position(); complete && next.Era == h.era {
			records := h.records[next.Offset:]
			see(i, records)
			v.Apply(records, newest.Position{Era: h.era, Offset: qm.Offset(len(h.records))})
			return
		}
		see(i, h.list().Records)
		v.ReplaceWith(h.list())
	}
	view := rapid.IntRange(0, len(views)-1)
	for range rapid.IntRange(0, 200).Draw(t, "steps") {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1, 2:
			written++
			h.write(rapid.SampledFrom(keys).Draw(t, "key"), []byte(strconv.Itoa(written)))
		case 3:
			if !outlive {
				h.write(rapid.SampledFrom(keys).Draw(t, "deleted"), nil)
			}
		case 4:
			h.restore(rapid.IntRange(0, len(h.records)).Draw(t, "kept"))
		case 5:
			snapshots = append(snapshots, views[view.Draw(t, "sender")].Snapshot())
		case 6:
			if len(snapshots) > 0 {
				i, s := view.Draw(t, "receiver"), rapid.SampledFrom(snapshots).Draw(t, "snapshot")
				if outlive {
					see(i, s.Records)
					views[i].Apply(s.Records, s.Position())
				} else {
					views[i].ReplaceWith(s)
				}
			}
		default:
			read(view.Draw(t, "reader"))
		}
	}
	for i, v := range views {
		read(i)
		want := values(h.list())
		if outlive {
			for key, n := range highest[i] {
				if old, ok := want[key]; !ok || number(newest.Record{Value: []byte(old)}) < n {
					want[key] = strconv.Itoa(n)
				}
			}
		}
		if diff := cmp.Diff(want, values(v.Snapshot())); diff != "" {
			t.Fatalf("view %d after all reads (-want +got):\n%s", i, diff)
		}
	}
}
