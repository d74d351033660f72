// Package newest folds the records of a topic whose records replace each other by key.
package newest

import (
	"sync"

	qm "quetzalmount.dev/quetzalmount"
)

// Record is the newest record of a key. Value is nil if the key was dropped.
type Record struct {
	Key    string
	Value  []byte
	Offset qm.Offset
}

// View is what is known of a topic. It is safe for concurrent use.
type View struct {
	mu sync.Mutex
	// records are the newest ones by key, next the offset to read on from, known whether they are complete.
	records  map[string]Record
	next     qm.Offset
	complete bool
}

// New returns an empty fold.
func New() *View { return &View{records: make(map[string]Record)} }

// Apply takes records in the order of their offsets and returns those that are news.
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

// ReplaceWith takes a whole page of another router if it is newer, and returns its news. Keys that it does not have were dropped: they are
// among the news without a value, since the records of their ends are never read, and a read that began before does not bring them back.
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

// Position returns the offset to read on from, and whether all records before it are known.
func (v *View) Position() (next qm.Offset, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.next, v.complete
}

// Invalidate makes the next read begin with the newest record of each key.
func (v *View) Invalidate() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.complete = false
}

// Snapshot is a fold as routers hand it to each other.
type Snapshot struct {
	Records []Record
	Next    qm.Offset
}

// Snapshot returns all records that are known.
func (v *View) Snapshot() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := Snapshot{Next: v.next}
	for _, r := range v.records {
		s.Records = append(s.Records, r)
	}
	return s
}
