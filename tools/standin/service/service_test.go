package service

import (
	"testing"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
)

// TestCallWithDroppedAnswerIsCounted guards against records that miss a call
// because its answer was lost: the caller cannot tell that it ran.
func TestCallWithDroppedAnswerIsCounted(t *testing.T) {
	s, err := Start("127.0.0.1:0", Config{Name: "orders"})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close() //nolint:errcheck // the test is over
	client := targetapi.NewClient(s.Address(), targetapi.NewTransport())
	call := target.Call{ID: "1", Attempt: 1, Customer: "c1", Key: "k", Body: []byte("file it")}
	reply, err := client.Call(t.Context(), call)
	if err != nil || string(reply.Body) != string(Answer("orders", call)) {
		t.Fatalf("got %+v, %v", reply, err)
	}
	s.DropAnswers(1)
	if _, err := client.Call(t.Context(), call); verdict.From(err).Verdict != verdict.MayHaveRun {
		t.Fatalf("call whose answer was dropped: %v", err)
	}
	if got := s.Count("c1", "k"); got != 2 {
		t.Fatalf("the call ran %d times, want 2", got)
	}
}
