package owned

import (
	"runtime"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/names"
)

// TestFullTableMemory checks that a full table with the default limits for calls and
// answers uses at most a quarter of the 128 MB that a daemon has for control work.
func TestFullTableMemory(t *testing.T) {
	const calls, answerBytes, limit = 32 << 10, 16 << 20, 32 << 20
	before := heapBytes()
	table := New(Limits{Calls: calls, CallsPerCustomer: calls, AnswerBytes: answerBytes})
	for i := range calls {
		id := "t-" + strings.Repeat("0", 27) + string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676%26)) + string(rune('a'+i/17576))
		body := names.Digest(strings.Repeat(string(rune('a'+i%26)), 64))
		table.Begin(Call{ID: id, Customer: "customer", BodyDigest: body, Expires: 10 * time.Minute}, 0)
		table.Finish(id, Answer{Body: make([]byte, answerBytes/calls)}, 0)
	}
	used := heapBytes() - before
	t.Logf("%d calls with %d bytes of answers: %d bytes, %d per call without its answer",
		table.Len(), table.AnswerBytes(), used, (used-uint64(table.AnswerBytes()))/uint64(table.Len()))
	if table.Len() != calls || used > limit {
		t.Fatalf("%d calls in %d bytes", table.Len(), used)
	}
	runtime.KeepAlive(table)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
