// Package newest keeps the newest record of each key of a topic.
package newest

import (
	"sync"

	qm "quetzalmount.dev/quetzalmount"
)

// Record is a record of a topic. A nil Value means that the key was deleted.
type Record struct {
	Key    string
	Value  []byte
	Offset qm.Offset
}

// View holds the newest record of each key that a reader has seen. It is safe for concurrent use.
type View struct {
	mu sync.Mutex
	// records holds the newest records by key, next the offset to read from, and complete whether all records before
	// next are known.
	records  map[string]Record
	next     qm.Offset
	complete bool
}

// New returns an empty view.
func New() *View { return &View{records: make(map[string]Record)} }

// Apply applies records in ascending order of their offsets and returns those that changed the view. next is the offset
// to read from afterwards.
func (v *View) Apply(records []Record, next qm.Offset) []Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changes []Record
	for _, r := range records {
		old, ok := v.records[r.Key]
		if ok && r.Offset <= old.Offset || !ok && v.complete && r.Offset < v.next {
			continue
		}
		if r.Value == nil {
			delete(v.records, r.Key)
		} else {
			v.records[r.Key] = r
		}
		changes = append(changes, r)
	}
	v.next = max(v.next, next)
	v.complete = true
	return changes
}

// ReplaceWith replaces the view with a snapshot of another router if the snapshot is newer or the view is not complete,
// and returns the changes. A key that is not in the snapshot was deleted; the changes have a record without a value for
// it, because the record of its deletion will never be read. Records of a read that began before the replacement do not
// bring the key back.
func (v *View) ReplaceWith(s Snapshot) (changes []Record, replaced bool) {
	if next, complete := v.Position(); complete && s.Next <= next {
		return nil, false
	}
	present := make(map[string]bool, len(s.Records))
	for _, r := range s.Records {
		present[r.Key] = true
	}
	v.mu.Lock()
	for key := range v.records {
		if !present[key] {
			delete(v.records, key)
			changes = append(changes, Record{Key: key, Offset: s.Next - 1})
		}
	}
	v.mu.Unlock()
	return append(changes, v.Apply(s.Records, s.Next)...), true
}

// Position returns the offset to read from, and whether all records before it are known.
func (v *View) Position() (next qm.Offset, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.next, v.complete
}

// Invalidate makes the next read start with the newest record of each key.
func (v *View) Invalidate() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.complete = false
}

// Snapshot is the content of a view, which routers send to each other.
type Snapshot struct {
	Records []Record
	Next    qm.Offset
}

// Snapshot returns the known records and the offset to read from.
func (v *View) Snapshot() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := Snapshot{Next: v.next}
	for _, r := range v.records {
		s.Records = append(s.Records, r)
	}
	return s
}
