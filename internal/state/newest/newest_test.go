package newest_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/state/newest"
)

// TestStaleRead guards against a read that began before a snapshot of another router was applied: its records must not
// bring back a key that was deleted in between, since the record of the deletion is never read.
func TestStaleRead(t *testing.T) {
	v := newest.New(newest.Options{})
	rec := func(key string, offset int) newest.Record {
		return newest.Record{Key: key, Value: []byte("x"), Offset: qm.Offset(offset)}
	}
	v.Apply([]newest.Record{rec("a", 1), rec("b", 2)}, newest.Position{Offset: 3})
	changes, replaced := v.ReplaceWith(newest.Snapshot{Records: []newest.Record{rec("a", 7)}, Next: 10})
	if diff := cmp.Diff([]newest.Record{{Key: "b", Offset: 9}, rec("a", 7)}, changes); !replaced || diff != "" {
		t.Fatalf("changes of the snapshot (-want +got):\n%s", diff)
	}
	if changes := v.Apply([]newest.Record{rec("a", 5), rec("b", 6)}, newest.Position{Offset: 7}); len(changes) > 0 {
		t.Errorf("a read from before the snapshot changed %v", changes)
	}
	if next, _ := v.Position(); next.Offset != 10 {
		t.Errorf("the next read starts at %d, want 10", next.Offset)
	}
	if changes := v.Apply([]newest.Record{rec("b", 11)}, newest.Position{Offset: 12}); len(changes) != 1 {
		t.Error("a key that was added again later was ignored")
	}
	if _, replaced := v.ReplaceWith(newest.Snapshot{Next: 9}); replaced {
		t.Error("an older snapshot was applied")
	}
}
