package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"carobspoke.example/core/names"
)

// absent is the place in the ring of an entry that is not counted.
const absent = -1

// entry is a member with what the detector keeps beside it.
type entry struct {
	Member
	// place is the entry's index in the ring.
	place int
	// deadline is when a suspicion becomes a death.
	deadline time.Time
	// asked is true once a suspect was pinged at the end of its time.
	asked bool
	// diedAt is when the member died or left.
	diedAt time.Time
	// hash is the entry's part of the table's digest, if it is counted.
	hash uint64
}

// table holds all known members but the daemon itself.
type table struct {
	byHost map[names.Host]*entry
	// ring holds the counted members, in the order of probing.
	ring []*entry
	// sorted holds all entries by host; nil when out of date.
	sorted []*entry
	// live is the cached answer of Live; nil when out of date.
	live []Member
	// digest covers the counted members.
	digest uint64
}

func newTable() *table { return &table{byHost: make(map[names.Host]*entry)} }

// hash returns a member's part of a table's digest.
func hash(m *Member) uint64 {
	h := xxhash.Sum64String(string(m.Host))
	h ^= uint64(m.Incarnation) * 0x9e3779b97f4a7c15
	h += uint64(m.Refutation)
	if m.Draining {
		h = ^h
	}
	if !m.Counted() {
		h += uint64(m.State) << 32
	}
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>29
}

// put sets an entry's member and keeps ring, digest and caches in step. at
// returns a place in a ring of n entries.
func (t *table) put(e *entry, m Member, at func(n int) int) {
	if _, ok := t.byHost[m.Host]; !ok {
		t.byHost[m.Host] = e
		t.sorted = nil
	}
	if e.place != absent {
		t.digest ^= e.hash
	}
	e.Member = m
	t.live = nil
	e.hash = hash(&m)
	if !m.Counted() {
		t.unring(e)
		return
	}
	if e.place == absent {
		t.enring(e, at(len(t.ring)+1))
	}
	t.digest ^= e.hash
}

func (t *table) enring(e *entry, place int) {
	e.place = len(t.ring)
	t.ring = append(t.ring, e)
	t.swap(e.place, place)
}

func (t *table) unring(e *entry) {
	if e.place == absent {
		return
	}
	last := len(t.ring) - 1
	t.swap(e.place, last)
	t.ring[last] = nil
	t.ring = t.ring[:last]
	e.place = absent
}

func (t *table) swap(i, j int) {
	t.ring[i], t.ring[j] = t.ring[j], t.ring[i]
	t.ring[i].place = i
	t.ring[j].place = j
}

// drop forgets an entry that is not counted.
func (t *table) drop(e *entry) {
	delete(t.byHost, e.Host)
	t.sorted = nil
}

// all returns the entries sorted by host.
func (t *table) all() []*entry {
	if t.sorted == nil {
		t.sorted = make([]*entry, 0, len(t.byHost))
		for _, e := range t.byHost {
			t.sorted = append(t.sorted, e)
		}
		slices.SortFunc(t.sorted, func(a, b *entry) int { return cmp.Compare(a.Host, b.Host) })
	}
	return t.sorted
}
