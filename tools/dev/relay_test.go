package dev

import (
	"testing"

	"carobspoke.example/serving/process/daemon"
	"carobspoke.example/tools/standin/fleet"
	"go.uber.org/zap"
)

// TestDrainedRelayCompletesStreams drains the only keeper of an engine while it
// relays an answer to another daemon. The drain must not interrupt the relayed
// stream.
func TestDrainedRelayCompletesStreams(t *testing.T) {
	d, err := Start(t.Context(), Config{
		Fleet: fleet.Config{Size: fleet.Dev, Speedup: 10}, Log: zap.NewNop(), AdjustManifest: keepOneEngine,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	var relay, entry *daemon.Daemon
	for _, running := range d.Daemons() {
		if running.KeepsEngineOf("draft") {
			relay = running
		} else {
			entry = running
		}
	}
	streamWhileDraining(t, d, entry, relay)
}
