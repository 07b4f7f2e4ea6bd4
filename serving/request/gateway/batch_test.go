package gateway

import (
	"fmt"
	"net/http/httptest"
	"testing"
)

// flushed is a caller that counts what is sent to it.
type flushed struct {
	*httptest.ResponseRecorder
	sent []int
}

func (f *flushed) Flush() { f.sent = append(f.sent, f.Body.Len()) }

var texts = []string{"a", " \"quoted\" <b> & \\", "\n\t\x00", "न्याय", "\xff\u2028", ""}

// TestBatchedEvents sends the same tokens one by one and together: the bytes
// are the same, and what is together is sent once.
func TestBatchedEvents(t *testing.T) {
	f := newForm(chatForm, true, "1", "draft")
	send := func(together bool) *flushed {
		caller := &flushed{ResponseRecorder: httptest.NewRecorder()}
		sink := &eventSink{output: newOutput(caller), form: f}
		for i, text := range texts {
			sink.Hold(together && i < len(texts)-1)
			if err := sink.Token(i, text); err != nil {
				t.Fatal(err)
			}
		}
		if err := sink.whole(); err != nil {
			t.Fatal(err)
		}
		return caller
	}
	single, batched := send(false), send(true)
	if single.Body.String() != batched.Body.String() {
		t.Fatalf("%q and %q", single.Body, batched.Body)
	}
	if len(single.sent) != len(texts)+1 || len(batched.sent) != 2 {
		t.Fatalf("sent %v and %v", single.sent, batched.sent)
	}
	if batched.sent[1] != batched.Body.Len() {
		t.Fatalf("sent %d of %d bytes", batched.sent[1], batched.Body.Len())
	}
}

// TestEvents fixes the bytes of events.
func TestEvents(t *testing.T) {
	f := newForm(textForm, true, "1", "draft")
	want := []string{`"a"`, `" \"quoted\" \u003cb\u003e \u0026 \\"`, `"\n\t\u0000"`, `"न्याय"`, `"\ufffd\u2028"`, `""`}
	for i, text := range texts {
		event := fmt.Sprintf("id: %d\ndata: %s%s,\"finish_reason\":null}]}\n\n", i, f.head, want[i])
		if got := string(f.token(i, text)); got != event {
			t.Fatalf("event %q, not %q", got, event)
		}
	}
}

func BenchmarkToken(b *testing.B) {
	f := newForm(chatForm, true, "1", "draft")
	b.ReportAllocs()
	for b.Loop() {
		f.token(123, " petition")
	}
}
