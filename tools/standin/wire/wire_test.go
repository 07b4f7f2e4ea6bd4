package wire

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// TestOneWayPartitionHoldsBackRequestsOrAnswers guards against a partition that
// affects the wrong direction. It holds back each direction in turn: a request
// that is held back must not reach the server, and one whose answer is held back
// must.
func TestOneWayPartitionHoldsBackRequestsOrAnswers(t *testing.T) {
	var handled atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }))
	defer server.Close()
	relay, err := Start(server.Listener.Addr().String())
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
	if err := get(); err != nil || handled.Load() != 1 {
		t.Fatalf("before the partition: %v, %d requests handled", err, handled.Load())
	}
	relay.Hold(Forward, true)
	if err := get(); err == nil || handled.Load() != 1 {
		t.Fatalf("requests held back: %v, %d requests handled", err, handled.Load())
	}
	relay.Cut(true)
	relay.Hold(Forward, false)
	relay.Cut(false)
	relay.Hold(Backward, true)
	var timeout interface{ Timeout() bool }
	if err := get(); !errors.As(err, &timeout) || !timeout.Timeout() || handled.Load() != 2 {
		t.Fatalf("answers held back: %v, %d requests handled", err, handled.Load())
	}
	relay.Hold(Backward, false)
	if err := get(); err != nil || handled.Load() != 3 {
		t.Fatalf("after the partition: %v, %d requests handled", err, handled.Load())
	}
}
