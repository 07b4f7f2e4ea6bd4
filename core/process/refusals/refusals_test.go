package refusals

import (
	"testing"
	"time"
)

// Guards against callers that return as told and are taken for new ones, and against a table
// that grows with the requests of a peak.
func TestRefusedRequestsAreRecognised(t *testing.T) {
	start := time.Unix(1000, 0)
	table := New()
	table.Record(0, start)
	table.Record(7, start)
	if table.Returned(0, start) || !table.Returned(7, start.Add(3*time.Second)) || table.Returned(8, start) {
		t.Fatal("a request is not told from another")
	}
	if table.Returned(7, start.Add(maxAge+time.Second)) {
		t.Error("a refusal counts for too long")
	}
	table.Placed(7)
	if table.Returned(7, start) {
		t.Error("a placed request counts as refused")
	}
	for f := range Fingerprint(2 * capacity) {
		table.Record(f+1, start)
	}
	if table.Len() != capacity {
		t.Errorf("%d refusals, want %d", table.Len(), capacity)
	}
	table.Sweep(start.Add(maxAge + time.Second))
	if table.Len() != 0 {
		t.Errorf("%d refusals after a sweep", table.Len())
	}
}
