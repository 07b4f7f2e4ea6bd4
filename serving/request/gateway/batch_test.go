package gateway

import (
	"fmt"
	"net/http/httptest"
	"testing"
)

// flushRecorder is a response recorder that records the body length at each
// flush.
type flushRecorder struct {
	*httptest.ResponseRecorder
	flushedAt []int
}

func (f *flushRecorder) Flush() { f.flushedAt = append(f.flushedAt, f.Body.Len()) }

var tokenTexts = []string{"a", " \"quoted\" <b> & \\", "\n\t\x00", "न्याय", "\xff\u2028", ""}

// TestBatchedTokensAreFlushedOnce writes the same tokens with and without
// batching. The bytes must be the same, and a batch must be flushed once.
func TestBatchedTokensAreFlushedOnce(t *testing.T) {
	encoder := newAnswerEncoder(chatFormat, true, "1", "draft")
	send := func(batch bool) *flushRecorder {
		caller := &flushRecorder{ResponseRecorder: httptest.NewRecorder()}
		sink := &eventSink{output: newOutput(caller), encoder: encoder}
		for i, text := range tokenTexts {
			sink.DeferFlush(batch && i < len(tokenTexts)-1)
			if err := sink.Token(i, text); err != nil {
				t.Fatal(err)
			}
		}
		if err := sink.finish(); err != nil {
			t.Fatal(err)
		}
		return caller
	}
	single, batched := send(false), send(true)
	if single.Body.String() != batched.Body.String() {
		t.Fatalf("bytes differ: %q single, %q batched", single.Body, batched.Body)
	}
	if len(single.flushedAt) != len(tokenTexts)+1 || len(batched.flushedAt) != 2 {
		t.Fatalf("flushed at %v single, at %v batched", single.flushedAt, batched.flushedAt)
	}
	if batched.flushedAt[1] != batched.Body.Len() {
		t.Fatalf("flushed %d of %d bytes", batched.flushedAt[1], batched.Body.Len())
	}
}

// TestEventBytes checks the exact bytes of token events.
func TestEventBytes(t *testing.T) {
	encoder := newAnswerEncoder(textFormat, true, "1", "draft")
	want := []string{`"a"`, `" \"quoted\" \u003cb\u003e \u0026 \\"`, `"\n\t\u0000"`, `"न्याय"`, `"\ufffd\u2028"`, `""`}
	for i, text := range tokenTexts {
		event := fmt.Sprintf("id: %d\ndata: %s%s,\"finish_reason\":null}]}\n\n", i, encoder.chunkPrefix, want[i])
		if got := string(encoder.tokenEvent(i, text)); got != event {
			t.Fatalf("event %q, want %q", got, event)
		}
	}
}

func BenchmarkToken(b *testing.B) {
	encoder := newAnswerEncoder(chatFormat, true, "1", "draft")
	b.ReportAllocs()
	for b.Loop() {
		encoder.tokenEvent(123, " petition")
	}
}
