package experiment

import (
	"container/list"

	"carobspoke.example/core/process/prefix"
	"carobspoke.example/core/target"
)

// cacheTokens bounds an engine's prefix cache, in tokens.
const cacheTokens = 300_000

// prefixCache is the prefix cache of a fake engine: the digests of what was
// prefilled, of which the least recently used go first.
type prefixCache struct {
	order   *list.List // of cachedPrefix, the newest first
	byKey   map[uint64]*list.Element
	tokens  int
	seq     uint64
	pending []target.CacheEvent
}

type cachedPrefix struct {
	digest uint64
	tokens int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), byKey: make(map[uint64]*list.Element)}
}

// cached returns how many tokens of a prompt are in the cache.
func (c *prefixCache) cached(digests []uint64) int {
	for i := len(digests) - 1; i >= 0; i-- {
		if e := c.byKey[digests[i]]; e != nil {
			c.order.MoveToFront(e)
			return prefix.TokensCovered(i)
		}
	}
	return 0
}

// add puts a prefilled prompt into the cache.
func (c *prefixCache) add(digests []uint64) {
	before := 0
	for i, d := range digests {
		tokens := prefix.TokensCovered(i) - before
		before = prefix.TokensCovered(i)
		if e := c.byKey[d]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.byKey[d] = c.order.PushFront(cachedPrefix{digest: d, tokens: tokens})
		c.tokens += tokens
		c.note(d, true)
	}
	for c.tokens > cacheTokens {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	e := c.order.Back()
	old := c.order.Remove(e).(cachedPrefix)
	delete(c.byKey, old.digest)
	c.tokens -= old.tokens
	c.note(old.digest, false)
}

func (c *prefixCache) note(digest uint64, added bool) {
	c.seq++
	c.pending = append(c.pending, target.CacheEvent{Seq: c.seq, Prefix: digest, Added: added})
}

// since returns the events after a sequence number.
func (c *prefixCache) since(seq uint64) []target.CacheEvent {
	first := int(min(seq, uint64(len(c.pending))))
	return c.pending[first:]
}
