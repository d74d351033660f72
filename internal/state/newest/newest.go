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

// Fold is what is known of a topic. It is safe for concurrent use.
type Fold struct {
	mu sync.Mutex
	// records are the newest ones by key, next the offset to read on from, known whether they are complete.
	records map[string]Record
	next    qm.Offset
	known   bool
}

// New returns an empty fold.
func New() *Fold { return &Fold{records: make(map[string]Record)} }

// Put takes records in the order of their offsets and returns those that are news.
func (f *Fold) Put(records []Record, next qm.Offset) []Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []Record
	for _, r := range records {
		old, ok := f.records[r.Key]
		if ok && r.Offset <= old.Offset || !ok && f.known && r.Offset < f.next {
			continue
		}
		if r.Value == nil {
			delete(f.records, r.Key)
		} else {
			f.records[r.Key] = r
		}
		news = append(news, r)
	}
	f.next = max(f.next, next)
	f.known = true
	return news
}

// Replace takes a whole page of another router if it is newer, and returns its news. Keys that it does not have were dropped: they are
// among the news without a value, since the records of their ends are never read, and a read that began before does not bring them back.
func (f *Fold) Replace(p Page) (news []Record, taken bool) {
	if next, known := f.Position(); known && p.Next <= next {
		return nil, false
	}
	has := make(map[string]bool, len(p.Records))
	for _, r := range p.Records {
		has[r.Key] = true
	}
	f.mu.Lock()
	for key := range f.records {
		if !has[key] {
			delete(f.records, key)
			news = append(news, Record{Key: key, Offset: p.Next - 1})
		}
	}
	f.mu.Unlock()
	return append(news, f.Put(p.Records, p.Next)...), true
}

// Position returns the offset to read on from, and whether all records before it are known.
func (f *Fold) Position() (next qm.Offset, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.known
}

// Forget makes the next read begin with the newest record of each key.
func (f *Fold) Forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = false
}

// Page is a fold as routers hand it to each other.
type Page struct {
	Records []Record
	Next    qm.Offset
}

// Page returns all records that are known.
func (f *Fold) Page() Page {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := Page{Next: f.next}
	for _, r := range f.records {
		p.Records = append(p.Records, r)
	}
	return p
}
