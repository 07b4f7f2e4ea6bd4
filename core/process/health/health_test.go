package health

import (
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/names"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestAGreyTargetIsSpared fails four in ten requests of a target, which a
// breaker that counts failures in a row would never open for.
func TestAGreyTargetIsSpared(t *testing.T) {
	table := New()
	outcomes := []bool{false, true, true, false, true, false, true, true, false, true}
	spared := false
	for i := range 40 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		if outcomes[i%len(outcomes)] {
			table.Succeeded("grey", now)
		} else {
			spared = table.Failed("grey", now) || spared
		}
	}
	if !spared {
		t.Fatal("the target was never spared")
	}
}

func TestASparedTargetIsLetBackIn(t *testing.T) {
	table := New()
	if !table.Unreachable("a", at(0)) || !table.Spared("a", at(0)) {
		t.Fatal("an unreachable target is not spared")
	}
	if table.Unreachable("a", at(0)) {
		t.Fatal("it was told twice")
	}
	if !table.Spared("a", at(time.Second)) {
		t.Fatal("let back after a second")
	}
	if table.Spared("a", at(10*time.Second)) {
		t.Fatal("still spared after ten seconds without a failure")
	}
}

func TestOneFailureSparesNobody(t *testing.T) {
	table := New()
	if table.Failed("a", at(0)) || table.Spared("a", at(0)) {
		t.Fatal("one failure spared the target")
	}
	if table.Score("b", at(0)) != 0 {
		t.Fatal("a target without faults has a score")
	}
}

func TestForgetKeepsListedTargets(t *testing.T) {
	table := New()
	table.Failed("listed", at(0))
	table.Failed("gone", at(0))
	table.Forget(func(id names.Target) bool { return id == "listed" })
	if table.Score("listed", at(0)) == 0 || table.Score("gone", at(0)) != 0 {
		t.Fatalf("scores: listed %f, gone %f", table.Score("listed", at(0)), table.Score("gone", at(0)))
	}
}

func TestATargetThatOwesAnswersAndSaysNothingIsSilent(t *testing.T) {
	table := New()
	if table.Silent("a", at(0)) {
		t.Fatal("silent though nothing was sent")
	}
	table.Sent("a", at(0))
	table.Sent("a", at(600*time.Millisecond))
	if table.Silent("a", at(SilentAfter)) || !table.Silent("a", at(SilentAfter+time.Millisecond)) {
		t.Fatal("silence is counted from the first answer owed")
	}
	table.Heard("a", at(time.Second))
	if table.Silent("a", at(time.Second+SilentAfter)) {
		t.Fatal("silent though it was heard")
	}
	table.Ended("a")
	table.Ended("a")
	if table.Silent("a", at(time.Minute)) {
		t.Fatal("silent though it owes nothing")
	}
}

func TestTargetsAreToldOnceWhenSparedAndWhenLetBack(t *testing.T) {
	table := New()
	if !table.Unreachable("a", at(0)) || table.Unreachable("a", at(0)) {
		t.Fatal("the begin is not told once")
	}
	if got := table.SparedCount(at(0)); got != 1 {
		t.Fatalf("%d targets spared", got)
	}
	if back := table.LetBack(at(0)); len(back) != 0 {
		t.Fatalf("let back at once: %v", back)
	}
	later := 5 * HalfLife
	if back := table.LetBack(at(later)); !slices.Equal(back, []names.Target{"a"}) {
		t.Fatalf("let back: %v", back)
	}
	if back := table.LetBack(at(later)); len(back) != 0 || table.SparedCount(at(later)) != 0 {
		t.Fatalf("told again: %v", back)
	}
	if !table.Unreachable("a", at(later)) {
		t.Fatal("the second time is not told")
	}
}
