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
	x.Keep([]names.Target{"a", "b"})
	x.Boot("a", 1)
	return x
}

func added(seq, prefix uint64) target.CacheEvent {
	return target.CacheEvent{Seq: seq, Prefix: prefix, Scope: "c", Added: true}
}

func request(customer names.Customer) *facts.Request {
	return &facts.Request{Customer: customer, PromptTokens: 10 * FirstTokens, Prefixes: []uint64{11, 12, 13}}
}

func want(t *testing.T, x *Index, r *facts.Request, digests int) {
	t.Helper()
	tokens := 0
	if digests > 0 {
		tokens = Covers(digests - 1)
	}
	if got := x.Tokens("a", r); got != tokens {
		t.Fatalf("%d tokens, want %d", got, tokens)
	}
}

func TestTheLongestKnownPrefixCounts(t *testing.T) {
	x := newIndex()
	want(t, x, request("c"), 0)
	x.Event("a", added(1, 11))
	x.Event("a", added(2, 12))
	want(t, x, request("c"), 2)
	x.Event("a", target.CacheEvent{Seq: 3, Prefix: 12, Scope: "c"})
	want(t, x, request("c"), 1)
	x.Event("a", added(2, 12))
	want(t, x, request("c"), 1)
	if x.Tokens("b", request("c")) != 0 {
		t.Fatal("another target has it too")
	}
}

// An index that skipped over the gap would still send requests to a prefix that
// one of the lost events may have evicted.
func TestAGapOrARestartInvalidates(t *testing.T) {
	x := newIndex()
	x.Event("a", added(1, 13))
	if !x.Event("a", added(5, 11)) {
		t.Fatal("the gap was not seen")
	}
	want(t, x, request("c"), 1)
	x.Boot("a", 2)
	want(t, x, request("c"), 0)
	x.Event("a", added(1, 12))
	want(t, x, request("c"), 2)
}

func TestAnotherCustomerSeesNothing(t *testing.T) {
	x := newIndex()
	x.Event("a", added(1, 13))
	x.Prefilled("a", request("c"))
	want(t, x, request("c"), 3)
	want(t, x, request("rival"), 0)
}

func TestMemoryIsBounded(t *testing.T) {
	x := newIndex()
	for i := range uint64(3 * MaxEntries) {
		x.Event("a", added(i+1, 1000+i))
		x.Event("a", added(i+1, 1000+i))
		if i%2 == 0 {
			x.Prefilled("a", request("c"))
		}
	}
	c := x.targets["a"]
	if len(c.entries) > MaxEntries || len(c.ring) > MaxEntries {
		t.Fatalf("%d entries in %d places", len(c.entries), len(c.ring))
	}
	want(t, x, request("c"), 3)
	x.Keep(nil)
	if len(x.targets) != 0 {
		t.Fatal("a target that is not kept is not forgotten")
	}
}

func TestDigestsAreSharedByPrefixAndNotByScope(t *testing.T) {
	common := strings.Repeat("deed ", 2*FirstTokens)
	a, b := Digests("c", common+strings.Repeat("a", 1<<16)), Digests("c", common+strings.Repeat("b", 1<<16))
	if len(a) != 5 || len(b) != 5 {
		t.Fatalf("%d and %d digests", len(a), len(b))
	}
	for i := range a {
		if shared := Covers(i)*TokenBytes <= len(common); (a[i] == b[i]) != shared {
			t.Fatalf("digest %d: shared is %t", i, a[i] == b[i])
		}
	}
	if Digests("other", common)[0] == a[0] {
		t.Fatal("another scope has the same digest")
	}
}
