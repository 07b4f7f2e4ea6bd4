package engine

import "container/list"

// memory counts KV blocks and contains the prefix cache. Streams, handles and
// cache entries own blocks; only entries that no stream uses can be evicted. It
// is not safe for concurrent use.
type memory struct {
	total      int
	usedBlocks int
	idleBlocks int // blocks of entries without users
	entries    map[prefixKey]*entry
	lru        *list.List // entries without users, next to evict first
	onEvent    func(key prefixKey, added bool)
}

type prefixKey struct {
	scope  string
	prefix uint64
}

// entry is a cached segment of a prompt: the blocks from the end of the previous
// prefix to the end of its own.
type entry struct {
	key        prefixKey
	blocks     int
	users      int
	lruElement *list.Element // position in lru while users is zero
}

func newMemory(total int, event func(prefixKey, bool)) *memory {
	return &memory{total: total, entries: map[prefixKey]*entry{}, lru: list.New(), onEvent: event}
}

// available returns the number of blocks that are free or can be evicted.
func (m *memory) available() int { return m.total - m.usedBlocks + m.idleBlocks }

// reserveBlocks reserves n blocks and evicts idle entries as needed. It returns
// false, and evicts nothing, if fewer than n blocks are available.
func (m *memory) reserveBlocks(n int) bool {
	if n > m.available() {
		return false
	}
	for m.total-m.usedBlocks < n {
		m.evict()
	}
	m.usedBlocks += n
	return true
}

// releaseBlocks returns n reserved blocks.
func (m *memory) releaseBlocks(n int) { m.usedBlocks -= n }

// match returns the cached segments of a prompt, from its start up to the first
// missing one, and adds a user to each.
func (m *memory) match(scope string, prefixes []uint64) []*entry {
	var found []*entry
	for _, prefix := range prefixes {
		e, ok := m.entries[prefixKey{scope, prefix}]
		if !ok {
			break
		}
		m.acquireEntry(e)
		found = append(found, e)
	}
	return found
}

// insert adds an entry with one user, which takes over blocks that a stream owns.
// It returns nil if the prefix is already cached; the stream then keeps the blocks.
func (m *memory) insert(key prefixKey, blocks int) *entry {
	if _, ok := m.entries[key]; ok {
		return nil
	}
	e := &entry{key: key, blocks: blocks, users: 1}
	m.entries[key] = e
	m.onEvent(key, true)
	return e
}

// releaseEntries removes a user from each of the entries, which are in prompt
// order. Of these, the longest prefix is evicted first, because the shorter
// prefixes remain usable without it.
func (m *memory) releaseEntries(entries []*entry) {
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		e.users--
		if e.users == 0 {
			m.idleBlocks += e.blocks
			e.lruElement = m.lru.PushBack(e)
		}
	}
}

func (m *memory) acquireEntry(e *entry) {
	if e.users == 0 {
		m.idleBlocks -= e.blocks
		m.lru.Remove(e.lruElement)
		e.lruElement = nil
	}
	e.users++
}

func (m *memory) evict() {
	e := m.lru.Remove(m.lru.Front()).(*entry)
	delete(m.entries, e.key)
	m.idleBlocks -= e.blocks
	m.usedBlocks -= e.blocks
	m.onEvent(e.key, false)
}
