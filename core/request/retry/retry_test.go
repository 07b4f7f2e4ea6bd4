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

// TestDecide prints what becomes of one failed attempt.
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
			budget.Take()
		}
		failure := verdict.New(verdict.Parse(ran), verdict.Reason(reason), "")
		got := Default().Decide(Attempt{
			Made:       made,
			Begun:      d.HasArg("begun"),
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

func TestWaitsAreSpreadAndBounded(t *testing.T) {
	p, random := Default(), seeded()
	for made := 1; made < 70; made++ {
		bound := p.MaxWait
		if made < 8 {
			bound = min(bound, p.BaseWait<<(made-1))
		}
		low, high := p.MaxWait, time.Duration(0)
		for range 200 {
			w := p.wait(made, random)
			low, high = min(low, w), max(high, w)
		}
		if high > bound || low > bound/10 || high < bound*9/10 {
			t.Fatalf("attempt %d: waits from %s to %s, bound %s", made, low, high, bound)
		}
	}
}

// TestStormEnds overloads a server for a while. It does capacity attempts a
// step, and loses half of what it would have done when it is offered more
// than twice as much. When the trigger is gone, budgeted retries let it
// recover; naive retries keep it overloaded for good.
func TestStormEnds(t *testing.T) {
	budgeted, most := storm(true)
	naive, naiveMost := storm(false)
	t.Logf("failures a step long after the trigger: budgeted %d (peak load %d), naive %d (peak load %d)", budgeted, most, naive, naiveMost)
	if budgeted != 0 {
		t.Fatalf("%d requests a step still fail", budgeted)
	}
	if naive == 0 {
		t.Fatal("the naive policy recovered: the storm is too weak to prove anything")
	}
}

// storm returns the failures in the last step and the largest load of a step.
func storm(budgeted bool) (failed, most int) {
	const capacity, normal, crest, steps = 100, 80, 300, 400
	policy, budget, random := Default(), NewBudget(0), seeded()
	waiting := make([]map[int]int, steps+2)
	for i := range waiting {
		waiting[i] = map[int]int{}
	}
	for step := range steps {
		fresh := normal
		if step >= 50 && step < 70 {
			fresh = crest
		}
		waiting[step][1] += fresh
		for range fresh {
			budget.Fresh()
		}
		offered := 0
		for made := 1; made <= policy.MaxAttempts; made++ {
			offered += waiting[step][made]
		}
		most = max(most, offered)
		served := capacity
		if offered > 2*capacity {
			served = capacity / 2
		}
		failed = 0
		for i, made := range shuffled(waiting[step], policy.MaxAttempts, random) {
			if i < served {
				continue
			}
			failed++
			if retries(policy, budgeted, made, budget, random) {
				waiting[step+1][made+1]++
			}
		}
	}
	return failed, most
}

func shuffled(byMade map[int]int, attempts int, random *rand.Rand) []int {
	var all []int
	for made := 1; made <= attempts; made++ {
		for range byMade[made] {
			all = append(all, made)
		}
	}
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func retries(p Policy, budgeted bool, made int, budget *Budget, random *rand.Rand) bool {
	if !budgeted {
		return made < p.MaxAttempts
	}
	failure := verdict.New(verdict.MayHaveRun, verdict.TargetFailed, "")
	a := Attempt{Made: made, Failure: failure, Idempotent: true, Deadline: start.Add(time.Minute)}
	return p.Decide(a, budget, start, random).Retry()
}

func TestABudgetEarnsWithTimeUpToItsMost(t *testing.T) {
	budget := NewBudget(0)
	budget.SetMost(2)
	for i := range 2 {
		if !budget.Take() {
			t.Fatalf("retry %d was not saved up", i)
		}
	}
	if budget.Take() {
		t.Fatal("more was saved up than the most")
	}
	budget.Earn(1)
	if !budget.Take() || budget.Take() {
		t.Fatal("one retry was earned")
	}
	budget.Earn(100)
	for range 2 {
		budget.Take()
	}
	if budget.Take() {
		t.Fatal("more was earned than the most")
	}
}
