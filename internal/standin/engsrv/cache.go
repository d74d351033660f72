package engsrv

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
)

// keptEvents is the number of cache events that can still be read.
const keptEvents = 10000

// blockKey identifies a cached block. The salt is part of the key, so requests with different salts share nothing.
type blockKey struct {
	salt string
	key  qm.PrefixKey
}

type block struct {
	id blockKey
	// version is the weights that computed the block.
	version qm.VersionID
}

// Event is one entry of the event stream.
type Event struct {
	Seq   int64
	Kind  string // Stored or Evicted
	Block qm.PrefixKey
	at    time.Time
}

// cache is a prefix cache with LRU eviction and its event stream. The caller holds the core's lock.
type cache struct {
	capacity int
	order    *list.List // of block, most recently used first
	blocks   map[blockKey]*list.Element
	evicted  int64

	nextSeq int64
	events  []Event
	lost    func() bool
}

func newCache(capacity int, lost func() bool) *cache {
	return &cache{capacity: capacity, order: list.New(), blocks: make(map[blockKey]*list.Element), nextSeq: 1, lost: lost}
}

// lookup returns the number of leading spans that are cached and how many of them other weights computed, and marks them
// as used.
func (c *cache) lookup(salt string, spans []qm.PrefixSpan, version qm.VersionID) (hits, stale int) {
	for _, s := range spans {
		e, ok := c.blocks[blockKey{salt, s.Key}]
		if !ok {
			break
		}
		c.order.MoveToFront(e)
		hits++
		if e.Value.(block).version != version {
			stale++
		}
	}
	return hits, stale
}

func (c *cache) store(b block) {
	if e, ok := c.blocks[b.id]; ok {
		c.order.MoveToFront(e)
		return
	}
	if c.capacity <= 0 {
		return
	}
	for c.order.Len() >= c.capacity {
		last := c.order.Back()
		c.order.Remove(last)
		old := last.Value.(block)
		delete(c.blocks, old.id)
		c.evicted++
		c.event("Evicted", old.id.key)
	}
	c.blocks[b.id] = c.order.PushFront(b)
	c.event("Stored", b.id.key)
}

// event appends to the event stream. A lost event still takes a sequence number, so that readers can see the gap.
func (c *cache) event(kind string, key qm.PrefixKey) {
	seq := c.nextSeq
	c.nextSeq++
	if c.lost() {
		return
	}
	c.events = append(c.events, Event{Seq: seq, Kind: kind, Block: key, at: time.Now()})
	if len(c.events) > 2*keptEvents {
		c.events = append([]Event(nil), c.events[keptEvents:]...)
	}
}

// spansOf returns the spans of a request that names none: chained hashes over full blocks of the text.
func spansOf(messages []qm.Message) []qm.PrefixSpan {
	var text []byte
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, 0)
		text = append(text, m.Content...)
	}
	const size = int(qm.BlockTokens) * qm.BytesPerToken
	var spans []qm.PrefixSpan
	var chain uint64
	for end := size; end <= len(text); end += size {
		d := xxhash.New()
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, chain))
		_, _ = d.Write(text[end-size : end])
		chain = d.Sum64()
		spans = append(spans, qm.PrefixSpan{Key: qm.PrefixKey(chain), End: qm.EstimateTokens(end)})
	}
	return spans
}
