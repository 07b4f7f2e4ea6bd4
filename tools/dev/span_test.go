package dev

import (
	"net/http"
	"testing"
	"time"

	"carobspoke.example/tools/standin/engine"
	"carobspoke.example/tools/standin/fleet"
	"go.uber.org/zap"
)

// spanBody is a prompt of one and a half engines' memory.
const spanBody = `{"model":"draft","prompt":"whole book","max_tokens":20,"prompt_tokens_hint":700000}`

func startFast(t *testing.T) *Dev {
	t.Helper()
	d, err := Start(t.Context(), Config{Fleet: fleet.Config{Size: fleet.Dev, Speedup: 400}, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// waitFree waits until no engine holds a block of a request.
func waitFree(t *testing.T, d *Dev) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		used := 0
		for _, e := range d.Fleet.Engines() {
			report := e.Measure()
			used += report.TotalBlocks - report.FreeBlocks
		}
		if used == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d blocks are still in use", used)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestPromptOverOneEnginesMemoryIsAnswered(t *testing.T) {
	d := startFast(t)
	got := post(t, d, 0, "/v1/completions", spanBody, nil)
	if got.status != http.StatusOK {
		t.Fatalf("%d %s", got.status, got.body)
	}
	want := ""
	for i := range 20 {
		want += engine.Token("whole book", i)
	}
	if text := choiceText(t, got.body); text != want {
		t.Fatalf("answer %q", text)
	}
	waitFree(t, d)
}

func TestPromptThatFitsNowhereIsRefusedAtOnce(t *testing.T) {
	d := startFast(t)
	got := post(t, d, 0, "/v1/completions", `{"model":"draft","prompt":"x","prompt_tokens_hint":4000000}`, nil)
	if got.status != http.StatusRequestEntityTooLarge || field(t, got.body, "error", "verdict") != "not_run" {
		t.Fatalf("%d %s", got.status, got.body)
	}
}
