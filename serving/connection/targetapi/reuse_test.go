package targetapi

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"carobspoke.example/core/target"
)

// TestAnswersAndRefusalsLeaveTheConnection checks that the connection is reused
// after complete answers and after refusals.
func TestAnswersAndRefusalsLeaveTheConnection(t *testing.T) {
	var connections, requests atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1)%2 == 0 {
			w.Header().Set(NotRunHeader, "1")
			http.Error(w, "memory exhausted", http.StatusInsufficientStorage)
			return
		}
		fmt.Fprintln(w, `{"a":1,"o":0,"t":"x"}`)
		fmt.Fprintln(w, `{"a":1,"o":1,"end":true}`)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Millisecond) // the end of the body arrives separately
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := NewClient(server.Listener.Addr().String(), NewTransport())
	for range 10 {
		stream, err := client.Submit(t.Context(), target.Submit{Stream: "s", Attempt: 1})
		if err != nil {
			continue // every second request is refused
		}
		for {
			frame, err := stream.Next()
			if err != nil {
				t.Fatal(err)
			}
			if frame.End {
				break
			}
		}
		if err := stream.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Fatalf("%d connections for %d requests, want 1", n, requests.Load())
	}
}
