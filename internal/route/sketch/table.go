// Package sketch keeps what a router remembers of recent prefixes in a fixed amount of memory: a table of the engines that
// hold a prefix, and the prefixes that occur most often.
//
// Neither type is safe for concurrent use; the owner holds a lock. Neither allocates after its constructor.
package sketch

import (
	"math/bits"
	"time"
	"unsafe"

	qm "quetzalmount.dev/quetzalmount"
)

const (
	// Holders is the number of engines that the table remembers for a prefix.
	Holders = 8
	// ways is the number of entries that compete for a place in the table. Within them the least recently used one gives way.
	ways = 8
	// TickTime is the resolution of ages. A 32-bit count of ticks wraps after 497 days.
	TickTime = 10 * time.Millisecond
)

// Slot is the owner's number for an engine.
type EngineIndex uint16

// Tick is a time in units of TickTime.
type Tick uint32

// Holder is an engine that held a prefix when it was last seen there.
type Holder struct {
	Engine EngineIndex
	// Epoch is the owner's number for the engine's incarnation and weights; an older one makes the holder void. It starts
	// at 1, so that the zero Holder is void.
	Epoch uint16
	Seen  Tick
}

// entry is one prefix of the table.
type entry struct {
	key     qm.PrefixKey
	holders [Holders]Holder
	used    Tick
	live    bool
}

// Table maps prefixes to their holders. The number of entries is fixed; when a place is needed the least recently used of
// the entries that share it is dropped.
type Table struct {
	entries []entry
	mask    uint64
	size    int
}

// New returns a table for at least limit prefixes, rounded up to a power of two.
func New(limit int) *Table {
	sets := uint64(1)
	if limit > ways {
		sets = 1 << bits.Len64(uint64((limit-1)/ways))
	}
	return &Table{entries: make([]entry, sets*ways), mask: sets - 1}
}

// Cap returns the bound on entries.
func (t *Table) Cap() int { return len(t.entries) }

// Len returns the number of prefixes in the table.
func (t *Table) Len() int { return t.size }

// Bytes returns the memory of the table.
func (t *Table) Bytes() int { return len(t.entries) * int(unsafe.Sizeof(entry{})) }

// set returns the entries that key competes with.
func (t *Table) set(key qm.PrefixKey) []entry {
	// The low bits of a hash are as good as any, but a multiplication keeps weak keys of callers from sharing one set.
	at := (uint64(key) * 0x9e3779b97f4a7c15 >> 20) & t.mask * ways
	return t.entries[at : at+ways]
}

// find returns the entry of key, or nil.
func (t *Table) find(key qm.PrefixKey) *entry {
	set := t.set(key)
	for i := range set {
		if set[i].key == key && set[i].live {
			return &set[i]
		}
	}
	return nil
}

// Get returns the holders of a prefix, some of which may be void, or nil if the prefix is not known.
func (t *Table) Get(key qm.PrefixKey) []Holder {
	if e := t.find(key); e != nil {
		return e.holders[:]
	}
	return nil
}

// Add records that an engine holds a prefix. If all places for holders are taken the one seen longest ago is dropped.
func (t *Table) Add(key qm.PrefixKey, engine EngineIndex, epoch uint16, now Tick) {
	e := t.find(key)
	if e == nil {
		e = t.victim(key)
		if !e.live {
			t.size++
		}
		*e = entry{key: key, live: true}
	}
	// Events carry times in the past, which must not age a prefix that is in use.
	e.used = max(e.used, now)
	at := 0
	for i := range e.holders {
		h := &e.holders[i]
		if h.Engine == engine && h.Epoch != 0 {
			at = i
			break
		}
		if h.Epoch == 0 || (e.holders[at].Epoch != 0 && h.Seen < e.holders[at].Seen) {
			at = i
		}
	}
	e.holders[at] = Holder{Engine: engine, Epoch: epoch, Seen: now}
}

// victim returns a free entry or the least recently used one.
func (t *Table) victim(key qm.PrefixKey) *entry {
	set := t.set(key)
	old := &set[0]
	for i := range set {
		if !set[i].live {
			return &set[i]
		}
		if set[i].used < old.used {
			old = &set[i]
		}
	}
	return old
}

// Drop records that an engine no longer holds a prefix. A prefix without holders leaves the table.
func (t *Table) Drop(key qm.PrefixKey, engine EngineIndex) {
	e := t.find(key)
	if e == nil {
		return
	}
	left := 0
	for i := range e.holders {
		h := &e.holders[i]
		if h.Engine == engine {
			*h = Holder{}
		}
		if h.Epoch != 0 {
			left++
		}
	}
	if left == 0 {
		e.live = false
		t.size--
	}
}
