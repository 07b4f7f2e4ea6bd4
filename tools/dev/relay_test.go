package dev

import (
	"context"
	"testing"
	"time"

	"carobspoke.example/serving/process/daemon"
	"carobspoke.example/tools/standin/fleet"
	"go.uber.org/zap"
)

// TestDrainedRelayCutsNothing drains the only keeper of an engine while it
// relays another daemon's answer.
func TestDrainedRelayCutsNothing(t *testing.T) {
	d, err := Start(t.Context(), Config{
		Fleet: fleet.Config{Size: fleet.Dev, Speedup: 10}, Log: zap.NewNop(), Adjust: onlyEngine,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	var relay, entry *daemon.Daemon
	for _, running := range d.Daemons() {
		if running.Keeps("draft") {
			relay = running
		} else {
			entry = running
		}
	}
	client := clientOf(entry, "customer-a")
	stream := client.Chat.Completions.NewStreaming(t.Context(), chat("p", 500))
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	removed := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		removed <- d.Remove(ctx, relay)
	}()
	tokens := 1
	for stream.Next() {
		if stream.Current().Choices[0].Delta.Content != "" {
			tokens++
		}
	}
	if err := stream.Err(); err != nil || tokens != 500 {
		t.Fatalf("%d tokens, %v", tokens, err)
	}
	if err := <-removed; err != nil {
		t.Fatal(err)
	}
}
