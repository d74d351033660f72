package trial

import (
	"container/list"

	qm "quetzalmount.dev/quetzalmount"
)

// cacheEntry is the part of a prompt between two consecutive prefixes. Its key is that of the longer one.
type cacheEntry struct {
	key    qm.PrefixKey
	tokens qm.Tokens
}

// cache is a least recently used cache of prompts, up to a number of tokens. Its entries are the parts of prompts that
// end at a qm.PrefixSpan.
type cache struct {
	limitTokens, usedTokens qm.Tokens
	// recency lists the entries, the most recently used first.
	recency *list.List
	entries map[qm.PrefixKey]*list.Element
	// onChange is called for each entry that is stored or evicted.
	onChange func(key qm.PrefixKey, stored bool)
}

func newCache(limitTokens qm.Tokens, onChange func(qm.PrefixKey, bool)) *cache {
	return &cache{
		limitTokens: limitTokens, recency: list.New(), entries: map[qm.PrefixKey]*list.Element{}, onChange: onChange,
	}
}

// cachedPrefix returns the length in tokens of the longest prefix of a prompt that is in the cache.
func (c *cache) cachedPrefix(spans []qm.PrefixSpan) qm.Tokens {
	cached := qm.Tokens(0)
	for _, s := range spans {
		if _, ok := c.entries[s.Key]; !ok {
			break
		}
		cached = s.End
	}
	return cached
}

// markUsed marks the cached entries of a prompt as used, the last one first. An entry is useless without those before
// it in the prompt, so it is evicted before them.
func (c *cache) markUsed(spans []qm.PrefixSpan) {
	for i := len(spans) - 1; i >= 0; i-- {
		if e, ok := c.entries[spans[i].Key]; ok {
			c.recency.MoveToFront(e)
		}
	}
}

// store adds a whole prompt and evicts the least recently used entries above the limit.
func (c *cache) store(spans []qm.PrefixSpan) {
	start := qm.Tokens(0)
	for _, s := range spans {
		if _, ok := c.entries[s.Key]; !ok {
			entry := cacheEntry{key: s.Key, tokens: s.End - start}
			c.entries[s.Key] = c.recency.PushFront(entry)
			c.usedTokens += entry.tokens
			c.onChange(s.Key, true)
		}
		start = s.End
	}
	c.markUsed(spans)
	for c.usedTokens > c.limitTokens && c.recency.Len() > 0 {
		entry := c.recency.Remove(c.recency.Back()).(cacheEntry)
		delete(c.entries, entry.key)
		c.usedTokens -= entry.tokens
		c.onChange(entry.key, false)
	}
}
