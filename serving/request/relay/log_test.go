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

// observeLog gives the fixture a logger whose lines can be read.
func (f *fixture) observeLog() *observer.ObservedLogs {
	core, logs := observer.New(zapcore.InfoLevel)
	f.log = zap.New(core)
	f.build()
	return logs
}

// lastLogFields returns the fields of the last log line with a message.
func lastLogFields(t *testing.T, logs *observer.ObservedLogs, message string) map[string]any {
	t.Helper()
	lines := logs.FilterMessage(message).All()
	if len(lines) == 0 {
		t.Fatalf("no log line %q", message)
	}
	return lines[len(lines)-1].ContextMap()
}

// TestEachReasonAndVerdictIsLogged refuses a request for each reason with each
// verdict.
func TestEachReasonAndVerdictIsLogged(t *testing.T) {
	f := newFixture(t)
	logs := f.observeLog()
	table := f.relay.Configuration().Table
	for _, reason := range verdict.Reasons() {
		for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
			logs.TakeAll()
			finishWithError(&request{relay: f.relay, info: RequestInfo{ID: "r1"}, table: table, route: &f.routes[1]}, verdict.New(v, reason, "as the test wants it"))
			line := lastLogFields(t, logs, "not answered")
			if line["request"] != "r1" || line["reason"] != string(reason) || line["verdict"] != v.String() || line["route"] != "order" || line["version"] != uint64(1) {
				t.Errorf("%s, %s: %v", reason, v, line)
			}
		}
	}
}

// finishWithError finishes a request with an error. It recovers from the panic
// with which a handler makes net/http close the connection.
func finishWithError(q *request, err error) {
	q.w, q.r = httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/order/x", http.NoBody)
	defer func() { _ = recover() }()
	q.finish(err)
}

// TestEachRetryOutcomeIsLogged fails attempts so that the policy takes each of
// its decisions.
func TestEachRetryOutcomeIsLogged(t *testing.T) {
	cases := map[retry.Outcome]struct {
		path    string
		prepare func(*fixture)
	}{
		retry.Retried:         {"/read/x", func(*fixture) {}},
		retry.UnsafeRepeat:    {"/order/x", func(*fixture) {}},
		retry.TooManyAttempts: {"/read/x", func(f *fixture) { f.routes[0].MaxAttempts = 1 }},
		retry.TooLate:         {"/read/x", func(f *fixture) { f.routes[0].Timeout = minAttemptTime }},
		retry.BudgetSpent: {"/read/x", func(f *fixture) {
			for f.budget.TryTake() {
			}
		}},
	}
	for outcome, c := range cases {
		f := newFixture(t, newFakeServer(t, closesWithoutAnswer), newFakeServer(t, answersOK("ran")))
		c.prepare(f)
		logs := f.observeLog()
		_, _, _ = f.call(c.path, nil)
		if line := lastLogFields(t, logs, "attempt failed"); line["outcome"] != string(outcome) || line["reason"] != string(verdict.AnswerCut) || line["ran"] != int64(1) {
			t.Errorf("%s: %v", outcome, line)
		}
		if line := lastLogFields(t, logs, "send failed"); line["target"] != "a" {
			t.Errorf("%s: %v", outcome, line)
		}
	}
	for _, outcome := range retry.Outcomes() {
		if _, ok := cases[outcome]; !ok && outcome != retry.NotRetriable {
			t.Errorf("outcome %s is not tested", outcome) // a failure that is not retriable is logged as "not answered" only
		}
	}
}

// TestResumedStreamIsTracedInLog checks the log lines and the timing of a
// stream over two targets.
func TestResumedStreamIsTracedInLog(t *testing.T) {
	f := newFixture(t, newFakeServer(t, streamsEvents(0, 1, false)), newFakeServer(t, streamsEvents(2, 3, true)))
	logs := f.observeLog()
	if _, _, err := f.call("/stream/x", nil); err != nil {
		t.Fatal(err)
	}
	placed := logs.FilterMessage("placed").All()
	if len(placed) != 2 || placed[0].ContextMap()["target"] != "a" || placed[1].ContextMap()["after"] != "1" {
		t.Fatalf("placed: %v", placed)
	}
	line := lastLogFields(t, logs, "answered")
	if line["sends"] != int64(2) || line["class"] != string(ShortPrompt) || line["took"].(time.Duration) < line["first"].(time.Duration) {
		t.Fatalf("answered: %v", line)
	}
	timing := <-f.timings
	if timing.Class != ShortPrompt || timing.Total < timing.FirstEvent || timing.Predicted != 0 {
		t.Fatalf("%+v", timing)
	}
}

// TestLastReplyIsLogged has a stream that is resumed. The log must tell how the target of
// the last attempt framed its answer, and how many events came from it.
func TestLastReplyIsLogged(t *testing.T) {
	f := newFixture(t, newFakeServer(t, streamsEvents(0, 2, false)), newFakeServer(t, streamsEvents(3, 4, true)))
	logs := f.observeLog()
	if _, _, err := f.call("/stream/x", nil); err != nil {
		t.Fatal(err)
	}
	reply, ok := lastLogFields(t, logs, "answered")["reply"].(map[string]any)
	if !ok || reply["status"] != http.StatusOK || reply["framing"] != "chunks" || reply["events"] != 2 {
		t.Fatalf("the reply is logged as %v", reply)
	}
}
