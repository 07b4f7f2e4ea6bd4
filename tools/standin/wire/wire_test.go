package wire

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// TestAOneWayPartitionStopsRequestsOrAnswers drops each direction in turn. A
// request that is held back must not act, one whose answer is held back must.
func TestAOneWayPartitionStopsRequestsOrAnswers(t *testing.T) {
	var acts atomic.Int32
	far := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { acts.Add(1) }))
	defer far.Close()
	relay, err := Start(far.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close() //nolint:errcheck // the test is over
	client := &http.Client{Timeout: 100 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	get := func() error {
		response, err := client.Get("http://" + relay.Address())
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	if err := get(); err != nil || acts.Load() != 1 {
		t.Fatalf("open: %v, %d acts", err, acts.Load())
	}
	relay.Drop(Forward, true)
	if err := get(); err == nil || acts.Load() != 1 {
		t.Fatalf("requests dropped: %v, %d acts", err, acts.Load())
	}
	relay.Cut(true)
	relay.Drop(Forward, false)
	relay.Cut(false)
	relay.Drop(Backward, true)
	var timeout interface{ Timeout() bool }
	if err := get(); !errors.As(err, &timeout) || !timeout.Timeout() || acts.Load() != 2 {
		t.Fatalf("answers dropped: %v, %d acts", err, acts.Load())
	}
	relay.Drop(Backward, false)
	if err := get(); err != nil || acts.Load() != 3 {
		t.Fatalf("healed: %v, %d acts", err, acts.Load())
	}
}
