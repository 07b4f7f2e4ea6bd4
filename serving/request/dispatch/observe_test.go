package dispatch

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"carobspoke.example/core/target"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/gateway"
)

// TestReceivedTokensAreFlushedBeforeWaiting has an engine send three tokens, a
// stale frame that is discarded and a part of a fourth token, and then nothing
// until the caller has received the three.
func TestReceivedTokensAreFlushedBeforeWaiting(t *testing.T) {
	received := make(chan int, 8)
	proceed := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "{\"a\":1}\n{\"a\":1,\"o\":1}\n{\"a\":1,\"o\":2}\n{\"o\":2}\n{\"a\":1,")
		_ = http.NewResponseController(w).Flush()
		<-proceed
		_, _ = io.WriteString(w, "\"o\":3}\n{\"a\":1,\"o\":4,\"end\":true}\n")
	}))
	defer server.Close()
	written := 0
	batch := gateway.NewBatch(func() { received <- written })
	engine := &observedEngine{
		Engine:    targetapi.NewClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport),
		placement: &placementState{}, onFirstToken: func() {}, onReport: func(target.Report) {},
	}
	ended := make(chan error, 1)
	go func() { ended <- readAll(t, engine, batch, &written) }()
	if got := <-received; got != 3 {
		t.Errorf("%d tokens were flushed first, not the three that had arrived", got)
	}
	close(proceed)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if got := <-received; got != 4 {
		t.Fatalf("%d tokens were flushed by the end", got)
	}
}

// TestCloseFlushesHeldTokens closes a stream while a further frame is buffered
// that is never read. The held token must be flushed, and later tokens must not
// be held.
func TestCloseFlushesHeldTokens(t *testing.T) {
	sent := 0
	batch := gateway.NewBatch(func() { sent++ })
	s := &observedStream{Stream: alwaysBuffered{}, placement: &placementState{}, onFirstToken: func() {}, buffering: alwaysBuffered{}, batch: batch}
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	batch.AfterWrite()
	if sent != 0 {
		t.Fatal("a token was sent alone although the next one is buffered")
	}
	if err := s.Close(); err != nil || sent != 1 {
		t.Fatalf("sent %d times: %v", sent, err)
	}
	batch.AfterWrite()
	if sent != 2 {
		t.Fatal("a token was held after the stream was closed")
	}
}

// alwaysBuffered is a stream whose next frame is always buffered.
type alwaysBuffered struct{}

func (alwaysBuffered) Next() (target.Frame, error) { return target.Frame{Attempt: 1}, nil }
func (alwaysBuffered) Close() error                { return nil }
func (alwaysBuffered) Buffered() bool              { return true }

func readAll(t *testing.T, engine *observedEngine, batch *gateway.Batch, written *int) error {
	stream, err := engine.Submit(gateway.WithBatch(t.Context(), batch), target.Submit{Attempt: 1})
	if err != nil {
		return err
	}
	defer stream.Close() //nolint:errcheck // it is read to its end
	for {
		frame, err := stream.Next()
		if err != nil || frame.End {
			return err
		}
		if frame.Attempt == 0 {
			continue
		}
		*written++
		batch.AfterWrite()
	}
}
