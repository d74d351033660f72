package trial

import (
	"container/list"

	qm "quetzalmount.dev/quetzalmount"
)

// block is one step of a prompt in a cache.
type block struct {
	key  qm.PrefixKey
	size qm.Tokens
}

// cache keeps the steps of prompts that were used last, up to a number of tokens.
type cache struct {
	limit, used qm.Tokens
	order       *list.List
	blocks      map[qm.PrefixKey]*list.Element
	// changed is called for each step that enters or leaves.
	changed func(key qm.PrefixKey, stored bool)
}

func newCache(limit qm.Tokens, changed func(qm.PrefixKey, bool)) *cache {
	return &cache{
		limit: limit, order: list.New(), blocks: map[qm.PrefixKey]*list.Element{}, changed: changed,
	}
}

// held returns the tokens at the start of a prompt that are in the cache.
func (c *cache) held(spans []qm.PrefixSpan) qm.Tokens {
	hit := qm.Tokens(0)
	for _, s := range spans {
		if _, ok := c.blocks[s.Key]; !ok {
			break
		}
		hit = s.End
	}
	return hit
}

// use marks the held part of a prompt as used, the last step first: a step is useless without the ones before it, so it
// leaves before them.
func (c *cache) use(spans []qm.PrefixSpan) {
	for i := len(spans) - 1; i >= 0; i-- {
		if e, ok := c.blocks[spans[i].Key]; ok {
			c.order.MoveToFront(e)
		}
	}
}

// store adds a whole prompt and evicts what was not used for longest.
func (c *cache) store(spans []qm.PrefixSpan) {
	start := qm.Tokens(0)
	for _, s := range spans {
		if _, ok := c.blocks[s.Key]; !ok {
			b := block{key: s.Key, size: s.End - start}
			c.blocks[s.Key] = c.order.PushFront(b)
			c.used += b.size
			c.changed(s.Key, true)
		}
		start = s.End
	}
	c.use(spans)
	for c.used > c.limit && c.order.Len() > 0 {
		b := c.order.Remove(c.order.Back()).(block)
		delete(c.blocks, b.key)
		c.used -= b.size
		c.changed(b.key, false)
	}
}
