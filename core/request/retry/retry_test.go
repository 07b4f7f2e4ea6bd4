package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"carobspoke.example/core/verdict"
	"github.com/cockroachdb/datadriven"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

// TestDecide prints the decision about one failed attempt.
func TestDecide(t *testing.T) {
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, d *datadriven.TestData) string {
		var ran, reason string
		made, left, spent, after := 1, 10_000, 0, 0
		d.ScanArgs(t, "verdict", &ran)
		d.ScanArgs(t, "reason", &reason)
		d.MaybeScanArgs(t, "made", &made)
		d.MaybeScanArgs(t, "left-ms", &left)
		d.MaybeScanArgs(t, "spent", &spent)
		d.MaybeScanArgs(t, "retry-after-ms", &after)
		budget := NewBudget(0)
		for range spent {
			budget.TryTake()
		}
		failure := verdict.New(verdict.Parse(ran), verdict.Reason(reason), "")
		got := Default().Decide(Attempt{
			Count:      made,
			Started:    d.HasArg("begun"),
			Failure:    failure.WithRetryAfter(time.Duration(after) * time.Millisecond),
			Idempotent: d.HasArg("idempotent"),
			Deadline:   start.Add(time.Duration(left) * time.Millisecond),
		}, budget, start, seeded())
		if got.Failure != nil {
			return fmt.Sprintf("%s: %s %s\n", got.Outcome, got.Failure.Reason, got.Failure.Verdict)
		}
		return fmt.Sprintf("%s, waits at least %dms: %t\n", got.Outcome, after, got.Wait >= time.Duration(after)*time.Millisecond)
	})
}

func TestBackoffIsSpreadAndBounded(t *testing.T) {
	p, random := Default(), seeded()
	for attempt := 1; attempt < 70; attempt++ {
		bound := p.MaxBackoff
		if attempt < 8 {
			bound = min(bound, p.BaseBackoff<<(attempt-1))
		}
		low, high := p.MaxBackoff, time.Duration(0)
		for range 200 {
			w := p.backoff(attempt, random)
			low, high = min(low, w), max(high, w)
		}
		if high > bound || low > bound/10 || high < bound*9/10 {
			t.Fatalf("attempt %d: backoff from %s to %s, bound %s", attempt, low, high, bound)
		}
	}
}

// TestRetryStormEnds overloads a server for some steps. The server completes
// capacity attempts a step, or half as many when it is offered more than twice
// its capacity. After the overload, it must recover under retries that are
// limited by the budget; unlimited retries keep it overloaded permanently.
func TestRetryStormEnds(t *testing.T) {
	budgeted, peak := simulateStorm(true)
	naive, naivePeak := simulateStorm(false)
	t.Logf("failures in the last step: with budget %d (peak load %d), without %d (peak load %d)", budgeted, peak, naive, naivePeak)
	if budgeted != 0 {
		t.Fatalf("%d requests still fail in the last step", budgeted)
	}
	if naive == 0 {
		t.Fatal("the server recovered without a budget: the storm is too weak to test it")
	}
}

// simulateStorm returns the number of failures in the last step and the largest
// load of a step.
func simulateStorm(budgeted bool) (failed, peak int) {
	const capacity, normalLoad, overload, steps = 100, 80, 300, 400
	policy, budget, random := Default(), NewBudget(0), seeded()
	// waiting counts the requests of each step by the number of their attempt.
	waiting := make([]map[int]int, steps+2)
	for i := range waiting {
		waiting[i] = map[int]int{}
	}
	for step := range steps {
		newRequests := normalLoad
		if step >= 50 && step < 70 {
			newRequests = overload
		}
		waiting[step][1] += newRequests
		for range newRequests {
			budget.RecordFirstAttempt()
		}
		offered := 0
		for attempt := 1; attempt <= policy.MaxAttempts; attempt++ {
			offered += waiting[step][attempt]
		}
		peak = max(peak, offered)
		served := capacity
		if offered > 2*capacity {
			served = capacity / 2
		}
		failed = 0
		for i, attempt := range shuffled(waiting[step], policy.MaxAttempts, random) {
			if i < served {
				continue
			}
			failed++
			if shouldRetry(policy, budgeted, attempt, budget, random) {
				waiting[step+1][attempt+1]++
			}
		}
	}
	return failed, peak
}

// shuffled returns the attempt numbers of all requests of a step, in random
// order.
func shuffled(byAttempt map[int]int, maxAttempts int, random *rand.Rand) []int {
	var all []int
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		for range byAttempt[attempt] {
			all = append(all, attempt)
		}
	}
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func shouldRetry(p Policy, budgeted bool, attempt int, budget *Budget, random *rand.Rand) bool {
	if !budgeted {
		return attempt < p.MaxAttempts
	}
	failure := verdict.New(verdict.MayHaveRun, verdict.TargetFailed, "")
	a := Attempt{Count: attempt, Failure: failure, Idempotent: true, Deadline: start.Add(time.Minute)}
	return p.Decide(a, budget, start, random).Retry()
}

func TestBudgetEarnsUpToItsCapacity(t *testing.T) {
	budget := NewBudget(0)
	budget.SetCapacity(2)
	for i := range 2 {
		if !budget.TryTake() {
			t.Fatalf("retry %d: the full budget has no token", i)
		}
	}
	if budget.TryTake() {
		t.Fatal("the budget holds more than its capacity")
	}
	budget.Add(1)
	if !budget.TryTake() || budget.TryTake() {
		t.Fatal("the budget does not hold exactly the one retry earned")
	}
	budget.Add(100)
	for range 2 {
		budget.TryTake()
	}
	if budget.TryTake() {
		t.Fatal("more was earned than the capacity")
	}
}
