package engsrv

import (
	"container/list"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	qm "quetzalmount.dev/quetzalmount"
)

// retainedEvents is the number of latest cache events that stay readable, at least.
const retainedEvents = 10000

// blockKey identifies a cached block. It includes the salt, so requests with different salts share no blocks.
type blockKey struct {
	salt string
	key  qm.PrefixKey
}

type block struct {
	id blockKey
	// version identifies the weights that computed the block.
	version qm.VersionID
}

// Event is a cache event.
type Event struct {
	Seq   int64
	Kind  string // Stored or Evicted
	Block qm.PrefixKey
	at    time.Time
}

// cache is a prefix cache with LRU eviction, and the events of its changes. It is guarded by core.mu.
type cache struct {
	capacity int
	lru      *list.List // of block, most recently used first
	blocks   map[blockKey]*list.Element
	evicted  int64

	nextSeq    int64
	events     []Event
	losesEvent func() bool
}

func newCache(capacity int, losesEvent func() bool) *cache {
	return &cache{
		capacity: capacity, lru: list.New(), blocks: make(map[blockKey]*list.Element), nextSeq: 1, losesEvent: losesEvent,
	}
}

// lookup returns the number of leading spans that are cached, and how many of these were computed with weights other than
// version. It marks the cached spans as recently used.
func (c *cache) lookup(salt string, spans []qm.PrefixSpan, version qm.VersionID) (hits, stale int) {
	for _, s := range spans {
		e, ok := c.blocks[blockKey{salt, s.Key}]
		if !ok {
			break
		}
		c.lru.MoveToFront(e)
		hits++
		if e.Value.(block).version != version {
			stale++
		}
	}
	return hits, stale
}

// store adds a block, or marks it as recently used if it is cached already. It evicts the least recently used blocks while
// the cache is full.
func (c *cache) store(b block) {
	if e, ok := c.blocks[b.id]; ok {
		c.lru.MoveToFront(e)
		return
	}
	if c.capacity <= 0 {
		return
	}
	for c.lru.Len() >= c.capacity {
		oldest := c.lru.Back()
		c.lru.Remove(oldest)
		evicted := oldest.Value.(block)
		delete(c.blocks, evicted.id)
		c.evicted++
		c.appendEvent("Evicted", evicted.id.key)
	}
	c.blocks[b.id] = c.lru.PushFront(b)
	c.appendEvent("Stored", b.id.key)
}

// appendEvent records an event. A lost event still takes a sequence number, so that readers can detect the gap.
func (c *cache) appendEvent(kind string, key qm.PrefixKey) {
	seq := c.nextSeq
	c.nextSeq++
	if c.losesEvent() {
		return
	}
	c.events = append(c.events, Event{Seq: seq, Kind: kind, Block: key, at: time.Now()})
	if len(c.events) > 2*retainedEvents {
		c.events = append([]Event(nil), c.events[retainedEvents:]...)
	}
}

// prefixSpans computes the spans of a request that lists no blocks, by chained hashing of the full blocks of its text.
func prefixSpans(messages []qm.Message) []qm.PrefixSpan {
	var text []byte
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, 0)
		text = append(text, m.Content...)
	}
	const blockBytes = int(qm.BlockTokens) * qm.BytesPerToken
	var spans []qm.PrefixSpan
	var hash uint64
	for end := blockBytes; end <= len(text); end += blockBytes {
		d := xxhash.New()
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, hash))
		_, _ = d.Write(text[end-blockBytes : end])
		hash = d.Sum64()
		spans = append(spans, qm.PrefixSpan{Key: qm.PrefixKey(hash), End: qm.EstimateTokens(end)})
	}
	return spans
}
