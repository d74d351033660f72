// Package sketch keeps what a router remembers of recent prefixes in a fixed amount of memory: a table of the engines
// that hold a prefix, and counts of the most frequent prefixes.
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
	// Holders is the maximum number of engines that the table remembers for a prefix.
	Holders = 8
	// ways is the number of entries in a set of the set-associative table.
	ways = 8
	// TickTime is the resolution of ages. A 32-bit count of ticks wraps after 497 days.
	TickTime = 10 * time.Millisecond
)

// EngineIndex is the owner's number for an engine.
type EngineIndex uint16

// Tick is a time in units of TickTime.
type Tick uint32

// Holder is an engine that holds a prefix, as far as the owner knows.
type Holder struct {
	Engine EngineIndex
	// Epoch is the owner's number for the engine's incarnation and weights; a holder with an older one is void.
	// Epochs start at 1, so that the zero Holder is void.
	Epoch uint16
	// Seen is when the engine was last known to hold the prefix.
	Seen Tick
}

// entry is one prefix of the table.
type entry struct {
	key      qm.PrefixKey
	holders  [Holders]Holder
	lastUsed Tick
	occupied bool
}

// Table maps prefixes to their holders. It is a set-associative cache with a fixed number of entries: a new prefix
// replaces the least recently used entry of a full set.
type Table struct {
	entries []entry
	mask    uint64
	size    int
}

// New returns a table for at least limit prefixes; the number is rounded up to a power of two.
func New(limit int) *Table {
	sets := uint64(1)
	if limit > ways {
		sets = 1 << bits.Len64(uint64((limit-1)/ways))
	}
	return &Table{entries: make([]entry, sets*ways), mask: sets - 1}
}

// Cap returns the number of prefixes that the table has room for.
func (t *Table) Cap() int { return len(t.entries) }

// Len returns the number of prefixes in the table.
func (t *Table) Len() int { return t.size }

// Bytes returns the size of the table in bytes.
func (t *Table) Bytes() int { return len(t.entries) * int(unsafe.Sizeof(entry{})) }

// set returns the entries of the set that key belongs to.
func (t *Table) set(key qm.PrefixKey) []entry {
	// Any bits of a good hash would do. The multiplication keeps poorly distributed keys of callers out of a single
	// set.
	at := (uint64(key) * 0x9e3779b97f4a7c15 >> 20) & t.mask * ways
	return t.entries[at : at+ways]
}

// find returns the entry of key, or nil.
func (t *Table) find(key qm.PrefixKey) *entry {
	set := t.set(key)
	for i := range set {
		if set[i].key == key && set[i].occupied {
			return &set[i]
		}
	}
	return nil
}

// Get returns the holders of a prefix, some of which may be void, or nil if the prefix is not in the table.
func (t *Table) Get(key qm.PrefixKey) []Holder {
	if e := t.find(key); e != nil {
		return e.holders[:]
	}
	return nil
}

// Add records that an engine holds a prefix. If the prefix has Holders other holders, it replaces the one seen
// longest ago.
func (t *Table) Add(key qm.PrefixKey, engine EngineIndex, epoch uint16, now Tick) {
	e := t.find(key)
	if e == nil {
		e = t.victim(key)
		if !e.occupied {
			t.size++
		}
		*e = entry{key: key, occupied: true}
	}
	// Events carry times in the past, which must not age a prefix that is in use.
	e.lastUsed = max(e.lastUsed, now)
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

// victim returns the entry to use for a new key: a free one of its set, or the least recently used one.
func (t *Table) victim(key qm.PrefixKey) *entry {
	set := t.set(key)
	old := &set[0]
	for i := range set {
		if !set[i].occupied {
			return &set[i]
		}
		if set[i].lastUsed < old.lastUsed {
			old = &set[i]
		}
	}
	return old
}

// Drop records that an engine no longer holds a prefix. A prefix without holders is removed.
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
		e.occupied = false
		t.size--
	}
}
