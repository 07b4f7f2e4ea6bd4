package prefix

import (
	"strings"
	"testing"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
)

func newIndex() *Index {
	x := New(func(c names.Customer) string { return string(c) })
	x.SetTargets([]names.Target{"a", "b"})
	x.SetBoot("a", 1)
	return x
}

func added(seq, prefix uint64) target.CacheEvent {
	return target.CacheEvent{Seq: seq, Prefix: prefix, Scope: "c", Added: true}
}

func request(customer names.Customer) *facts.Request {
	return &facts.Request{Customer: customer, PromptTokens: 10 * FirstTokens, Prefixes: []uint64{11, 12, 13}}
}

func wantDigests(t *testing.T, x *Index, r *facts.Request, digests int) {
	t.Helper()
	tokens := 0
	if digests > 0 {
		tokens = TokensCovered(digests - 1)
	}
	if got := x.Tokens("a", r); got != tokens {
		t.Fatalf("%d cached tokens, want %d", got, tokens)
	}
}

func TestTokensReturnsLongestCachedPrefix(t *testing.T) {
	x := newIndex()
	wantDigests(t, x, request("c"), 0)
	x.ApplyEvent("a", added(1, 11))
	x.ApplyEvent("a", added(2, 12))
	wantDigests(t, x, request("c"), 2)
	x.ApplyEvent("a", target.CacheEvent{Seq: 3, Prefix: 12, Scope: "c"})
	wantDigests(t, x, request("c"), 1)
	x.ApplyEvent("a", added(2, 12))
	wantDigests(t, x, request("c"), 1)
	if x.Tokens("b", request("c")) != 0 {
		t.Fatal("event of target a changed the index of target b")
	}
}

// TestGapOrRestartDropsEntries guards against routing requests by a prefix whose
// eviction was reported by a lost event.
func TestGapOrRestartDropsEntries(t *testing.T) {
	x := newIndex()
	x.ApplyEvent("a", added(1, 13))
	if !x.ApplyEvent("a", added(5, 11)) {
		t.Fatal("gap was not detected")
	}
	wantDigests(t, x, request("c"), 1)
	x.SetBoot("a", 2)
	wantDigests(t, x, request("c"), 0)
	x.ApplyEvent("a", added(1, 12))
	wantDigests(t, x, request("c"), 2)
}

func TestEntriesAreScopedByCustomer(t *testing.T) {
	x := newIndex()
	x.ApplyEvent("a", added(1, 13))
	x.RecordPrefill("a", request("c"))
	wantDigests(t, x, request("c"), 3)
	wantDigests(t, x, request("rival"), 0)
}

func TestMemoryIsBounded(t *testing.T) {
	x := newIndex()
	for i := range uint64(3 * MaxEntries) {
		x.ApplyEvent("a", added(i+1, 1000+i))
		x.ApplyEvent("a", added(i+1, 1000+i))
		if i%2 == 0 {
			x.RecordPrefill("a", request("c"))
		}
	}
	c := x.targets["a"]
	if len(c.entries) > MaxEntries || len(c.ring) > MaxEntries {
		t.Fatalf("%d entries in a ring of %d", len(c.entries), len(c.ring))
	}
	wantDigests(t, x, request("c"), 3)
	x.SetTargets(nil)
	if len(x.targets) != 0 {
		t.Fatal("target not passed to SetTargets is still indexed")
	}
}

func TestDigestsDependOnPrefixAndScope(t *testing.T) {
	common := strings.Repeat("deed ", 2*FirstTokens)
	a, b := Digests("c", common+strings.Repeat("a", 1<<16)), Digests("c", common+strings.Repeat("b", 1<<16))
	if len(a) != 5 || len(b) != 5 {
		t.Fatalf("%d and %d digests, want 5 each", len(a), len(b))
	}
	for i := range a {
		if shared := TokensCovered(i)*BytesPerToken <= len(common); (a[i] == b[i]) != shared {
			t.Fatalf("digest %d: equal is %t", i, a[i] == b[i])
		}
	}
	if Digests("other", common)[0] == a[0] {
		t.Fatal("equal digests in different scopes")
	}
}
