package health

import (
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/names"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestPartiallyFailingTargetIsExcluded fails four in ten requests of a target. A
// circuit breaker that counts consecutive failures would never open for it.
func TestPartiallyFailingTargetIsExcluded(t *testing.T) {
	table := New()
	outcomes := []bool{false, true, true, false, true, false, true, true, false, true}
	excluded := false
	for i := range 40 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		if outcomes[i%len(outcomes)] {
			table.Succeeded("grey", now)
		} else {
			excluded = table.Failed("grey", now) || excluded
		}
	}
	if !excluded {
		t.Fatal("target was never excluded")
	}
}

func TestExcludedTargetIsReadmitted(t *testing.T) {
	table := New()
	if !table.Unreachable("a", at(0)) || !table.Excluded("a", at(0)) {
		t.Fatal("unreachable target is not excluded")
	}
	if table.Unreachable("a", at(0)) {
		t.Fatal("exclusion was reported twice")
	}
	if !table.Excluded("a", at(time.Second)) {
		t.Fatal("target was readmitted after one second")
	}
	if table.Excluded("a", at(10*time.Second)) {
		t.Fatal("target is still excluded after ten seconds without a failure")
	}
}

func TestSingleFailureDoesNotExclude(t *testing.T) {
	table := New()
	if table.Failed("a", at(0)) || table.Excluded("a", at(0)) {
		t.Fatal("single failure excluded the target")
	}
	if table.Score("b", at(0)) != 0 {
		t.Fatal("target without failures has a score above zero")
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

func TestTargetWithPendingAnswersAndNoActivityIsUnresponsive(t *testing.T) {
	table := New()
	unresponsive := func(pending int, now time.Time) bool {
		return table.Unresponsive("a", pending, UnresponsiveTimeout, now)
	}
	if unresponsive(1, at(0)) {
		t.Fatal("unresponsive though no request was sent")
	}
	table.RequestSent("a", 0, at(0))
	table.RequestSent("a", 1, at(600*time.Millisecond))
	if unresponsive(2, at(UnresponsiveTimeout)) || !unresponsive(2, at(UnresponsiveTimeout+time.Millisecond)) {
		t.Fatal("time without activity is not counted from the first pending request")
	}
	table.RecordActivity("a", at(time.Second))
	table.RecordActivity("a", at(900*time.Millisecond)) // reported late by another daemon
	if unresponsive(2, at(time.Second+UnresponsiveTimeout)) {
		t.Fatal("unresponsive though the target sent something")
	}
	if unresponsive(0, at(time.Minute)) {
		t.Fatal("unresponsive though no answer is pending")
	}
	table.RequestSent("a", 0, at(time.Minute))
	if unresponsive(1, at(time.Minute+UnresponsiveTimeout)) {
		t.Fatal("unresponsive at once after a time without requests")
	}
}

func TestExclusionAndReadmissionAreReportedOnce(t *testing.T) {
	table := New()
	if !table.Unreachable("a", at(0)) || table.Unreachable("a", at(0)) {
		t.Fatal("exclusion is not reported exactly once")
	}
	if got := table.ExcludedTargets(at(0)); !slices.Equal(got, []names.Target{"a"}) {
		t.Fatalf("targets %v excluded, want [a]", got)
	}
	if readmitted := table.Readmitted(at(0)); len(readmitted) != 0 {
		t.Fatalf("readmitted immediately: %v", readmitted)
	}
	later := 5 * HalfLife
	if readmitted := table.Readmitted(at(later)); !slices.Equal(readmitted, []names.Target{"a"}) {
		t.Fatalf("readmitted %v, want [a]", readmitted)
	}
	if readmitted := table.Readmitted(at(later)); len(readmitted) != 0 || len(table.ExcludedTargets(at(later))) != 0 {
		t.Fatalf("readmission reported again: %v", readmitted)
	}
	if !table.Unreachable("a", at(later)) {
		t.Fatal("second exclusion is not reported")
	}
}
