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

// newController keeps n engines with memory for 100,000 tokens each, which
// prefill 10,000 tokens a second.
func newController(n int) *Controller {
	specs := make([]load.Spec, n)
	for i := range specs {
		specs[i] = load.Spec{
			Name: names.Target("t" + strconv.Itoa(i)), Want: target.State{Model: "m"},
			MemoryBlocks: 1000, BlockTokens: 100, PrefillRate: 10_000, Rank: float64(i) / float64(n),
		}
	}
	table := load.New()
	table.Apply(specs)
	random := rand.New(rand.NewPCG(3, 4))
	return New(DefaultSettings(), table, choice.New(choice.DefaultSettings()), NoCache{}, random)
}

func arrival(id string, tokens, deadlineMs int) Arrival {
	return Arrival{Bytes: 4 * tokens, Request: facts.Request{
		ID: id, Customer: "c", Model: "m", PromptTokens: tokens, MaxTokens: 10, Deadline: at(deadlineMs),
	}}
}

func single(t *testing.T, actions []Action) Action {
	t.Helper()
	if len(actions) != 1 {
		t.Fatalf("actions: %+v", actions)
	}
	return actions[0]
}

func wantRefusal(t *testing.T, a Action, reason verdict.Reason) {
	t.Helper()
	if a.Kind != Refuse || a.Refusal.Reason != reason || a.Refusal.Verdict != verdict.NotRun {
		t.Fatalf("kind %d, refusal %v, want %s", a.Kind, a.Refusal, reason)
	}
}

func TestARequestThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	c := newController(1)
	wantRefusal(t, single(t, c.Arrive(at(0), arrival("hopeless", 8000, 500))), verdict.DeadlineTooShort)
	for i := range 3 {
		c.Arrive(at(0), arrival(strconv.Itoa(i), 8000, 60_000))
	}
	late := single(t, c.Arrive(at(0), arrival("late", 8000, 2000)))
	wantRefusal(t, late, verdict.Overloaded)
	if late.Refusal.RetryAfter < ShortestRetryAfter {
		t.Fatalf("retry after %s", late.Refusal.RetryAfter)
	}
}

func TestARequestOverOneEngineIsSpannedOrRefused(t *testing.T) {
	c := newController(2)
	if a := single(t, c.Arrive(at(0), arrival("span", 150_000, 600_000))); a.Kind != Span {
		t.Fatalf("kind %d", a.Kind)
	}
	wantRefusal(t, single(t, c.Arrive(at(0), arrival("over", 300_000, 600_000))), verdict.PromptTooLong)
}

func TestRequestsWaitInTheDaemonAndStartInFairOrder(t *testing.T) {
	c := newController(1)
	started := map[names.Customer]int{}
	count := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == Start {
				started[a.Request.Customer]++
			}
		}
	}
	for i := range 100 {
		a := arrival("large"+strconv.Itoa(i), 1000, 600_000)
		a.Request.Customer = "large"
		count(c.Arrive(at(0), a))
	}
	for i := range 5 {
		a := arrival("small"+strconv.Itoa(i), 1000, 600_000)
		a.Request.Customer = "small"
		count(c.Arrive(at(0), a))
	}
	before := started["large"]
	for ms := 20; ms <= 1000; ms += 20 {
		count(c.Tick(at(ms)))
	}
	if started["small"] != 5 || started["large"]-before > 6 {
		t.Fatalf("started %v, %d of the large customer's before", started, before)
	}
}

// Every arrival ends in exactly one action, and none that started is refused.
func TestEachArrivalIsAnsweredOnce(t *testing.T) {
	c := newController(3)
	random := rand.New(rand.NewPCG(5, 6))
	answers := map[string]int{}
	running := []facts.Request{}
	take := func(actions []Action) {
		for _, a := range actions {
			answers[a.ID]++
			if a.Kind == Start {
				running = append(running, a.Request)
			}
		}
	}
	const requests = 3000
	ms := 0
	for i := range requests {
		ms += random.IntN(40)
		tokens := 100 << random.IntN(10)
		take(c.Arrive(at(ms), arrival(strconv.Itoa(i), tokens, ms+500+random.IntN(20_000))))
		if len(running) > 0 && random.IntN(2) == 0 {
			take(c.Finished(at(ms), &running[0], load.Success, 10))
			running = running[1:]
		}
		take(c.Tick(at(ms)))
	}
	for end := ms + 60_000; ms < end; ms += 20 {
		take(c.Tick(at(ms)))
	}
	if c.Wait() || len(answers) != requests {
		t.Fatalf("%d answered of %d, %d wait", len(answers), requests, c.Waiting())
	}
	for id, n := range answers {
		if n != 1 {
			t.Fatalf("%s got %d actions", id, n)
		}
	}
}

func TestACancelledRequestLeavesNothing(t *testing.T) {
	c := newController(1)
	for i := range 10 {
		c.Arrive(at(0), arrival(strconv.Itoa(i), 4000, 600_000))
	}
	if c.Cancel("0") || !c.Cancel("9") || c.Cancel("9") {
		t.Fatal("cancel tells waiting from started wrongly")
	}
}

func BenchmarkArriveAndFinish(b *testing.B) {
	c := newController(32)
	i := 0
	for b.Loop() {
		i++
		now := at(i * 10)
		for _, a := range c.Arrive(now, arrival(strconv.Itoa(i), 1000, i*10+60_000)) {
			c.Finished(now, &a.Request, load.Success, 10)
		}
	}
}
