// Package prefix keeps an index of what the prefix caches of targets are
// thought to hold, from events that come late and with gaps.
//
// The index is a hint. A wrong entry makes a prediction of time wrong, and
// never an answer: the engine decides itself what of its cache it uses. After a
// gap in the sequence numbers of a target's events, any of its entries may have
// been evicted, so that all of them are dropped; so are they when the engine
// restarts.
//
// Entries are scoped per customer: a digest that one customer's request left in
// a cache says nothing to another's, as the engine would not share it either.
//
// Memory is bounded to MaxEntries for each target; the oldest go first. An
// Index is not safe for concurrent use, does no I/O, and takes constant time
// for an event and, for a request, time linear in its digests for each target.
package prefix

import (
	"github.com/cespare/xxhash/v2"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
)

// Limits of an index.
const (
	// MaxEntries bounds the entries of one target.
	MaxEntries = 8192
	// FirstTokens is the number of prompt tokens that a request's first
	// digest covers. Each further digest covers twice as many as the one
	// before it, so that ten digests reach over 500,000 tokens.
	FirstTokens = 1024
	// MaxDigests bounds the digests of a request that are looked at.
	MaxDigests = 16
	// TokenBytes is the length of text that Digests takes for a token.
	TokenBytes = 4
)

// Covers returns how many tokens of the prompt the i-th digest of a request
// stands for.
func Covers(i int) int { return FirstTokens << i }

// Scope returns the scope of digests of a customer's prompts for a model and
// adapter.
func Scope(c names.Customer, m names.Model, a names.Adapter) string {
	return string(c) + "\x00" + string(m) + "\x00" + string(a)
}

// Digests returns the digests of a prompt's prefixes within a scope, shortest
// first, for facts.Request and target.Submit.
func Digests(scope, prompt string) []uint64 {
	h := xxhash.New()
	writeString(h, scope)
	writeString(h, "\x00")
	var digests []uint64
	done := 0
	for i := range MaxDigests {
		end := Covers(i) * TokenBytes
		if end > len(prompt) {
			break
		}
		writeString(h, prompt[done:end])
		done = end
		digests = append(digests, h.Sum64())
	}
	return digests
}

func writeString(h *xxhash.Digest, s string) {
	_, _ = h.WriteString(s) // it never fails
}

// Index says which targets may have cached which prefixes.
type Index struct {
	targets map[names.Target]*cache
	scope   func(names.Customer) string
}

// key identifies a digest within a scope.
type key uint64

// cache is the view of one target's cache.
type cache struct {
	boot    uint64
	seq     uint64 // of the newest event, zero before the first
	entries map[key]uint64
	ring    []entry // in the order of addition
	next    int
	stamp   uint64
}

// entry is a place in the ring. It is void once the key was added again or
// removed, which its stamp tells.
type entry struct {
	key   key
	stamp uint64
}

// New returns an empty index. Scope returns the name under which engines keep a
// customer's prefixes.
func New(scope func(names.Customer) string) *Index {
	return &Index{targets: make(map[names.Target]*cache), scope: scope}
}

// Keep sets the targets of the index and forgets all others.
func (x *Index) Keep(targets []names.Target) {
	kept := make(map[names.Target]*cache, len(targets))
	for _, t := range targets {
		c := x.targets[t]
		if c == nil {
			c = newCache()
		}
		kept[t] = c
	}
	x.targets = kept
}

// Boot notes the boot number in a target's report. A new one empties its view.
func (x *Index) Boot(t names.Target, boot uint64) {
	c := x.targets[t]
	if c == nil || c.boot == boot {
		return
	}
	c.clear()
	c.boot, c.seq = boot, 0
}

// Newest returns the sequence number after which to ask a target for events.
func (x *Index) Newest(t names.Target) uint64 {
	if c := x.targets[t]; c != nil {
		return c.seq
	}
	return 0
}

// Event takes in an event of a target. Events that were already seen are
// ignored. It reports whether there was a gap before it.
func (x *Index) Event(t names.Target, e target.CacheEvent) (gap bool) {
	c := x.targets[t]
	if c == nil || e.Seq <= c.seq {
		return false
	}
	gap = c.seq != 0 && e.Seq != c.seq+1
	if gap {
		c.clear()
	}
	c.seq = e.Seq
	k := keyOf(e.Scope, e.Prefix)
	if e.Added {
		c.add(k)
	} else {
		delete(c.entries, k)
	}
	return gap
}

// Prefilled notes that a target has prefilled a request, ahead of its events.
func (x *Index) Prefilled(t names.Target, r *facts.Request) {
	c := x.targets[t]
	if c == nil {
		return
	}
	scope := x.scope(r.Customer)
	for _, digest := range r.Prefixes[:min(len(r.Prefixes), MaxDigests)] {
		c.add(keyOf(scope, digest))
	}
}

// Tokens returns how much of a request's prompt a target may have cached, in
// tokens. It implements admission.Cache.
func (x *Index) Tokens(t names.Target, r *facts.Request) int {
	c := x.targets[t]
	if c == nil || len(c.entries) == 0 {
		return 0
	}
	scope := x.scope(r.Customer)
	for i := min(len(r.Prefixes), MaxDigests) - 1; i >= 0; i-- {
		if _, ok := c.entries[keyOf(scope, r.Prefixes[i])]; ok {
			return min(Covers(i), r.PromptTokens)
		}
	}
	return 0
}

func newCache() *cache { return &cache{entries: make(map[key]uint64)} }

func (c *cache) clear() {
	clear(c.entries)
	c.ring, c.next = c.ring[:0], 0
}

func (c *cache) add(k key) {
	c.stamp++
	e := entry{key: k, stamp: c.stamp}
	c.entries[k] = c.stamp
	if len(c.ring) < MaxEntries {
		c.ring = append(c.ring, e)
		return
	}
	old := c.ring[c.next]
	if c.entries[old.key] == old.stamp {
		delete(c.entries, old.key)
	}
	c.ring[c.next] = e
	c.next = (c.next + 1) % MaxEntries
}

// keyOf mixes a scope and a digest so that equal digests of two scopes differ.
func keyOf(scope string, digest uint64) key {
	const odd = 0x9e3779b97f4a7c15
	h := xxhash.Sum64String(scope)
	return key((digest ^ h) * odd)
}
