package newest_test

import (
	"fmt"

	"quetzalmount.dev/quetzalmount/internal/state/newest"
)

// A topic is read up to offset 3 when its store returns from a copy that ends at offset 1. The record at offset 1 is written anew then.
func ExampleView_ReplaceWith() {
	v := newest.New(newest.Options{})
	v.Apply([]newest.Record{
		{Key: "a", Value: []byte("1"), Offset: 0}, {Key: "b", Value: []byte("1"), Offset: 1}, {Key: "a", Value: []byte("2"), Offset: 2},
	}, newest.Position{Offset: 3})
	changes, _ := v.ReplaceWith(newest.Snapshot{Era: 1, Next: 2, Records: []newest.Record{
		{Key: "a", Value: []byte("1"), Era: 1, Offset: 0}, {Key: "c", Value: []byte("1"), Era: 1, Offset: 1},
	}})
	for _, r := range changes {
		fmt.Printf("%s %q at %d of era %d\n", r.Key, r.Value, r.Offset, r.Era)
	}
	// Output:
	// b "" at 1 of era 1
	// a "1" at 0 of era 1
	// c "1" at 1 of era 1
}
