// Package prefix maintains an approximate index of the contents of the targets'
// prefix caches, built from events that may be delayed or lost.
//
// The index is a hint. A wrong entry affects only the predicted latency, never an
// answer: the engine itself decides which cached prefix it uses. A gap in the
// sequence numbers of a target's events may hide the eviction of any entry, so
// that all entries of the target are dropped. They are also dropped when the
// engine restarts.
//
// Entries are scoped by customer: a digest cached for one customer's request does
// not match another customer's, since engines do not share caches between
// customers.
//
// Each target has at most MaxEntries entries; the oldest are evicted first. An
// Index is not safe for concurrent use and does no I/O. An event takes constant
// time, and a request takes time linear in the number of its digests for each
// target.
package prefix

import (
	"github.com/cespare/xxhash/v2"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
)

// Limits of an index.
const (
	// MaxEntries is the maximum number of entries per target.
	MaxEntries = 8192
	// FirstTokens is the number of prompt tokens that a request's first
	// digest covers. Each further digest covers twice as many as its
	// predecessor, so that ten digests cover over 500,000 tokens.
	FirstTokens = 1024
	// MaxDigests is the maximum number of digests used per request.
	MaxDigests = 16
	// BytesPerToken is the text length, in bytes, that Digests assumes for a
	// token.
	BytesPerToken = 4
)

// TokensCovered returns the number of prompt tokens that the i-th digest of a
// request covers. The first digest has index 0.
func TokensCovered(i int) int { return FirstTokens << i }

// Scope returns the digest scope of a customer's prompts for a model and adapter.
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
		end := TokensCovered(i) * BytesPerToken
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
	_, _ = h.WriteString(s) // never returns an error
}

// Index records which prefixes the targets have probably cached.
type Index struct {
	targets map[names.Target]*targetCache
	scope   func(names.Customer) string
}

// key identifies a digest within a scope.
type key uint64

// targetCache is the presumed content of one target's prefix cache.
type targetCache struct {
	boot      uint64
	lastSeq   uint64         // sequence number of the newest event, zero before the first
	entries   map[key]uint64 // maps a key to the stamp of its latest addition
	ring      []ringEntry    // in order of addition, from next on once the ring is full
	next      int            // index of the oldest entry once the ring is full
	lastStamp uint64
}

// ringEntry is one addition of a key. It is obsolete if the key was added again or
// removed since: the key's stamp in entries then differs or is missing.
type ringEntry struct {
	key   key
	stamp uint64
}

// New returns an empty index. scope returns the scope under which engines cache a
// customer's prefixes.
func New(scope func(names.Customer) string) *Index {
	return &Index{targets: make(map[names.Target]*targetCache), scope: scope}
}

// SetTargets sets the indexed targets and drops the entries of all others.
func (x *Index) SetTargets(targets []names.Target) {
	kept := make(map[names.Target]*targetCache, len(targets))
	for _, t := range targets {
		c := x.targets[t]
		if c == nil {
			c = newTargetCache()
		}
		kept[t] = c
	}
	x.targets = kept
}

// SetBoot records the boot number reported by a target. A changed boot number drops
// the target's entries.
func (x *Index) SetBoot(t names.Target, boot uint64) {
	c := x.targets[t]
	if c == nil || c.boot == boot {
		return
	}
	c.clear()
	c.boot, c.lastSeq = boot, 0
}

// LastSeq returns the sequence number of the newest event of a target. Requests for
// further events start after it.
func (x *Index) LastSeq(t names.Target) uint64 {
	if c := x.targets[t]; c != nil {
		return c.lastSeq
	}
	return 0
}

// ApplyEvent applies an event of a target, and reports whether events before it
// were lost. Events that were already applied are ignored.
func (x *Index) ApplyEvent(t names.Target, e target.CacheEvent) (gap bool) {
	c := x.targets[t]
	if c == nil || e.Seq <= c.lastSeq {
		return false
	}
	gap = c.lastSeq != 0 && e.Seq != c.lastSeq+1
	if gap {
		c.clear()
	}
	c.lastSeq = e.Seq
	k := keyOf(e.Scope, e.Prefix)
	if e.Added {
		c.add(k)
	} else {
		delete(c.entries, k)
	}
	return gap
}

// RecordPrefill records the prefixes of a request that a target has prefilled,
// before the target's events report them.
func (x *Index) RecordPrefill(t names.Target, r *facts.Request) {
	c := x.targets[t]
	if c == nil {
		return
	}
	scope := x.scope(r.Customer)
	for _, digest := range r.Prefixes[:min(len(r.Prefixes), MaxDigests)] {
		c.add(keyOf(scope, digest))
	}
}

// Tokens returns the number of prompt tokens of a request that a target has
// probably cached. It implements admission.Cache.
func (x *Index) Tokens(t names.Target, r *facts.Request) int {
	c := x.targets[t]
	if c == nil || len(c.entries) == 0 {
		return 0
	}
	scope := x.scope(r.Customer)
	for i := min(len(r.Prefixes), MaxDigests) - 1; i >= 0; i-- {
		if _, ok := c.entries[keyOf(scope, r.Prefixes[i])]; ok {
			return min(TokensCovered(i), r.PromptTokens)
		}
	}
	return 0
}

func newTargetCache() *targetCache { return &targetCache{entries: make(map[key]uint64)} }

func (c *targetCache) clear() {
	clear(c.entries)
	c.ring, c.next = c.ring[:0], 0
}

// add adds a key. If the ring is full it evicts the oldest addition.
func (c *targetCache) add(k key) {
	c.lastStamp++
	e := ringEntry{key: k, stamp: c.lastStamp}
	c.entries[k] = c.lastStamp
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

// keyOf hashes a scope and a digest, so that equal digests in different scopes have
// different keys.
func keyOf(scope string, digest uint64) key {
	const multiplier = 0x9e3779b97f4a7c15 // odd, so that the multiplication is invertible
	h := xxhash.Sum64String(scope)
	return key((digest ^ h) * multiplier)
}
