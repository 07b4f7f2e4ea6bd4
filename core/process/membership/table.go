package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobspoke.example/core/names"
)

// notInRing is the ring index of an entry that is not active.
const notInRing = -1

// entry is a member with the failure detector's state about it.
type entry struct {
	Member
	// ringIndex is the entry's index in the ring, or notInRing.
	ringIndex int
	// suspicionDeadline is when a suspect is declared dead.
	suspicionDeadline time.Time
	// finalPingSent is true once a suspect was pinged at its deadline.
	finalPingSent bool
	// inactiveSince is when the member died or left.
	inactiveSince time.Time
	// hash is memberHash of the entry. Those of active entries are part of
	// the table's activeHash.
	hash uint64
}

// table holds all known members except the daemon itself.
type table struct {
	byHost map[names.Host]*entry
	// ring holds the active members in probe order.
	ring []*entry
	// byHostOrder caches all entries sorted by host; nil when stale.
	byHostOrder []*entry
	// live caches the result of Live; nil when stale.
	live []Member
	// activeHash is the XOR of the active members' hashes.
	activeHash uint64
}

func newTable() *table { return &table{byHost: make(map[names.Host]*entry)} }

// memberHash returns a hash of a member's host, incarnation, refutation and
// drain flag, and also of its state if the member is not active. Alive and
// Suspect members thus have the same hash.
func memberHash(m *Member) uint64 {
	h := xxhash.Sum64String(string(m.Host))
	h ^= uint64(m.Incarnation) * 0x9e3779b97f4a7c15
	h += uint64(m.Refutation)
	if m.Draining {
		h = ^h
	}
	if !m.Active() {
		h += uint64(m.State) << 32
	}
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>29
}

// put sets an entry's member and updates the ring, the hash and the caches.
// randomIndex returns an index in a ring of n entries.
func (t *table) put(e *entry, m Member, randomIndex func(n int) int) {
	if _, ok := t.byHost[m.Host]; !ok {
		t.byHost[m.Host] = e
		t.byHostOrder = nil
	}
	if e.ringIndex != notInRing {
		t.activeHash ^= e.hash
	}
	e.Member = m
	t.live = nil
	e.hash = memberHash(&m)
	if !m.Active() {
		t.removeFromRing(e)
		return
	}
	if e.ringIndex == notInRing {
		t.addToRing(e, randomIndex(len(t.ring)+1))
	}
	t.activeHash ^= e.hash
}

func (t *table) addToRing(e *entry, index int) {
	e.ringIndex = len(t.ring)
	t.ring = append(t.ring, e)
	t.swap(e.ringIndex, index)
}

func (t *table) removeFromRing(e *entry) {
	if e.ringIndex == notInRing {
		return
	}
	last := len(t.ring) - 1
	t.swap(e.ringIndex, last)
	t.ring[last] = nil
	t.ring = t.ring[:last]
	e.ringIndex = notInRing
}

func (t *table) swap(i, j int) {
	t.ring[i], t.ring[j] = t.ring[j], t.ring[i]
	t.ring[i].ringIndex = i
	t.ring[j].ringIndex = j
}

// remove deletes an entry that is not active.
func (t *table) remove(e *entry) {
	delete(t.byHost, e.Host)
	t.byHostOrder = nil
}

// sortedEntries returns all entries sorted by host.
func (t *table) sortedEntries() []*entry {
	if t.byHostOrder == nil {
		t.byHostOrder = make([]*entry, 0, len(t.byHost))
		for _, e := range t.byHost {
			t.byHostOrder = append(t.byHostOrder, e)
		}
		slices.SortFunc(t.byHostOrder, func(a, b *entry) int { return cmp.Compare(a.Host, b.Host) })
	}
	return t.byHostOrder
}
