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

const memory = 400_000

func engines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		name := names.Target(fmt.Sprintf("e%02d", i))
		list[i] = Engine{Target: name, Address: string(name), Tokens: memory, PrefillRate: 20_000}
	}
	return list
}

func longRequest() *facts.Request {
	return &facts.Request{Model: "m", PromptTokens: 900_000, MaxTokens: 1000, Deadline: epoch.Add(10 * time.Minute)}
}

func TestMakeDividesOrRefusesAtOnce(t *testing.T) {
	plan, spares, refusal := Make(longRequest(), engines(5), 4, epoch)
	if refusal != nil || len(plan.Parts) != 3 || len(spares) != 2 {
		t.Fatalf("plan %+v, %d spares, refusal %v", plan, len(spares), refusal)
	}
	sum := 0
	for _, p := range plan.Parts {
		sum += p.Tokens
		if p.Tokens > p.Engine.Tokens {
			t.Fatalf("a part of %d tokens is over its engine", p.Tokens)
		}
	}
	if sum != 900_000 || plan.FirstToken != 45*time.Second {
		t.Fatalf("%d tokens in %s", sum, plan.FirstToken)
	}
	for reason, change := range map[verdict.Reason]func(*facts.Request){
		verdict.PromptTooLong:    func(r *facts.Request) { r.PromptTokens = 4 * memory },
		verdict.DeadlineTooShort: func(r *facts.Request) { r.Deadline = epoch.Add(20 * time.Second) },
	} {
		r := longRequest()
		change(r)
		_, _, refusal := Make(r, engines(5), 4, epoch)
		if refusal == nil || refusal.Reason != reason || refusal.Verdict != verdict.NotRun {
			t.Fatalf("refusal %v, want %s", refusal, reason)
		}
	}
}

func TestEnginesAreThoseThatMayHoldAPart(t *testing.T) {
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
	for _, e := range Engines(longRequest(), candidates, func(t names.Target) string { return string(t) }) {
		got = append(got, e.Target)
	}
	if want := []names.Target{"idle", "queue", "full"}; !slices.Equal(got, want) {
		t.Fatalf("engines %v, want %v", got, want)
	}
}

// fleet is a set of fake engines that several runs use at the same time. Each
// step handles one pending event, drawn at random.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	held    map[names.Target]map[target.HandleID]bool
	dead    map[names.Target]bool
	pending []delivery
	runs    []*Run
	ends    map[int]*verdict.Error
	// naive makes runs take engines in their own orders.
	naive bool
	// parts counts how often each part of a run was prefilled.
	parts map[[2]int]int
}

type delivery struct {
	run    int
	event  Event
	engine names.Target
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		now:    epoch,
		random: rand.New(rand.NewPCG(seed, 1)),
		held:   map[names.Target]map[target.HandleID]bool{},
		dead:   map[names.Target]bool{},
		ends:   map[int]*verdict.Error{},
		parts:  map[[2]int]int{},
	}
}

func (f *fleet) start(list []Engine) {
	plan, spares, refusal := Make(longRequest(), list, 4, f.now)
	if refusal != nil {
		panic(refusal)
	}
	id := len(f.runs)
	name := func(part, generation int) target.HandleID {
		return target.HandleID(fmt.Sprintf("%d/%d/%d", id, part, generation))
	}
	run, actions := Start(plan, spares, name, epoch.Add(time.Minute), f.now)
	f.runs = append(f.runs, run)
	if f.naive {
		actions = inOwnOrder(run, f.now)
	}
	f.act(id, actions)
}

// inOwnOrder makes a run ask for its engines in the order of its parts and wait
// without end.
func inOwnOrder(r *Run, now time.Time) []Action {
	for i := range r.parts {
		r.order[i] = i
		r.parts[i].state = waiting
	}
	r.reserveBy = now.Add(time.Hour)
	return r.advance(now)
}

// act carries out a run's actions. An engine has the memory for one part.
func (f *fleet) act(run int, actions []Action) {
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
			f.parts[[2]int{run, a.Part}]++
			f.checkParts(a)
		case SubmitFinal:
			event.Kind = Answered
			f.checkParts(a)
		case Free:
			delete(held, a.Handle)
			continue
		case End:
			f.ends[run] = a.Refusal
			continue
		}
		if f.dead[a.Target] {
			event.Kind = Failed
		}
		f.pending = append(f.pending, delivery{run: run, event: event, engine: a.Target})
	}
}

func (f *fleet) checkParts(a Action) {
	if len(a.Parts) != a.Part {
		panic(fmt.Sprintf("part %d reads %d others", a.Part, len(a.Parts)))
	}
	for _, p := range a.Parts {
		if engine := names.Target(p.Address); !f.dead[engine] && !f.held[engine][p.Handle] {
			panic("reads a part that is not held: " + string(p.Handle))
		}
	}
}

// kill ends an engine; its holders learn of it.
func (f *fleet) kill(engine names.Target) {
	f.dead[engine] = true
	f.held[engine] = nil
	for id, r := range f.runs {
		for i := range r.parts {
			if p := &r.parts[i]; p.engine.Target == engine {
				event := Event{Kind: Failed, Part: i, Generation: p.generation}
				f.pending = append(f.pending, delivery{run: id, event: event})
			}
		}
	}
}

func (f *fleet) step(run int, e Event) { f.act(run, f.runs[run].Step(f.now, e)) }

// settle delivers events in random order until all runs have ended.
func (f *fleet) settle(t *testing.T) {
	t.Helper()
	for limit := 0; len(f.ends) < len(f.runs); limit++ {
		if limit > 100_000 {
			t.Fatalf("%d of %d runs ended", len(f.ends), len(f.runs))
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
			t.Fatalf("%s still holds %v", engine, held)
		}
	}
}

func (f *fleet) completed() int {
	n := 0
	for _, refusal := range f.ends {
		if refusal == nil {
			n++
		}
	}
	return n
}

// Each span needs three of four engines. Naive spans take them in their own
// orders and wait: each holds what another wants, until their deadlines.
func TestSpansDoNotWaitForEachOther(t *testing.T) {
	stuck := 0
	for seed := range uint64(100) {
		if got := threeSpans(t, seed, false); got != 3 {
			t.Fatalf("seed %d: %d of 3 spans completed", seed, got)
		}
		if threeSpans(t, seed, true) < 3 {
			stuck++
		}
	}
	if stuck < 25 {
		t.Fatalf("the naive version got stuck in %d of 100 runs only", stuck)
	}
}

func threeSpans(t *testing.T, seed uint64, naive bool) int {
	t.Helper()
	f := newFleet(seed)
	f.naive = naive
	for range 3 {
		list := engines(4)
		f.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		f.start(list[:3])
	}
	f.settle(t)
	return f.completed()
}

func TestALostEngineCostsOnlyItsPart(t *testing.T) {
	completed := 0
	const seeds = 300
	for seed := range uint64(seeds) {
		f := newFleet(seed)
		f.start(engines(6))
		for range f.random.IntN(12) {
			f.deliverOne()
		}
		f.kill(names.Target(fmt.Sprintf("e%02d", f.random.IntN(3))))
		f.settle(t)
		completed += f.completed()
		again := 0
		for _, n := range f.parts {
			again += n - 1
		}
		if again > 2 {
			t.Fatalf("seed %d: %d parts were prefilled again", seed, again)
		}
	}
	if completed != seeds {
		t.Fatalf("%d of %d completed", completed, seeds)
	}
}

func (f *fleet) deliverOne() {
	if len(f.pending) == 0 {
		return
	}
	d := f.pending[0]
	f.pending = f.pending[1:]
	f.step(d.run, d.event)
}

func TestNothingIsHeldAfterACancel(t *testing.T) {
	for events := range 14 {
		f := newFleet(uint64(events))
		f.start(engines(4))
		for range events {
			f.deliverOne()
		}
		f.step(0, Event{Kind: Cancelled})
		f.settle(t)
	}
}

func TestBusyEnginesEndInAProvenRefusal(t *testing.T) {
	f := newFleet(1)
	f.held["e01"] = map[target.HandleID]bool{"other": true}
	f.start(engines(3))
	for len(f.ends) == 0 {
		f.now = f.now.Add(TickInterval)
		f.deliverOne()
		f.step(0, Event{Kind: Tick})
	}
	refusal := f.ends[0]
	if refusal == nil || refusal.Verdict != verdict.NotRun || refusal.Reason != verdict.SpanUnavailable || refusal.RetryAfter == 0 {
		t.Fatalf("refusal %v", refusal)
	}
	if len(f.held["e00"]) > 0 || f.now.Sub(epoch) > 2*ReserveTimeout {
		t.Fatalf("held %v after %s", f.held, f.now.Sub(epoch))
	}
}
