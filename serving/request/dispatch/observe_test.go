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

// TestNoTokenIsHeldBackFromTheCaller has an engine send three tokens, a late
// frame that is discarded and a part of a fourth token, and then nothing until
// the caller has got the three.
func TestNoTokenIsHeldBackFromTheCaller(t *testing.T) {
	received := make(chan int, 8)
	silent := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "{\"a\":1}\n{\"a\":1,\"o\":1}\n{\"a\":1,\"o\":2}\n{\"o\":2}\n{\"a\":1,")
		_ = http.NewResponseController(w).Flush()
		<-silent
		_, _ = io.WriteString(w, "\"o\":3}\n{\"a\":1,\"o\":4,\"end\":true}\n")
	}))
	defer server.Close()
	written := 0
	batch := gateway.NewBatch(func() { received <- written })
	engine := &observed{
		Engine: targetapi.NewClient(strings.TrimPrefix(server.URL, "http://"), http.DefaultTransport),
		placed: &placed{}, started: func() {}, told: func(target.Report) {},
	}
	ended := make(chan error, 1)
	go func() { ended <- relayAll(t, engine, batch, &written) }()
	if got := <-received; got != 3 {
		t.Errorf("%d tokens came first, not the three that were there", got)
	}
	close(silent)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if got := <-received; got != 4 {
		t.Fatalf("%d tokens came at the end", got)
	}
}

// TestHeldTokensGoOutWhenTheAttemptEnds closes a stream of which a further
// frame is there that is never read.
func TestHeldTokensGoOutWhenTheAttemptEnds(t *testing.T) {
	sent := 0
	batch := gateway.NewBatch(func() { sent++ })
	s := &observedStream{Stream: full{}, placed: &placed{}, started: func() {}, buffering: full{}, batch: batch}
	if _, err := s.Next(); err != nil {
		t.Fatal(err)
	}
	batch.AfterWrite()
	if sent != 0 {
		t.Fatal("a token was sent alone although the next is there")
	}
	if err := s.Close(); err != nil || sent != 1 {
		t.Fatalf("sent %d times: %v", sent, err)
	}
	batch.AfterWrite()
	if sent != 2 {
		t.Fatal("a token after the stream was held back")
	}
}

// full is a stream whose next frame is always there.
type full struct{}

func (full) Next() (target.Frame, error) { return target.Frame{Attempt: 1}, nil }
func (full) Close() error                { return nil }
func (full) Buffered() bool              { return true }

func relayAll(t *testing.T, engine *observed, batch *gateway.Batch, written *int) error {
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
