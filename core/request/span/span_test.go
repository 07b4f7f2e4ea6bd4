package span

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const engineTokens = 400_000

func engines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		name := names.Target(fmt.Sprintf("e%02d", i))
		list[i] = Engine{Target: name, Address: string(name), Tokens: engineTokens, PrefillRate: 20_000}
	}
	return list
}

func longRequest() *facts.Request {
	return &facts.Request{Model: "m", PromptTokens: 900_000, MaxTokens: 1000, Deadline: epoch.Add(10 * time.Minute)}
}

func TestMakePlanDividesOrRefuses(t *testing.T) {
	plan, spares, refusal := MakePlan(longRequest(), engines(5), 4, epoch)
	if refusal != nil || len(plan.Parts) != 3 || len(spares) != 2 {
		t.Fatalf("plan %+v, %d spares, refusal %v", plan, len(spares), refusal)
	}
	sum := 0
	for _, p := range plan.Parts {
		sum += p.Tokens
		if p.Tokens > p.Engine.Tokens {
			t.Fatalf("part of %d tokens exceeds the memory of its engine", p.Tokens)
		}
	}
	if sum != 900_000 || plan.TimeToFirstToken != 45*time.Second {
		t.Fatalf("parts have %d tokens, first token after %s", sum, plan.TimeToFirstToken)
	}
	for reason, change := range map[verdict.Reason]func(*facts.Request){
		verdict.PromptTooLong:    func(r *facts.Request) { r.PromptTokens = 4 * engineTokens },
		verdict.DeadlineTooShort: func(r *facts.Request) { r.Deadline = epoch.Add(20 * time.Second) },
	} {
		r := longRequest()
		change(r)
		_, _, refusal := MakePlan(r, engines(5), 4, epoch)
		if refusal == nil || refusal.Reason != reason || refusal.Verdict != verdict.NotRun {
			t.Fatalf("refusal %v, want %s", refusal, reason)
		}
	}
}

func TestEligibleEnginesAreFilteredAndSorted(t *testing.T) {
	engine := func(name names.Target, change func(*choice.Candidate)) choice.Candidate {
		c := choice.Candidate{Target: name, Report: target.Report{
			State: target.State{Model: "m"}, TotalBlocks: 1000, FreeBlocks: 1000, BlockTokens: 100, PrefillRate: 1000,
		}}
		change(&c)
		return c
	}
	candidates := []choice.Candidate{
		engine("full", func(c *choice.Candidate) { c.Report.FreeBlocks = 10 }),
		engine("queue", func(c *choice.Candidate) { c.UnreportedTokens = 5000 }),
		engine("idle", func(*choice.Candidate) {}),
		engine("reserved", func(c *choice.Candidate) { c.Reserved = true }),
		engine("leaving", func(c *choice.Candidate) { c.LeavesAt = epoch.Add(time.Minute) }),
		engine("open", func(c *choice.Candidate) { c.BreakerOpen = true }),
		engine("loading", func(c *choice.Candidate) { c.Report.State.Loading = true }),
	}
	var got []names.Target
	for _, e := range EligibleEngines(longRequest(), candidates, func(t names.Target) string { return string(t) }) {
		got = append(got, e.Target)
	}
	if want := []names.Target{"idle", "queue", "full"}; !slices.Equal(got, want) {
		t.Fatalf("engines %v, want %v", got, want)
	}
}

// fleet is a set of fake engines shared by several concurrent runs. Pending
// events are delivered one at a time.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	held     map[names.Target]map[target.HandleID]bool
	dead     map[names.Target]bool
	pending  []pendingEvent
	runs     []*Run
	outcomes map[int]*verdict.Error
	// unordered makes runs reserve engines in the order of their parts
	// instead of the order of engine names.
	unordered bool
	// prefills counts the prefills of each part, by run and part.
	prefills map[[2]int]int
}

type pendingEvent struct {
	run    int
	event  Event
	engine names.Target
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		now:      epoch,
		random:   rand.New(rand.NewPCG(seed, 1)),
		held:     map[names.Target]map[target.HandleID]bool{},
		dead:     map[names.Target]bool{},
		outcomes: map[int]*verdict.Error{},
		prefills: map[[2]int]int{},
	}
}

func (f *fleet) start(list []Engine) {
	plan, spares, refusal := MakePlan(longRequest(), list, 4, f.now)
	if refusal != nil {
		panic(refusal)
	}
	id := len(f.runs)
	name := func(part, generation int) target.HandleID {
		return target.HandleID(fmt.Sprintf("%d/%d/%d", id, part, generation))
	}
	run, actions := Start(plan, spares, name, epoch.Add(time.Minute), f.now)
	f.runs = append(f.runs, run)
	if f.unordered {
		actions = startInPartOrder(run, f.now)
	}
	f.perform(id, actions)
}

// startInPartOrder restarts a run so that it reserves engines in the order of its
// parts, with a reservation timeout that exceeds the request's deadline.
func startInPartOrder(r *Run, now time.Time) []Action {
	for i := range r.parts {
		r.order[i] = i
		r.parts[i].state = waiting
	}
	r.reserveBy = now.Add(time.Hour)
	return r.advance(now)
}

// perform executes a run's actions. An engine has memory for one part.
func (f *fleet) perform(run int, actions []Action) {
	for _, a := range actions {
		event := Event{Part: a.Part, Generation: a.Generation}
		held := f.held[a.Target]
		switch a.Kind {
		case Reserve:
			event.Kind = Reserved
			if len(held) > 0 {
				event.Kind = Busy
			} else if !f.dead[a.Target] {
				f.held[a.Target] = map[target.HandleID]bool{a.Handle: true}
			}
		case SubmitPart:
			event.Kind = PartDone
			f.prefills[[2]int{run, a.Part}]++
			f.checkParts(a)
		case SubmitFinal:
			event.Kind = Answered
			f.checkParts(a)
		case Free:
			delete(held, a.Handle)
			continue
		case End:
			f.outcomes[run] = a.Refusal
			continue
		}
		if f.dead[a.Target] {
			event.Kind = Failed
		}
		f.pending = append(f.pending, pendingEvent{run: run, event: event, engine: a.Target})
	}
}

func (f *fleet) checkParts(a Action) {
	if len(a.Parts) != a.Part {
		panic(fmt.Sprintf("part %d reads %d earlier parts", a.Part, len(a.Parts)))
	}
	for _, p := range a.Parts {
		if engine := names.Target(p.Address); !f.dead[engine] && !f.held[engine][p.Handle] {
			panic("submitted part reads a handle that is not held: " + string(p.Handle))
		}
	}
}

// kill stops an engine and reports its failure to the runs that use it.
func (f *fleet) kill(engine names.Target) {
	f.dead[engine] = true
	f.held[engine] = nil
	for id, r := range f.runs {
		for i := range r.parts {
			if p := &r.parts[i]; p.engine.Target == engine {
				event := Event{Kind: Failed, Part: i, Generation: p.generation}
				f.pending = append(f.pending, pendingEvent{run: id, event: event})
			}
		}
	}
}

func (f *fleet) step(run int, e Event) { f.perform(run, f.runs[run].Step(f.now, e)) }

// runToEnd delivers events and ticks in random order until all runs have ended,
// then checks that no engine holds a handle.
func (f *fleet) runToEnd(t *testing.T) {
	t.Helper()
	for limit := 0; len(f.outcomes) < len(f.runs); limit++ {
		if limit > 100_000 {
			t.Fatalf("%d of %d runs ended", len(f.outcomes), len(f.runs))
		}
		f.now = f.now.Add(5 * time.Millisecond)
		if len(f.pending) > 0 && f.random.IntN(3) > 0 {
			i := f.random.IntN(len(f.pending))
			d := f.pending[i]
			f.pending = slices.Delete(f.pending, i, i+1)
			f.step(d.run, d.event)
			continue
		}
		f.step(f.random.IntN(len(f.runs)), Event{Kind: Tick})
	}
	for _, d := range f.pending {
		f.step(d.run, d.event)
	}
	for engine, held := range f.held {
		if len(held) > 0 {
			t.Fatalf("engine %s still holds handles %v", engine, held)
		}
	}
}

func (f *fleet) completed() int {
	n := 0
	for _, refusal := range f.outcomes {
		if refusal == nil {
			n++
		}
	}
	return n
}

// TestConcurrentSpansDoNotDeadlock guards against deadlock between spans that
// each need three of four engines. Spans that reserve engines in the order of
// their parts hold engines that the others wait for until the deadlines pass.
func TestConcurrentSpansDoNotDeadlock(t *testing.T) {
	deadlocks := 0
	for seed := range uint64(100) {
		if got := threeSpans(t, seed, false); got != 3 {
			t.Fatalf("seed %d: %d of 3 spans completed", seed, got)
		}
		if threeSpans(t, seed, true) < 3 {
			deadlocks++
		}
	}
	if deadlocks < 25 {
		t.Fatalf("unordered reservations deadlocked in only %d of 100 runs, want at least 25", deadlocks)
	}
}

// threeSpans runs three spans on four engines and returns how many completed.
func threeSpans(t *testing.T, seed uint64, unordered bool) int {
	t.Helper()
	f := newFleet(seed)
	f.unordered = unordered
	for range 3 {
		list := engines(4)
		f.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		f.start(list[:3])
	}
	f.runToEnd(t)
	return f.completed()
}

func TestLostEngineRepeatsOnlyItsPart(t *testing.T) {
	completed := 0
	const seeds = 300
	for seed := range uint64(seeds) {
		f := newFleet(seed)
		f.start(engines(6))
		for range f.random.IntN(12) {
			f.deliverOne()
		}
		f.kill(names.Target(fmt.Sprintf("e%02d", f.random.IntN(3))))
		f.runToEnd(t)
		completed += f.completed()
		repeated := 0
		for _, n := range f.prefills {
			repeated += n - 1
		}
		if repeated > 2 {
			t.Fatalf("seed %d: %d parts were prefilled again, want at most 2", seed, repeated)
		}
	}
	if completed != seeds {
		t.Fatalf("%d of %d runs completed", completed, seeds)
	}
}

// deliverOne delivers the oldest pending event, if there is one.
func (f *fleet) deliverOne() {
	if len(f.pending) == 0 {
		return
	}
	d := f.pending[0]
	f.pending = f.pending[1:]
	f.step(d.run, d.event)
}

func TestCancelFreesAllHandles(t *testing.T) {
	for events := range 14 {
		f := newFleet(uint64(events))
		f.start(engines(4))
		for range events {
			f.deliverOne()
		}
		f.step(0, Event{Kind: Cancelled})
		f.runToEnd(t)
	}
}

func TestBusyEnginesEndInNotRunRefusal(t *testing.T) {
	f := newFleet(1)
	f.held["e01"] = map[target.HandleID]bool{"other": true}
	f.start(engines(3))
	for len(f.outcomes) == 0 {
		f.now = f.now.Add(TickInterval)
		f.deliverOne()
		f.step(0, Event{Kind: Tick})
	}
	refusal := f.outcomes[0]
	if refusal == nil || refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.SpanUnavailable || refusal.RetryAfter == 0 {
		t.Fatalf("refusal %v, want NotRun with reason span_unavailable and a retry delay", refusal)
	}
	if len(f.held["e00"]) > 0 || f.now.Sub(epoch) > 2*ReserveTimeout {
		t.Fatalf("handles held: %v; run ended after %s", f.held, f.now.Sub(epoch))
	}
}
