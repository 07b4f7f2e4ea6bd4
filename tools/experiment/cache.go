package experiment

import (
	"container/list"

	"carobspoke.example/core/process/prefix"
	"carobspoke.example/core/target"
)

// maxCacheTokens bounds an engine's prefix cache, in tokens.
const maxCacheTokens = 300_000

// prefixCache is the prefix cache of a fake engine. It holds the digests of
// prefilled prompt prefixes and evicts the least recently used first.
type prefixCache struct {
	order    *list.List // of cachedPrefix, most recently used first
	byDigest map[uint64]*list.Element
	tokens   int
	seq      uint64
	events   []target.CacheEvent
}

type cachedPrefix struct {
	digest uint64
	tokens int
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), byDigest: make(map[uint64]*list.Element)}
}

// lookUp returns the number of prompt tokens that are cached and marks the
// longest matching prefix as recently used.
func (c *prefixCache) lookUp(digests []uint64) int {
	for i := len(digests) - 1; i >= 0; i-- {
		if e := c.byDigest[digests[i]]; e != nil {
			c.order.MoveToFront(e)
			return prefix.TokensCovered(i)
		}
	}
	return 0
}

// add caches the prefixes of a prefilled prompt and evicts old ones until the
// cache holds at most maxCacheTokens.
func (c *prefixCache) add(digests []uint64) {
	covered := 0
	for i, d := range digests {
		tokens := prefix.TokensCovered(i) - covered
		covered = prefix.TokensCovered(i)
		if e := c.byDigest[d]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.byDigest[d] = c.order.PushFront(cachedPrefix{digest: d, tokens: tokens})
		c.tokens += tokens
		c.recordEvent(d, true)
	}
	for c.tokens > maxCacheTokens {
		c.evict()
	}
}

func (c *prefixCache) evict() {
	e := c.order.Back()
	old := c.order.Remove(e).(cachedPrefix)
	delete(c.byDigest, old.digest)
	c.tokens -= old.tokens
	c.recordEvent(old.digest, false)
}

func (c *prefixCache) recordEvent(digest uint64, added bool) {
	c.seq++
	c.events = append(c.events, target.CacheEvent{Seq: c.seq, Prefix: digest, Added: added})
}

// eventsAfter returns the events with a sequence number greater than seq.
func (c *prefixCache) eventsAfter(seq uint64) []target.CacheEvent {
	first := int(min(seq, uint64(len(c.events))))
	return c.events[first:]
}
