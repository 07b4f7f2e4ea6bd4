package engine

import "container/list"

// memory counts KV blocks and holds the prefix cache. Blocks are owned by
// streams, by handles or by cache entries; only entries that no stream uses
// can be evicted. It is not safe for concurrent use.
type memory struct {
	total   int
	used    int
	idle    int // blocks of entries that no stream uses
	entries map[prefixKey]*entry
	lru     *list.List // idle entries, the next to evict in front
	event   func(key prefixKey, added bool)
}

type prefixKey struct {
	scope  string
	prefix uint64
}

// entry is a segment of a prompt in the prefix cache.
type entry struct {
	key    prefixKey
	blocks int
	users  int
	place  *list.Element // in lru while users is zero
}

func newMemory(total int, event func(prefixKey, bool)) *memory {
	return &memory{total: total, entries: map[prefixKey]*entry{}, lru: list.New(), event: event}
}

// available is how many blocks can be had, evicting what is idle.
func (m *memory) available() int { return m.total - m.used + m.idle }

// reserve takes n blocks, evicting idle entries as needed.
func (m *memory) reserve(n int) bool {
	if n > m.available() {
		return false
	}
	for m.total-m.used < n {
		m.evict()
	}
	m.used += n
	return true
}

// release gives n blocks back.
func (m *memory) release(n int) { m.used -= n }

// match returns the cached segments of a prompt, from its start to the first
// that is missing, and marks them used.
func (m *memory) match(scope string, prefixes []uint64) []*entry {
	var found []*entry
	for _, prefix := range prefixes {
		e, ok := m.entries[prefixKey{scope, prefix}]
		if !ok {
			break
		}
		m.use(e)
		found = append(found, e)
	}
	return found
}

// insert makes a used entry of blocks that a stream owns. It returns nil if
// the prefix is cached already; the blocks then stay the stream's.
func (m *memory) insert(key prefixKey, blocks int) *entry {
	if _, ok := m.entries[key]; ok {
		return nil
	}
	e := &entry{key: key, blocks: blocks, users: 1}
	m.entries[key] = e
	m.event(key, true)
	return e
}

// leave ends a stream's use of entries, given in prompt order. The longest
// prefix becomes the first to evict: without it the shorter still serve.
func (m *memory) leave(entries []*entry) {
	for i := len(entries) - 1; i >= 0; i-- {
		e := entries[i]
		e.users--
		if e.users == 0 {
			m.idle += e.blocks
			e.place = m.lru.PushBack(e)
		}
	}
}

func (m *memory) use(e *entry) {
	if e.users == 0 {
		m.idle -= e.blocks
		m.lru.Remove(e.place)
		e.place = nil
	}
	e.users++
}

func (m *memory) evict() {
	e := m.lru.Remove(m.lru.Front()).(*entry)
	delete(m.entries, e.key)
	m.idle -= e.blocks
	m.used -= e.blocks
	m.event(e.key, false)
}
