// Package newest keeps the newest record of each key of a topic.
package newest

import (
	"cmp"
	"sync"

	qm "quetzalmount.dev/quetzalmount"
)

// Position is a position in a topic. Positions are ordered by era and then by offset.
type Position struct {
	Era    qm.Era
	Offset qm.Offset
}

// eraShift is the number of bits of an offset in Ordinal.
const eraShift = 40

// Compare returns -1, 0 or 1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// Ordinal returns a number that orders positions, for up to 1<<40 offsets and 1<<23 eras. In era 0 it is the offset.
func (p Position) Ordinal() int64 { return int64(p.Era)<<eraShift + int64(p.Offset) }

// Record is a record of a topic. A nil Value means that the key was deleted.
type Record struct {
	Key    string
	Value  []byte
	Era    qm.Era
	Offset qm.Offset
}

// Position returns the position of the record.
func (r Record) Position() Position { return Position{r.Era, r.Offset} }

// Options configures a View.
type Options struct {
	// Outdates reports whether r is newer than old, a record of the same key and another era. If it is set, records outlive their era: one
	// that is missing from a later era is kept, since whoever wrote it writes it again. If it is nil, the last era holds all records.
	Outdates func(r, old Record) bool
}

// View holds the newest record of each key that a reader has seen. It is safe for concurrent use.
type View struct {
	opts Options

	mu sync.Mutex
	// records holds the newest records by key, next the position to read from, and complete whether all records before
	// next are known.
	records  map[string]Record
	next     Position
	complete bool
}

// New returns an empty view.
func New(o Options) *View { return &View{opts: o, records: make(map[string]Record)} }

// isOld reports whether the view has r or something newer. The caller holds mu.
func (v *View) isOld(r Record) bool {
	old, ok := v.records[r.Key]
	switch {
	case ok && r.Era != old.Era && v.opts.Outdates != nil:
		return !v.opts.Outdates(r, old)
	case ok:
		return r.Position().Compare(old.Position()) <= 0
	case r.Era != v.next.Era && v.opts.Outdates != nil:
		return false
	}
	return v.complete && r.Position().Compare(v.next) < 0
}

// Apply applies records in ascending order of their positions and returns those that changed the view. next is the
// position to read from afterwards.
func (v *View) Apply(records []Record, next Position) []Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changes []Record
	for _, r := range records {
		if v.isOld(r) {
			continue
		}
		if r.Value == nil {
			delete(v.records, r.Key)
		} else {
			v.records[r.Key] = r
		}
		changes = append(changes, r)
	}
	if next.Compare(v.next) > 0 {
		v.next = next
	}
	v.complete = true
	return changes
}

// ReplaceWith replaces the view with a complete list of records if that is newer or the view is not complete, and returns
// the changes. A key that is not in the list was deleted; the changes have a record without a value for it, because the
// record of its deletion will never be read. Records of a read that began before the replacement do not bring the key back.
func (v *View) ReplaceWith(s Snapshot) (changes []Record, replaced bool) {
	end := s.Position()
	if next, complete := v.Position(); complete && end.Compare(next) <= 0 {
		return nil, false
	}
	present := make(map[string]bool, len(s.Records))
	for _, r := range s.Records {
		present[r.Key] = true
	}
	v.mu.Lock()
	for key, r := range v.records {
		outlives := v.opts.Outdates != nil && r.Era != end.Era
		if !present[key] && !outlives && r.Position().Compare(end) < 0 {
			delete(v.records, key)
			changes = append(changes, Record{Key: key, Era: end.Era, Offset: end.Offset - 1})
		}
	}
	v.mu.Unlock()
	return append(changes, v.Apply(s.Records, end)...), true
}

// Position returns the position to read from, and whether all records before it are known.
func (v *View) Position() (next Position, complete bool) {
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
	// Era and Next are the position to read from.
	Era  qm.Era
	Next qm.Offset
}

// Position returns the position to read from after the records.
func (s Snapshot) Position() Position { return Position{s.Era, s.Next} }

// Snapshot returns the known records and the position to read from.
func (v *View) Snapshot() Snapshot {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := Snapshot{Era: v.next.Era, Next: v.next.Offset}
	for _, r := range v.records {
		s.Records = append(s.Records, r)
	}
	return s
}
