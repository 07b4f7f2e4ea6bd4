package owned

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"carobspoke.example/core/verdict"
	"pgregory.net/rapid"
)

// init fixes the seed of the property tests; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var limits = Limits{Calls: 3, CallsPerCustomer: 2, AnswerBytes: 10}

func call(id string) Call {
	return Call{ID: id, Customer: "a", BodyDigest: "b", Expires: time.Minute}
}

func TestResends(t *testing.T) {
	table := New(limits)
	if d := table.Begin(call("1"), 0); d.Action != Run {
		t.Fatalf("first send: %+v", d)
	}
	if d := table.Begin(call("1"), 0); d.Action != Join {
		t.Fatalf("resend while running: %+v", d)
	}
	other := call("1")
	other.BodyDigest = "c"
	if d := table.Begin(other, 0); d.Action != Refuse || d.Refusal.Verdict == verdict.NotRun {
		t.Fatalf("a resend with another body must not get the verdict NotRun: %+v", d)
	}
	table.Finish("1", Answer{Body: []byte("ok")}, time.Second)
	if d := table.Begin(call("1"), time.Second); d.Action != Replay || string(d.Answer.Body) != "ok" {
		t.Fatalf("resend after the answer: %+v", d)
	}
	if d := table.Begin(call("1"), time.Minute); d.Action != Refuse || d.Refusal.Reason != verdict.TicketExpired {
		t.Fatalf("expired: %+v", d)
	}
	if d := table.Begin(call("1"), time.Second); d.Action != Refuse {
		t.Fatalf("an expired call ran after the clock went back: %+v", d)
	}
}

func TestFullTableRefusesNewCallsAndEvictsNone(t *testing.T) {
	table := New(limits)
	table.Begin(call("1"), 0)
	table.Begin(call("2"), 0)
	if d := table.Begin(call("3"), 0); d.Action != Refuse || d.Refusal.Verdict != verdict.NotRun {
		t.Fatalf("a call beyond the customer's limit: %+v", d)
	}
	table.Finish("1", Answer{Body: make([]byte, 11)}, 0)
	if d := table.Begin(call("1"), 0); d.Action != Replay || d.Answer.Failure.Verdict != verdict.Ran {
		t.Fatalf("an answer too large to store: %+v", d)
	}
	table.Finish("2", Answer{Failure: verdict.New(verdict.NotRun, verdict.NoTarget, "")}, 0)
	if d := table.Begin(call("2"), 0); d.Action != Run {
		t.Fatalf("a call proven not run: %+v", d)
	}
}

func TestPausedWorkerDoesNotWriteAfterExpiry(t *testing.T) {
	table := New(limits)
	table.Begin(call("1"), 0)
	if err := table.Commit("1", time.Minute); verdict.From(err).Verdict != verdict.NotRun {
		t.Fatalf("commit after expiry: %v", err)
	}
	if d := table.Begin(call("1"), 0); d.Action == Run {
		t.Fatal("a second run started while the first was paused")
	}
}

// TestAtMostOnce sends, commits and finishes calls in random order and at random
// times: no call may be written twice, unless it is proven that it did not run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(limits)
		writes := map[string]int{}
		mayCommit := map[string]bool{}
		var now time.Duration
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-20, 30).Draw(t, "pass")) * time.Second
			id := strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "id"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if table.Begin(call(id), now).Action == Run {
					mayCommit[id] = true
				}
			case 1:
				if mayCommit[id] && table.Commit(id, now) == nil {
					mayCommit[id] = false
					writes[id]++
				}
			case 2:
				table.Finish(id, Answer{Body: []byte("x")}, now)
			case 3:
				if writes[id] == 0 {
					mayCommit[id] = false
					table.Finish(id, Answer{Failure: verdict.New(verdict.NotRun, verdict.NoTarget, "")}, now)
				}
			}
			if writes[id] > 1 {
				t.Fatalf("call %s was written %d times", id, writes[id])
			}
			if table.Len() > limits.Calls || table.AnswerBytes() > limits.AnswerBytes {
				t.Fatalf("%d calls, %d bytes", table.Len(), table.AnswerBytes())
			}
		}
	})
}

func BenchmarkCall(b *testing.B) {
	table := New(Limits{Calls: 32 << 10, CallsPerCustomer: 32 << 10, AnswerBytes: 16 << 20})
	var now time.Duration
	body := []byte("an answer of forty bytes, more or less..")
	b.ReportAllocs()
	for i := range b.N {
		now += 20 * time.Millisecond
		id := strconv.Itoa(i)
		table.Begin(Call{ID: id, Customer: "a", BodyDigest: "b", Expires: now + 10*time.Minute}, now)
		table.Finish(id, Answer{Body: body}, now)
	}
	b.ReportMetric(float64(table.Len()), "entries")
}
