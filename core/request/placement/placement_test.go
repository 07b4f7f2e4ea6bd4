package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
)

// engine returns the configuration of the users' engines.
func engine() *routing.Engine {
	return &routing.Engine{
		Slots: 16, MemoryTokens: 450_000, StepsPerPass: 46,
		StepTime: 925 * time.Microsecond, StepTimePerSequence: 5 * time.Microsecond, StepTimePerThousandTokens: 2540 * time.Nanosecond,
		PrefillRate: 256_000, PrefillTimePerMillionPairs: 91_700 * time.Nanosecond, ChunkTokens: 2048,
		MeanPromptTokens: 13_000, MeanAnswerTokens: 1500, ParallelPrefill: true,
	}
}

func service() *routing.Service { return &routing.Service{Name: "engines", Engine: engine()} }

func placer() *Placer { return New(Default(), rand.New(rand.NewPCG(1, 1))) }

func idle(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{Target: names.Target(rune('a' + i)), Slots: 16, Order: float64(i) / float64(n)}
	}
	return list
}

func short() *Request {
	return &Request{
		PromptTokens: 5000, AnswerTokens: 1600, LatencyTarget: 300 * time.Millisecond, GapTarget: 200 * time.Millisecond,
		TimeLeft: 10 * time.Second,
	}
}

func long(tokens int) *Request {
	return &Request{
		PromptTokens: tokens, AnswerTokens: 800, LatencyTarget: 3 * time.Second, GapTarget: 800 * time.Millisecond,
		TimeLeft: 15 * time.Second,
	}
}

func TestShortPromptsArePackedOntoTheFirstEngine(t *testing.T) {
	list := idle(4)
	list[0].Load = inflight.Load{Requests: 8, Answers: 8}
	if d := placer().Place(short(), service(), list); d.Target != "a" || len(d.Helpers) != 0 {
		t.Fatalf("placed at %s with %d helpers", d.Target, len(d.Helpers))
	}
	list[0].Load = inflight.Load{Requests: 16, Answers: 16, Backlog: 200 * time.Millisecond}
	if d := placer().Place(short(), service(), list); d.Target != "b" {
		t.Fatalf("placed at %s although the first engine has no free slot", d.Target)
	}
}

func TestLongPromptIsSplitOverEnginesWithoutShortAnswers(t *testing.T) {
	list := idle(14)
	for i := range 4 {
		list[i].Load = inflight.Load{Requests: 12, Answers: 12, SizeByGapClass: [3]int{12 * 20_000}}
	}
	d := placer().Place(long(210_000), service(), list)
	if len(d.Helpers) < 3 {
		t.Fatalf("%d helpers for a prompt with a prefill of 2.8 s", len(d.Helpers))
	}
	if d.FirstEvent > 3*time.Second {
		t.Fatalf("predicted first event %s", d.FirstEvent)
	}
	for _, part := range d.Parts {
		if part.Target < "e" {
			t.Fatalf("a part with a prefill of %s is placed at %s, which generates short answers", part.Prefill, part.Target)
		}
	}
}

func TestLatePromptUsesFewEngines(t *testing.T) {
	list := idle(8)
	for i := range list {
		list[i].Load.Backlog = 4 * time.Second
	}
	d := placer().Place(long(300_000), service(), list)
	if d.Refusal != nil || len(d.Parts) > 3 {
		t.Fatalf("refusal %v, %d engines", d.Refusal, len(d.Parts))
	}
}

func TestPromptLargerThanOneMemoryIsSplit(t *testing.T) {
	d := placer().Place(long(900_000), service(), idle(14))
	if d.Refusal != nil {
		t.Fatal(d.Refusal)
	}
	total := 0
	for i, part := range d.Parts {
		total += part.Tokens
		if part.Tokens > engine().MemoryTokens {
			t.Fatalf("part %d takes %d tokens", i, part.Tokens)
		}
		if i > 0 && d.Helpers[i-1].ReservedTokens != part.Tokens {
			t.Fatalf("helper %d reserves %d tokens, its part takes %d", i, d.Helpers[i-1].ReservedTokens, part.Tokens)
		}
	}
	if total != 900_800 {
		t.Fatalf("parts of %d tokens in total, want 900800", total)
	}
}

func TestRequestsThatCannotMeetTheirDeadlineAreRefused(t *testing.T) {
	list := idle(3)
	for i := range list {
		list[i].Load.Backlog = 12 * time.Second
	}
	r := short()
	r.TimeLeft = 2 * time.Second
	d := placer().Place(r, service(), list)
	if d.Refusal == nil || d.Refusal.Verdict != verdict.NotRun || d.Refusal.RetryAfter <= 0 {
		t.Fatalf("refusal %v", d.Refusal)
	}
	if d := placer().Place(r, service(), nil); d.Refusal == nil || d.Refusal.Reason != verdict.NoTarget {
		t.Fatalf("refusal %v without targets", d.Refusal)
	}
}

func TestRetryDelaysAfterOverloadAreSpread(t *testing.T) {
	p := placer()
	least, most := time.Hour, time.Duration(0)
	for range 200 {
		wait := p.overloaded().RetryAfter
		least, most = min(least, wait), max(most, wait)
	}
	s := Default()
	if least < s.OverloadRetryMin || most > s.OverloadRetryMax || most-least < (s.OverloadRetryMax-s.OverloadRetryMin)*9/10 {
		t.Fatalf("retry delays from %s to %s", least, most)
	}
}

func TestUnhealthyAndExcludedTargets(t *testing.T) {
	list := idle(3)
	list[0].BreakerOpen = true
	r := short()
	r.Exclude = []names.Target{"b"}
	if d := placer().Place(r, service(), list); d.Target != "c" {
		t.Fatalf("placed at %s", d.Target)
	}
	r.Exclude = []names.Target{"b", "c"}
	if d := placer().Place(r, service(), list); d.Target != "a" {
		t.Fatalf("placed at %s, want the unhealthy target when no other is left", d.Target)
	}
	r.Exclude = []names.Target{"a", "b", "c"}
	if d := placer().Place(r, service(), list); d.Refusal == nil {
		t.Fatalf("placed at %s, which already failed the request", d.Target)
	}
}

func TestCallsGoToTheLeastLoadedTarget(t *testing.T) {
	list := idle(3)
	list[0].Load.Requests, list[1].Load.Requests, list[2].Load.Requests = 3, 1, 2
	plain := &routing.Service{Name: "plain"}
	if d := placer().Place(&Request{TimeLeft: time.Second}, plain, list); d.Target != "b" {
		t.Fatalf("placed at %s", d.Target)
	}
}

func TestShortPromptsAvoidUnresponsiveTargets(t *testing.T) {
	list := idle(3)
	list[0].Unresponsive = true
	if d := placer().Place(short(), service(), list); d.Target != "b" {
		t.Fatalf("placed at %s", d.Target)
	}
}

func TestStoppingDaemonRefusesAnswersItCannotFinish(t *testing.T) {
	r := short()
	r.TimeToShutdown = 6 * time.Second
	if d := placer().Place(r, service(), idle(3)); d.Refusal != nil {
		t.Fatal(d.Refusal)
	}
	r.TimeToShutdown = 500 * time.Millisecond
	d := placer().Place(r, service(), idle(3))
	if d.Refusal == nil || d.Refusal.Reason != verdict.DaemonDraining || d.Refusal.Verdict != verdict.NotRun {
		t.Fatalf("refusal %v", d.Refusal)
	}
}

// TestStartedAnswersArePlacedUntilTheirDeadline covers a daemon that stops while
// a target prefills a long prompt: a stream that gets no events from that target
// during the prefill must continue at another one.
func TestStartedAnswersArePlacedUntilTheirDeadline(t *testing.T) {
	r := short()
	r.TimeToShutdown, r.AnswerStarted = 500*time.Millisecond, true
	if d := placer().Place(r, service(), idle(3)); d.Refusal != nil || d.Target == "" {
		t.Fatalf("refusal %v", d.Refusal)
	}
	first := placer().Place(r, service(), idle(3)).FirstEvent
	r.TimeToShutdown, r.TimeLeft = 0, first+time.Millisecond
	if d := placer().Place(r, service(), idle(3)); d.Refusal != nil {
		t.Fatalf("refusal %v", d.Refusal)
	}
	r.TimeLeft = first - time.Millisecond
	if d := placer().Place(r, service(), idle(3)); d.Refusal == nil || d.Refusal.Reason != verdict.Overloaded {
		t.Fatalf("a request that misses its deadline was placed: %v", d.Refusal)
	}
}

// TestFirstEventPredictionMatchesMeasurement compares the prediction with the
// quartiles of short prompts on the users' bench, in passes of an engine that
// generates 12 to 15 answers.
func TestFirstEventPredictionMatchesMeasurement(t *testing.T) {
	const lowerQuartile, upperQuartile = 1.54, 2.55
	r, e := short(), service().Engine
	busy := idle(1)
	busy[0].Load.Answers = 14
	first := placer().Place(r, service(), busy).FirstEvent - PrefillTime(e, r.PromptTokens)
	if passes := float64(first) / float64(PassTime(e, 15, r.PromptTokens)); passes < lowerQuartile || passes > upperQuartile {
		t.Fatalf("predicted %.2f passes", passes)
	}
}

func TestUrgentCallersGetHigherPriority(t *testing.T) {
	priority := func(rank int) int {
		r := short()
		r.Rank = rank
		return placer().Place(r, service(), idle(2)).Priority
	}
	if priority(0) >= priority(1) || priority(1) >= priority(2) || priority(2) != priority(7) {
		t.Fatalf("priorities %d %d %d %d", priority(0), priority(1), priority(2), priority(7))
	}
	if adjustPriority(0, 0) != 0 || adjustPriority(lowestPriority, 5) != lowestPriority {
		t.Fatal("an adjusted priority is out of range")
	}
}

// The configuration does not publish how much memory the engines have. Guards against a
// division by zero, and against refusing all prompts for lack of memory.
func TestEnginesOfUnknownMemoryTakePrompts(t *testing.T) {
	s := service()
	s.Engine.MemoryTokens = 0
	for _, r := range []*Request{short(), long(300_000)} {
		if d := placer().Place(r, s, idle(12)); d.Refusal != nil || d.Target == "" {
			t.Fatalf("prompt of %d tokens: %v", r.PromptTokens, d.Refusal)
		}
	}
}

// A customer over its share is refused first, but only once the slots run out. Guards against refusals
// for fairness while there is room.
func TestCustomerOverItsShareIsRefusedFirst(t *testing.T) {
	load := inflight.Load{Requests: 15, Answers: 15, ReadAt: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	p := placer()
	place := func(customer names.Customer, load inflight.Load) *verdict.Error {
		list := idle(4)
		for i := range list {
			list[i].Load = load
		}
		r := short()
		r.Customer = customer
		return p.Place(r, service(), list).Refusal
	}
	_ = place("small", load)
	for range 20 {
		_ = place("large", inflight.Load{Requests: 7, Answers: 7, ReadAt: load.ReadAt})
	}
	if err := place("large", inflight.Load{Requests: 7, Answers: 7, ReadAt: load.ReadAt}); err != nil {
		t.Errorf("refused with free slots: %v", err)
	}
	if err := place("large", load); err == nil {
		t.Error("the customer over its share is not refused")
	}
	if err := place("small", load); err != nil {
		t.Errorf("the customer within its share is refused: %v", err)
	}
}

// Guards against a request that may have run and is then refused to make room: its caller would
// get no answer, and could not tell whether it ran.
func TestRetriesAreNotRefusedForRoom(t *testing.T) {
	// All slots are taken, so that the prompt would be late, and late prompts wait at other engines.
	load := inflight.Load{Requests: 18, Answers: 18, ReadAt: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	place := func(retried bool) Decision {
		list := idle(16)
		for i := range list {
			list[i].Load = load
			if i < 3 {
				list[i].Load.Deferred = 1
			}
		}
		r := short()
		r.Retried = retried
		return placer().Place(r, service(), list)
	}
	if d := place(false); d.Refusal == nil {
		t.Error("a new prompt is placed")
	}
	if d := place(true); d.Refusal != nil {
		t.Errorf("a retry is refused: %v", d.Refusal)
	}
}
