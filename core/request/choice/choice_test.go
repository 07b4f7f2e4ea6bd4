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
		Target: name, ReportFresh: true, Want: state, Rank: 0.9, DataCentre: "d1",
		Report: target.Report{
			State: state, PrefillRate: 10_000, TotalBlocks: 1000, FreeBlocks: 1000, BlockTokens: 100,
		},
	}
}

func request() facts.Request {
	return facts.Request{Model: "m", PromptTokens: 2000, MaxTokens: 100, DataCentre: "d1"}
}

func seededRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestEachFilterDropsUnsuitableTargets(t *testing.T) {
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
		"isolation":     {change: func(c *Candidate) { c.Isolation = true }, reason: verdict.NoTarget},
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
			d := New(DefaultSettings()).Choose(r, []Candidate{c}, now, seededRandom(), true)
			switch {
			case tc.reason == "" && d.Refusal != nil:
				t.Fatalf("refused: %v", d.Refusal)
			case tc.reason != "" && (d.Refusal == nil || d.Refusal.Reason != tc.reason || d.Refusal.Verdict != verdict.NotRun):
				t.Fatalf("refusal %v, want %s", d.Refusal, tc.reason)
			case len(d.Steps) == 0:
				t.Fatal("the decision has no steps")
			}
		})
	}
}

func TestReserveTakesShortPrefillsOnly(t *testing.T) {
	reserved, open := engine("reserved"), engine("open")
	reserved.Reserved = true
	open.Report.QueuedTokens = 500_000
	for tokens, want := range map[int]names.Target{2000: "reserved", 80_000: "open"} {
		r := request()
		r.PromptTokens = tokens
		if tokens > 20_000 {
			r.Class = target.Long
		}
		d := New(DefaultSettings()).Choose(r, []Candidate{reserved, open}, now, seededRandom(), false)
		if d.Target != want {
			t.Fatalf("a prompt of %d tokens went to %q", tokens, d.Target)
		}
	}
}

func TestReservedTargetTakesLongPrefillIfNoOtherIsLeft(t *testing.T) {
	reserved := engine("reserved")
	reserved.Reserved = true
	r := request()
	r.PromptTokens, r.Class = 80_000, target.Long
	d := New(DefaultSettings()).Choose(r, []Candidate{reserved}, now, seededRandom(), false)
	if d.Target != "reserved" {
		t.Fatalf("refused: %v", d.Refusal)
	}
}

func TestCachedPrefixIsPreferredOnlyIfItSavesTime(t *testing.T) {
	cached, idle := engine("cached"), engine("idle")
	cached.CachedTokens = 20_000
	r := request()
	r.PromptTokens = 21_000
	for queued, want := range map[int]names.Target{10_000: "cached", 30_000: "idle"} {
		cached.Report.QueuedTokens = queued
		d := New(Settings{}).Choose(r, []Candidate{cached, idle}, now, seededRandom(), false)
		if d.Target != want {
			t.Fatalf("with %d tokens queued the request went to %q", queued, d.Target)
		}
	}
}

// Guards against herding: daemons that select targets by the same stale report
// must not all select the same one. Eight daemons see reports of ten targets
// that are half a second old and know only their own dispatches. The test bounds
// the requests at the busiest target after 1 and after 50 requests per daemon.
func TestDaemonsDoNotHerdOnStaleReports(t *testing.T) {
	const targets, daemons = 10, 8
	cases := map[string]struct {
		picker      Picker
		offsets     bool
		first, most int
	}{
		"naive":              {picker: LowestPrediction{}, first: daemons, most: 1000},
		"two choices":        {picker: TwoChoices{}, first: daemons / 2, most: 60},
		"spread":             {picker: NearestOnRing{}, offsets: true, first: 2, most: 60},
		"spread, no offsets": {picker: NearestOnRing{}, first: daemons / 2, most: 60},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			policy := New(DefaultSettings())
			policy.Picker = tc.picker
			first, most := simulateDispatches(policy, targets, daemons, 1, tc.offsets), simulateDispatches(policy, targets, daemons, 50, tc.offsets)
			if name == "naive" && first < daemons {
				t.Fatalf("the busiest target got %d of 8 with the naive picker, want all", first)
			}
			if first > tc.first || most > tc.most {
				t.Fatalf("the busiest target got %d of 8 and %d of 400", first, most)
			}
		})
	}
}

// simulateDispatches lets each daemon place a number of requests on the same
// targets and returns the number of requests at the busiest target.
func simulateDispatches(policy *Policy, targets, daemons, each int, offsets bool) int {
	counts, largest := map[names.Target]int{}, 0
	for d := range daemons {
		random := rand.New(rand.NewPCG(7, uint64(d)))
		candidates := staleReports(targets)
		for i := range candidates {
			if offsets {
				distance := float64(i)/float64(targets) - float64(d)/float64(daemons) + 1
				candidates[i].RingOffset = distance - math.Floor(distance)
			}
		}
		for range each {
			pick := policy.Choose(request(), candidates, now, random, false).Target
			counts[pick]++
			largest = max(largest, counts[pick])
			i := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Target == pick })
			candidates[i].UnreportedTokens += request().PromptTokens
		}
	}
	return largest
}

// staleReports returns n candidates with nearly equal queues in reports that are
// half a second old.
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
	policy, random, r := New(DefaultSettings()), seededRandom(), request()
	for b.Loop() {
		policy.Choose(r, candidates, now, random, false)
	}
}
