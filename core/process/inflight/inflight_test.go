package inflight

import (
	"flag"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"pgregory.net/rapid"
)

func init() {
	_ = flag.Set("rapid.seed", "1") // the same cases in every run
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func key(n uint64) Key { return Key{Host: "10.0.0.1:7300", Incarnation: 1, Number: n} }

func prompt(n uint64, target names.Target, prefill time.Duration) Dispatch {
	return Dispatch{Key: key(n), MaxDuration: 10 * time.Second, Parts: []Part{
		{Target: target, Prefill: prefill, Tokens: 100, Decodes: true, Size: 7, GapTarget: 200 * time.Millisecond},
	}}
}

func TestBacklogDrainsWithTimeAndFirstEvents(t *testing.T) {
	table := New()
	table.Begin(prompt(1, "a", 300*time.Millisecond), at(0))
	table.Begin(prompt(2, "a", 200*time.Millisecond), at(0))
	if got := table.Load("a", at(100*time.Millisecond)).Backlog; got != 400*time.Millisecond {
		t.Fatalf("backlog %s after 100 ms", got)
	}
	table.FirstEvent(key(1), at(120*time.Millisecond))
	if got := table.Load("a", at(120*time.Millisecond)).Backlog; got != 200*time.Millisecond {
		t.Fatalf("backlog %s after the first prompt's prefill", got)
	}
	if got := table.Load("a", at(5*time.Second)).Backlog; got <= 0 {
		t.Fatal("a prompt without a first event leaves no backlog")
	}
	table.FirstEvent(key(2), at(5*time.Second))
	if got := table.Load("a", at(5*time.Second)); got.Backlog != 0 || got.Answers != 2 || got.SizeByGapClass[0] != 14 {
		t.Fatalf("load %+v", got)
	}
}

func TestRepeatedAndLateMessagesAreIgnored(t *testing.T) {
	table := New()
	table.End(key(1), at(0))
	table.Begin(prompt(1, "a", time.Second), at(0))
	table.Begin(prompt(1, "a", time.Second), at(0))
	if got := table.Load("a", at(0)); got.Requests != 1 {
		t.Fatalf("load %+v", got)
	}
	if !table.FirstEvent(key(1), at(0)) || table.FirstEvent(key(1), at(0)) {
		t.Fatal("a first event must be reported as new exactly once")
	}
	table.End(key(1), at(0))
	table.End(key(1), at(0))
	if got := table.Load("a", at(0)); got != (Load{}) {
		t.Fatalf("load %+v after the end", got)
	}
}

// TestLongAnswerCountsUntilItsDeadline guards against removing an entry before its
// deadline: under peak load, answers take many times the predicted time.
func TestLongAnswerCountsUntilItsDeadline(t *testing.T) {
	table := New()
	table.Begin(prompt(1, "a", time.Millisecond), at(0))
	table.Expire(at(9 * time.Second))
	if table.Load("a", at(9*time.Second)).Answers != 1 {
		t.Fatal("the entry was removed before its deadline")
	}
	table.Expire(at(11*time.Second + time.Millisecond))
	if table.Size() != 0 {
		t.Fatal("an entry without an end message was not removed")
	}
}

// The message about the end of a dispatch is lost. Guards against counting it until
// its caller's deadline: its daemon no longer repeats it.
func TestDispatchThatIsNotRepeatedExpires(t *testing.T) {
	table := New()
	lease := func(n uint64, prefilled bool) Dispatch {
		d := prompt(n, "a", time.Second)
		d.MaxDuration, d.Prefilled = 2*time.Second, prefilled
		return d
	}
	table.Begin(lease(1, false), at(0))
	table.Begin(lease(2, false), at(0))
	table.Begin(lease(1, true), at(1500*time.Millisecond))
	table.Expire(at(3100 * time.Millisecond))
	if table.Has(key(2)) || !table.Has(key(1)) {
		t.Fatalf("in the table: 1 %t, 2 %t", table.Has(key(1)), table.Has(key(2)))
	}
	if got := table.Load("a", at(3100*time.Millisecond)); got.Backlog != 0 || got.Answers != 1 || got.Pending != 1 {
		t.Fatalf("load %+v of a dispatch that was repeated after its first event", got)
	}
}

// A new home learns of a dispatch after its first event.
func TestRepeatedMessageAfterFirstEventAddsNoBacklog(t *testing.T) {
	table := New()
	d := prompt(1, "a", time.Second)
	d.Prefilled = true
	table.Begin(d, at(0))
	if got := table.Load("a", at(0)); got.Backlog != 0 || got.Answers != 1 || got.Tokens != 100 {
		t.Fatalf("load %+v", got)
	}
	if table.FirstEvent(key(1), at(0)) {
		t.Fatal("the first event is reported as new")
	}
	table.End(key(1), at(0))
	if got := table.Load("a", at(0)); got != (Load{}) {
		t.Fatalf("load %+v after the end", got)
	}
}

// A target that only helps sends nothing to the daemon, so that silence of it is no
// sign of a failure.
func TestHelpersOweNoAnswer(t *testing.T) {
	table := New()
	d := prompt(1, "a", time.Second)
	d.Parts = append(d.Parts, Part{Target: "b", Prefill: time.Second})
	table.Begin(d, at(0))
	if a, b := table.Load("a", at(0)), table.Load("b", at(0)); a.Pending != 1 || b.Pending != 0 || b.Requests != 1 {
		t.Fatalf("loads %+v and %+v", a, b)
	}
}

func TestWorkOfDeadIncarnationIsRemoved(t *testing.T) {
	table := New()
	table.Begin(prompt(1, "a", time.Second), at(0))
	later := prompt(2, "a", time.Second)
	later.Key.Incarnation = 2
	table.Begin(later, at(0))
	table.RemoveIncarnations(key(0).Host, 2, at(0))
	if got := table.Load("a", at(0)).Requests; got != 1 {
		t.Fatalf("%d requests", got)
	}
}

// TestLoadReturnsToZero applies messages in random order, with some lost or
// repeated: the load must never be negative, and is zero after all dispatches
// have ended.
func TestLoadReturnsToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		now := time.Duration(0)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			n := uint64(rapid.IntRange(1, 6).Draw(t, "number"))
			target := names.Target(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target"))
			switch rapid.IntRange(0, 3).Draw(t, "message") {
			case 0:
				d := prompt(n, target, time.Duration(n)*50*time.Millisecond)
				d.Prefilled = rapid.Bool().Draw(t, "prefilled")
				table.Begin(d, at(now))
			case 1:
				table.FirstEvent(key(n), at(now))
			case 2:
				table.End(key(n), at(now))
			default:
				table.Expire(at(now))
			}
			if load := table.Load(target, at(now)); load.Backlog < 0 || load.Requests < 0 || load.Tokens < 0 {
				t.Fatalf("load %+v", load)
			}
		}
		for n := range uint64(7) {
			table.End(key(n), at(now))
		}
		if a, b := table.Load("a", at(now)), table.Load("b", at(now)); a != (Load{}) || b != (Load{}) {
			t.Fatalf("load left after all dispatches ended: %+v %+v", a, b)
		}
	})
}

// TestReportedRequestsCountTemporarily is the case of a daemon that has just
// started: it knows the work of other daemons only from the targets' answers.
func TestReportedRequestsCountTemporarily(t *testing.T) {
	table := New()
	table.Begin(prompt(1, "a", 0), at(0))
	table.SetReportedRequests("a", 9, at(0))
	if got := table.Load("a", at(time.Second)); got.Answers != 9 || got.Requests != 9 {
		t.Fatalf("load %+v", got)
	}
	table.Begin(prompt(2, "a", 0), at(time.Second))
	if got := table.Load("a", at(time.Second)); got.Answers != 10 {
		t.Fatalf("load %+v", got)
	}
	if got := table.Load("a", at(2*time.Second)); got.Answers != 2 {
		t.Fatalf("load %+v after two seconds", got)
	}
	table.SetReportedRequests("a", 1, at(2*time.Second))
	if got := table.Load("a", at(2*time.Second)); got.Answers != 2 {
		t.Fatalf("load %+v: an outdated report of the target lowered it", got)
	}
	table.End(key(1), at(3*time.Second))
	table.End(key(2), at(3*time.Second))
	table.Prune(func(names.Target) bool { return false })
	if len(table.targets) != 0 {
		t.Fatal("a target that is no longer listed was not removed")
	}
}
