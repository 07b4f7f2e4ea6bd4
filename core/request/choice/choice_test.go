package choice

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func engine(name names.Target) Candidate {
	state := target.State{Model: "m", Version: "1", Adapters: []names.Adapter{"loaded"}}
	return Candidate{
		Target: name, Known: true, Want: state, Rank: 0.9, DataCentre: "d1",
		Report: target.Report{
			State: state, PrefillRate: 10_000, TotalBlocks: 1000, FreeBlocks: 1000, BlockTokens: 100,
		},
	}
}

func request() facts.Request {
	return facts.Request{Model: "m", PromptTokens: 2000, MaxTokens: 100, DataCentre: "d1"}
}

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestEachFilterDropsWhatMustNotServe(t *testing.T) {
	cases := map[string]struct {
		change  func(*Candidate)
		request func(*facts.Request)
		reason  verdict.Reason
	}{
		"loading":       {change: func(c *Candidate) { c.Report.State.Loading = true }, reason: verdict.NoTarget},
		"other model":   {change: func(c *Candidate) { c.Report.State.Model = "x" }, reason: verdict.NoTarget},
		"no adapter":    {request: func(r *facts.Request) { r.Adapter = "x" }, reason: verdict.NoTarget},
		"prefill only":  {change: func(c *Candidate) { c.Report.State.Role = target.Prefill }, reason: verdict.NoTarget},
		"leaving":       {change: func(c *Candidate) { c.Leaving = true }, reason: verdict.TargetLeaving},
		"leaves early":  {change: func(c *Candidate) { c.LeavesAt = now.Add(3 * time.Second) }, reason: verdict.TargetLeaving},
		"breaker":       {change: func(c *Candidate) { c.BreakerOpen = true }, reason: verdict.Overloaded},
		"too long":      {request: func(r *facts.Request) { r.PromptTokens = 100_000 }, reason: verdict.PromptTooLong},
		"suspect":       {request: func(r *facts.Request) { r.Isolate = true }, reason: verdict.CrashSuspect},
		"set apart":     {change: func(c *Candidate) { c.Isolation = true }, reason: verdict.NoTarget},
		"nothing wrong": {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c, r := engine("a"), request()
			if tc.change != nil {
				tc.change(&c)
			}
			if tc.request != nil {
				tc.request(&r)
			}
			d := New(DefaultSettings()).Choose(r, []Candidate{c}, now, seeded(), true)
			switch {
			case tc.reason == "" && d.Refusal != nil:
				t.Fatalf("refused: %v", d.Refusal)
			case tc.reason != "" && (d.Refusal == nil || d.Refusal.Reason != tc.reason || d.Refusal.Verdict != verdict.NotRun):
				t.Fatalf("refusal = %v, want %s", d.Refusal, tc.reason)
			case len(d.Steps) == 0:
				t.Fatal("nothing explained")
			}
		})
	}
}

func TestALongPrefillStaysOffTheReserveAndAShortOneMayUseIt(t *testing.T) {
	reserved, open := engine("reserved"), engine("open")
	reserved.Reserved = true
	open.Report.QueuedTokens = 500_000
	for tokens, want := range map[int]names.Target{2000: "reserved", 80_000: "open"} {
		r := request()
		r.PromptTokens = tokens
		if tokens > 20_000 {
			r.Class = target.Long
		}
		d := New(DefaultSettings()).Choose(r, []Candidate{reserved, open}, now, seeded(), false)
		if d.Target != want {
			t.Fatalf("%d tokens went to %q", tokens, d.Target)
		}
	}
}

func TestTheLastTargetTakesEverything(t *testing.T) {
	reserved := engine("reserved")
	reserved.Reserved = true
	r := request()
	r.PromptTokens, r.Class = 80_000, target.Long
	d := New(DefaultSettings()).Choose(r, []Candidate{reserved}, now, seeded(), false)
	if d.Target != "reserved" {
		t.Fatalf("refused: %v", d.Refusal)
	}
}

func TestAffinityIsWorthTheTimeItSaves(t *testing.T) {
	cached, idle := engine("cached"), engine("idle")
	cached.CachedTokens = 20_000
	r := request()
	r.PromptTokens = 21_000
	for queued, want := range map[int]names.Target{10_000: "cached", 30_000: "idle"} {
		cached.Report.QueuedTokens = queued
		d := New(Settings{}).Choose(r, []Candidate{cached, idle}, now, seeded(), false)
		if d.Target != want {
			t.Fatalf("with %d tokens ahead went to %q", queued, d.Target)
		}
	}
}

// Eight daemons look at one report that is half a second old, send one request
// each and then 50 each, knowing only of their own. How many does the busiest of
// ten targets get?
func TestDaemonsDoNotHerdOnOneReport(t *testing.T) {
	const targets, daemons = 10, 8
	cases := map[string]struct {
		picker      Picker
		offsets     bool
		first, most int
	}{
		"naive":                 {picker: Best{}, first: daemons, most: 1000},
		"two choices":           {picker: TwoChoices{}, first: daemons / 2, most: 60},
		"spread":                {picker: Spread{}, offsets: true, first: 2, most: 60},
		"spread, place unknown": {picker: Spread{}, first: daemons / 2, most: 60},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			policy := New(DefaultSettings())
			policy.Picker = tc.picker
			first, most := herd(policy, targets, daemons, 1, tc.offsets), herd(policy, targets, daemons, 50, tc.offsets)
			if name == "naive" && first < daemons {
				t.Fatalf("the naive picker does not herd: %d", first)
			}
			if first > tc.first || most > tc.most {
				t.Fatalf("the busiest target got %d of 8, and %d of 400", first, most)
			}
		})
	}
}

func herd(policy *Policy, targets, daemons, each int, offsets bool) int {
	counts, largest := map[names.Target]int{}, 0
	for d := range daemons {
		random := rand.New(rand.NewPCG(7, uint64(d)))
		candidates := staleReports(targets)
		for i := range candidates {
			if offsets {
				at := float64(i)/float64(targets) - float64(d)/float64(daemons) + 1
				candidates[i].Offset = at - math.Floor(at)
			}
		}
		for range each {
			pick := policy.Choose(request(), candidates, now, random, false).Target
			counts[pick]++
			largest = max(largest, counts[pick])
			i := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Target == pick })
			candidates[i].OwnTokens += request().PromptTokens
		}
	}
	return largest
}

func staleReports(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = engine(names.Target(strconv.Itoa(i)))
		candidates[i].ReportAge = 500 * time.Millisecond
		candidates[i].Report.QueuedTokens = 5000 + 10*i
	}
	return candidates
}

func BenchmarkChoose32(b *testing.B) {
	candidates := staleReports(32)
	policy, random, r := New(DefaultSettings()), seeded(), request()
	for b.Loop() {
		policy.Choose(r, candidates, now, random, false)
	}
}
