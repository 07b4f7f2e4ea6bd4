package upstream

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"carobspoke.example/core/process/replicas"
)

// A target that resets, cuts or ignores connections but lives on must not count as
// ended, and one that has ended must, also if its listener closes last.
func TestOnlyATargetThatRefusesConnectionsHasEnded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address, unusable := listener.Addr().String(), "127.0.0.1:99999" // no error of dialling but a refusal is an end
	checker := NewEndChecker(DialTCP)
	i := replicas.Incarnation{ID: "t", Started: 1}
	if checker.Ended(t.Context(), i, address) {
		t.Fatal("a target that accepts connections counts as ended")
	}
	if checker.Ended(t.Context(), i, unusable) {
		t.Fatal("a target that cannot be reached counts as ended")
	}
	time.AfterFunc(secondDialDelay/2, func() { _ = listener.Close() })
	var checks sync.WaitGroup
	for range 8 {
		checks.Go(func() {
			if !checker.Ended(t.Context(), i, address) {
				t.Error("a target that refuses connections does not count as ended")
			}
		})
	}
	checks.Wait()
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	if checker.Ended(gone, replicas.Incarnation{ID: "u"}, unusable) {
		t.Fatal("a check without a result says that the target has ended")
	}
	if began := time.Now(); !checker.Ended(t.Context(), i, unusable) || time.Since(began) > EndCheckTimeout/2 {
		t.Fatal("the end of an incarnation was not kept")
	}
}
