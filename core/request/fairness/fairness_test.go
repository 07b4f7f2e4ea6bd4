package fairness

import (
	"strconv"
	"testing"

	"carobspoke.example/core/names"
)

func push(t *testing.T, q *Queue, customer names.Customer, n, tokens int, share float64) {
	t.Helper()
	for i := range n {
		id := string(customer) + strconv.Itoa(i)
		if !q.Push(Item{ID: id, Customer: customer, Share: share, Tokens: tokens, Bytes: 1}) {
			t.Fatalf("no room for %s", id)
		}
	}
}

func served(q *Queue, tokens int) map[names.Customer]int {
	got := map[names.Customer]int{}
	for sum := 0; sum < tokens; {
		it, ok := q.Pop()
		if !ok {
			break
		}
		got[it.Customer] += it.Tokens
		sum += it.Tokens
	}
	return got
}

// A first-in first-out queue would serve the large customer alone here.
func TestALargeCustomerDoesNotDelayASmallOne(t *testing.T) {
	q := New(Room{Tokens: 1 << 30, Bytes: 1 << 30})
	push(t, q, "large", 1000, 100, 1)
	push(t, q, "small", 20, 100, 1)
	if got := served(q, 4000); got["small"] != 2000 {
		t.Fatalf("served %v", got)
	}
}

func TestSharesAndRequestSizesAreAccountedInTokens(t *testing.T) {
	q := New(Room{Tokens: 1 << 30, Bytes: 1 << 30})
	push(t, q, "few", 100, 3000, 1)
	push(t, q, "many", 1000, 300, 3)
	got := served(q, 200_000)
	if ratio := float64(got["many"]) / float64(got["few"]); ratio < 2.7 || ratio > 3.3 {
		t.Fatalf("served %v", got)
	}
}

func TestAnIdleShareIsUsedAndGivenBackAtOnce(t *testing.T) {
	q := New(Room{Tokens: 1 << 30, Bytes: 1 << 30})
	push(t, q, "large", 1000, 100, 1)
	served(q, 50_000)
	push(t, q, "back", 10, 100, 1)
	if got := served(q, 2000); got["back"] < 900 {
		t.Fatalf("served %v", got)
	}
}

// A customer that never has two requests waiting still pays for each.
func TestOneRequestAfterAnotherGainsNothing(t *testing.T) {
	q := New(Room{Tokens: 1 << 30, Bytes: 1 << 30})
	push(t, q, "steady", 1000, 100, 1)
	got := map[names.Customer]int{}
	for i := range 400 {
		if len(q.flows) < 2 {
			q.Push(Item{ID: "serial" + strconv.Itoa(i), Customer: "serial", Tokens: 900, Bytes: 1})
		}
		it, _ := q.Pop()
		got[it.Customer] += it.Tokens
	}
	if ratio := float64(got["serial"]) / float64(got["steady"]); ratio > 1.1 {
		t.Fatalf("served %v", got)
	}
}

func TestNoCustomerFillsTheRoom(t *testing.T) {
	q := New(Room{Tokens: 10_000, Bytes: 1000})
	for i := range 200 {
		q.Push(Item{ID: strconv.Itoa(i), Customer: "large", Tokens: 100, Bytes: 1})
	}
	if got := q.Used().Tokens; got != 5000 {
		t.Fatalf("one customer holds %d tokens", got)
	}
	if !q.Push(Item{ID: "x", Customer: "small", Tokens: 2000, Bytes: 1}) {
		t.Fatal("no room for another customer")
	}
	if q.Push(Item{ID: "y", Customer: "bytes", Tokens: 1, Bytes: 900}) {
		t.Fatal("bytes are not bounded")
	}
}
