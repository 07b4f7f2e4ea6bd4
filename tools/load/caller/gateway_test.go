package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/tools/load/workload"
	"carobspoke.example/tools/standin/engine"
)

const answerTokens = 10

// fakeDaemon answers in the published form. It cuts each stream after some
// tokens and drops the answers of the first calls after acting.
type fakeDaemon struct {
	cutAfter  int
	swap      bool // send two tokens in the wrong order
	refusals  int
	dropCalls int
	acts      int
	resumedAt []int
}

func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/chat/completions":
		if d.refusals > 0 {
			d.refusals--
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write([]byte(`{"error":{"message":"m","type":"t","code":"overloaded","verdict":"not_run","retry_after_ms":5}}`))
			return
		}
		d.stream(w, 0)
	case "/v1/streams/resume":
		var request resumeRequest
		_ = json.NewDecoder(r.Body).Decode(&request)
		d.resumedAt = append(d.resumedAt, request.From)
		d.stream(w, request.From)
	case "/v1/services/orders/tickets":
		_, _ = w.Write([]byte(`{"ticket":"sealed","expires_ms":1000}`))
	default:
		d.acts++
		if d.acts <= d.dropCalls {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(r.Header.Get(callTicketHeader)))
	}
}

func (d *fakeDaemon) stream(w http.ResponseWriter, from int) {
	w.Header().Set(ticketHeader, "sealed")
	last := min(answerTokens, from+d.cutAfter)
	for i := from; i < last; i++ {
		offset := i
		if d.swap && i < 2 {
			offset = 1 - i
		}
		text, _ := json.Marshal(engine.Token("p", offset))
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n", offset, text)
	}
	w.(http.Flusher).Flush()
	if last < answerTokens {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func ask(t *testing.T, d *fakeDaemon, call *workload.Call) Answer {
	t.Helper()
	server := httptest.NewServer(d)
	defer server.Close()
	retry := workload.Retry{Attempts: 8, MaxWait: workload.Duration(time.Second)}
	g := NewGateway(func() []string { return []string{server.URL} }, retry, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r := &workload.Request{Index: 1, PromptTokens: 10, AnswerTokens: answerTokens, Prefix: -1, Call: call}
	if call != nil {
		return g.Call(ctx, r, rand.New(rand.NewPCG(1, 1)))
	}
	return g.Generate(ctx, r, rand.New(rand.NewPCG(1, 1)))
}

func TestACutStreamIsResumedWhereItEnded(t *testing.T) {
	d := &fakeDaemon{cutAfter: 4}
	got := ask(t, d, nil)
	if !got.Whole || got.Wrong || got.Resumes != 2 || len(got.Tokens) != answerTokens {
		t.Fatalf("got %+v", got)
	}
	if fmt.Sprint(d.resumedAt) != "[4 8]" {
		t.Fatalf("resumed at %v", d.resumedAt)
	}
}

func TestTokensInTheWrongOrderAreFound(t *testing.T) {
	if got := ask(t, &fakeDaemon{cutAfter: answerTokens, swap: true}, nil); !got.Wrong {
		t.Fatalf("got %+v", got)
	}
}

func TestATokenOfAnotherRequestIsFound(t *testing.T) {
	seen := NewSeen()
	first := checker{seen: seen, request: 1, want: 1}
	first.take(engine.Token("p", 0))
	second := checker{seen: seen, request: 2, want: 1}
	second.take(engine.Token("p", 0))
	if first.wrong || !second.wrong {
		t.Fatalf("first %t, second %t", first.wrong, second.wrong)
	}
}

func TestARefusalIsTriedAgainAndStaysNotRun(t *testing.T) {
	if got := ask(t, &fakeDaemon{cutAfter: answerTokens, refusals: 2}, nil); !got.Whole || got.Sends != 2 {
		t.Fatalf("got %+v", got)
	}
	got := ask(t, &fakeDaemon{refusals: 100}, nil)
	if got.Whole || got.Verdict != verdict.NotRun || got.Code != string(verdict.Overloaded) {
		t.Fatalf("got %+v", got)
	}
}

// TestACallIsSentAsOftenAsCounted drops answers after acting. The HTTP library
// must not send by itself.
func TestACallIsSentAsOftenAsCounted(t *testing.T) {
	for _, mode := range []workload.Mode{workload.Ticket, workload.Key} {
		d := &fakeDaemon{dropCalls: 2}
		got := ask(t, d, &workload.Call{Service: "orders", Mode: mode})
		if !got.Whole || got.Sends != 2 || d.acts != 3 {
			t.Errorf("%s: got %+v after %d acts", mode, got, d.acts)
		}
	}
}
