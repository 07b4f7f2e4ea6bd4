package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/verdict"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// watchLog makes the fixture's log readable.
func (f *fixture) watchLog() *observer.ObservedLogs {
	core, logs := observer.New(zapcore.InfoLevel)
	f.log = zap.New(core)
	f.build()
	return logs
}

// fields returns the fields of the last line with a message.
func fields(t *testing.T, logs *observer.ObservedLogs, message string) map[string]any {
	t.Helper()
	lines := logs.FilterMessage(message).All()
	if len(lines) == 0 {
		t.Fatalf("no line %q", message)
	}
	return lines[len(lines)-1].ContextMap()
}

// TestEachReasonAndVerdictHasItsLine ends a request for each reason, with each
// verdict.
func TestEachReasonAndVerdictHasItsLine(t *testing.T) {
	f := newFixture(t)
	logs := f.watchLog()
	table, _ := f.relay.Table()
	for _, reason := range verdict.Reasons() {
		for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
			logs.TakeAll()
			end(&request{relay: f.relay, facts: Facts{ID: "r1"}, table: table, route: &f.routes[1]}, verdict.New(v, reason, "as the test wants it"))
			line := fields(t, logs, "not answered")
			if line["request"] != "r1" || line["reason"] != string(reason) || line["verdict"] != v.String() || line["route"] != "order" || line["version"] != uint64(1) {
				t.Errorf("%s, %s: %v", reason, v, line)
			}
		}
	}
}

// end finishes a request with an error. One that has to break its connection
// off panics, which net/http expects.
func end(q *request, err error) {
	q.w, q.r = httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/order/x", http.NoBody)
	defer func() { _ = recover() }()
	q.finish(err)
}

// TestEachOutcomeOfARetryHasItsLine fails attempts in each way in which the
// policy can decide.
func TestEachOutcomeOfARetryHasItsLine(t *testing.T) {
	cases := map[retry.Outcome]struct {
		path  string
		spoil func(*fixture)
	}{
		retry.Retried:         {"/read/x", func(*fixture) {}},
		retry.UnsafeRepeat:    {"/order/x", func(*fixture) {}},
		retry.TooManyAttempts: {"/read/x", func(f *fixture) { f.routes[0].MaxAttempts = 1 }},
		retry.TooLate:         {"/read/x", func(f *fixture) { f.routes[0].Timeout = minWork }},
		retry.BudgetSpent: {"/read/x", func(f *fixture) {
			for f.budget.TryTake() {
			}
		}},
	}
	for outcome, c := range cases {
		f := newFixture(t, newServer(t, dies), newServer(t, good("ran")))
		c.spoil(f)
		logs := f.watchLog()
		_, _, _ = f.call(c.path, nil)
		if line := fields(t, logs, "attempt failed"); line["outcome"] != string(outcome) || line["reason"] != string(verdict.AnswerCut) || line["ran"] != int64(1) {
			t.Errorf("%s: %v", outcome, line)
		}
		if line := fields(t, logs, "send failed"); line["target"] != "a" {
			t.Errorf("%s: %v", outcome, line)
		}
	}
	for _, outcome := range retry.Outcomes() {
		if _, ok := cases[outcome]; !ok && outcome != retry.NotRetriable {
			t.Errorf("outcome %s is not tried", outcome) // what cannot be mended has its reason in "not answered"
		}
	}
}

// TestAnAnswersLinesLeadFromItsIDToItsTimes follows a stream over two targets.
func TestAnAnswersLinesLeadFromItsIDToItsTimes(t *testing.T) {
	f := newFixture(t, newServer(t, streams(0, 1, false)), newServer(t, streams(2, 3, true)))
	logs := f.watchLog()
	if _, _, err := f.call("/stream/x", nil); err != nil {
		t.Fatal(err)
	}
	placed := logs.FilterMessage("placed").All()
	if len(placed) != 2 || placed[0].ContextMap()["target"] != "a" || placed[1].ContextMap()["after"] != "1" {
		t.Fatalf("placed: %v", placed)
	}
	line := fields(t, logs, "answered")
	if line["sends"] != int64(2) || line["class"] != string(ShortPrompt) || line["took"].(time.Duration) < line["first"].(time.Duration) {
		t.Fatalf("answered: %v", line)
	}
	timing := <-f.timings
	if timing.Class != ShortPrompt || timing.Whole < timing.First || timing.Predicted != 0 {
		t.Fatalf("%+v", timing)
	}
}
