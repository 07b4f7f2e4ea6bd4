package admission

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// newController returns a controller with n engines that each have memory for
// 100,000 tokens and prefill 10,000 tokens a second.
func newController(n int) *Controller {
	specs := make([]load.Spec, n)
	for i := range specs {
		specs[i] = load.Spec{
			Name: names.Target("t" + strconv.Itoa(i)), Want: target.State{Model: "m"},
			MemoryBlocks: 1000, BlockTokens: 100, PrefillRate: 10_000, Position: load.PositionOf(i, n, 0, 1),
		}
	}
	table := load.New()
	table.SetTargets(specs)
	random := rand.New(rand.NewPCG(3, 4))
	return New(DefaultSettings(), table, choice.New(choice.DefaultSettings()), NoCache{}, random)
}

func arrival(id string, tokens, deadlineMs int) Arrival {
	return Arrival{Bytes: 4 * tokens, Request: facts.Request{
		ID: id, Customer: "c", Model: "m", PromptTokens: tokens, MaxTokens: 10, Deadline: at(deadlineMs),
	}}
}

func wantRefusal(t *testing.T, a Action, reason verdict.Reason) {
	t.Helper()
	if a.Kind != Refuse || a.Refusal.Reason != reason || a.Refusal.Verdict != verdict.NotRun {
		t.Fatalf("kind %d, refusal %v, want %s", a.Kind, a.Refusal, reason)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsRefused(t *testing.T) {
	c := newController(1)
	wantRefusal(t, c.Admit(at(0), arrival("hopeless", 8000, 500)), verdict.DeadlineTooShort)
	for i := range 3 {
		c.Admit(at(0), arrival(strconv.Itoa(i), 8000, 60_000))
	}
	late := c.Admit(at(0), arrival("late", 8000, 2000))
	wantRefusal(t, late, verdict.Overloaded)
	if late.Refusal.RetryAfter < MinRetryAfter {
		t.Fatalf("retry after %s, want at least 1s", late.Refusal.RetryAfter)
	}
}

func TestRequestLargerThanOneEngineIsSpannedOrRefused(t *testing.T) {
	c := newController(2)
	if a := c.Admit(at(0), arrival("span", 150_000, 600_000)); a.Kind != Span {
		t.Fatalf("kind %d, want Span", a.Kind)
	}
	wantRefusal(t, c.Admit(at(0), arrival("over", 300_000, 600_000)), verdict.PromptTooLong)
}

// The fleet is offered three times its capacity, ten elevenths of it by one
// customer. Without per-customer limits, two thirds of the requests of either
// customer would be refused.
func TestCustomerWithinItsShareIsRarelyRefused(t *testing.T) {
	c := newController(4)
	admitted, offered := map[names.Customer]int{}, map[names.Customer]int{}
	for i := range 7200 {
		ms := i * 25 / 3
		a := arrival(strconv.Itoa(i), 1000, ms+600_000)
		a.Bytes = 0
		a.Request.Customer = "large"
		if i%11 == 0 {
			a.Request.Customer = "small"
		}
		offered[a.Request.Customer]++
		if c.Admit(at(ms), a).Kind == Start {
			admitted[a.Request.Customer]++
		}
	}
	if n := offered["small"]; admitted["small"] < n*95/100 {
		t.Fatalf("%d of %d requests of the small customer were admitted, want 95%%", admitted["small"], n)
	}
	if all := admitted["small"] + admitted["large"]; all < 2300 || all > 2500 {
		t.Fatalf("%d requests were admitted, want 2300 to 2500 at a capacity of 2400", all)
	}
}

func TestInFlightBytesAreBoundedPerCustomer(t *testing.T) {
	c := newController(2)
	c.settings.MaxInFlightBytes = 1000
	c.settings.MaxQueueTime = time.Hour
	admit := func(id string, customer names.Customer) Kind {
		a := arrival(id, 10, 600_000)
		a.Request.Customer, a.Bytes = customer, 100
		return c.Admit(at(0), a).Kind
	}
	for i := range 20 {
		admit(strconv.Itoa(i), "large")
	}
	if requests, bytes := c.InFlight(); requests != 5 || bytes != 500 {
		t.Fatalf("one customer has %d bytes in %d requests in flight, want 500 in 5", bytes, requests)
	}
	if admit("x", "small") != Start {
		t.Fatal("the request of a second customer was refused")
	}
	c.Finished(at(1), "0", load.Success, 1)
	c.Finished(at(1), "0", load.Success, 1)
	if _, bytes := c.InFlight(); bytes != 500 {
		t.Fatalf("%d bytes are in flight, want 500", bytes)
	}
}

func BenchmarkArriveAndFinish(b *testing.B) {
	c := newController(32)
	i := 0
	for b.Loop() {
		i++
		now := at(i * 10)
		a := arrival(strconv.Itoa(i), 1000, i*10+60_000)
		c.Admit(now, a)
		c.Finished(now, a.Request.ID, load.Success, 10)
	}
}

// Callers refused at the same moment must return one after the other: together they would be refused
// again. Explain must not count.
func TestRefusedCallersReturnOneAfterTheOther(t *testing.T) {
	c := newController(1)
	for i := range 3 {
		c.Admit(at(0), arrival(strconv.Itoa(i), 8000, 60_000))
	}
	first := c.Admit(at(0), arrival("first", 8000, 2000)).Refusal
	for range 100 {
		c.Explain(at(0), arrival("explained", 8000, 2000))
	}
	for i := range 20 {
		c.Admit(at(0), arrival("r"+strconv.Itoa(i), 8000, 2000))
	}
	last := c.Admit(at(0), arrival("last", 8000, 2000)).Refusal
	// 20 prompts of 0.8 s each come between them; the jitter of the first is at most a half.
	if least := first.RetryAfter*2/3 + 16*time.Second; last.RetryAfter < least || last.RetryAfter > MaxRetryAfter*3/2 {
		t.Fatalf("retry after %s, the first after %s, want at least %s", last.RetryAfter, first.RetryAfter, least)
	}
}
