package dev

import (
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"carobspoke.example/core/version/manifest"
	"carobspoke.example/tools/standin/engine"
	"carobspoke.example/tools/standin/fleet"
	"go.uber.org/zap"
)

// spanBody requests a prompt that needs one and a half times the memory of an
// engine.
const spanBody = `{"model":"draft","prompt":"whole book","max_tokens":20,"prompt_tokens_hint":700000}`

func startFastFleet(t *testing.T) *Environment {
	t.Helper()
	d, err := Start(t.Context(), Config{Fleet: fleet.Config{Size: fleet.Dev, Speedup: 400}, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

// waitFree waits until all memory blocks of all engines are free.
func waitFree(t *testing.T, d *Environment) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		used := 0
		for _, e := range d.Fleet.Engines() {
			report := e.MeasureLoad()
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

func TestPromptLargerThanOneEngineIsAnswered(t *testing.T) {
	d := startFastFleet(t)
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

func TestPromptTooLargeForFleetIsRefused(t *testing.T) {
	d := startFastFleet(t)
	got := post(t, d, 0, "/v1/completions", `{"model":"draft","prompt":"x","prompt_tokens_hint":4000000}`, nil)
	if got.status != http.StatusRequestEntityTooLarge || field(t, got.body, "error", "verdict") != "not_run" {
		t.Fatalf("%d %s", got.status, got.body)
	}
}

// TestLeavingEngineReceivesNoNewStreamsAndCompletesRunningOnes announces the
// departure of an engine for a time before its running answers can end. All
// answers must still be complete, and no new stream may reach the engine.
func TestLeavingEngineReceivesNoNewStreamsAndCompletesRunningOnes(t *testing.T) {
	const tokens = 2000
	d, err := Start(t.Context(), Config{Fleet: fleet.Config{Size: fleet.Dev, Speedup: 10}, Log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	type result struct {
		tokens int
		err    error
	}
	results := make(chan result, 12)
	c := client(d, 0, "customer-a")
	for i := range cap(results) {
		go func() {
			stream := c.Chat.Completions.NewStreaming(t.Context(), chat("book "+strconv.Itoa(i), tokens))
			got := 0
			for stream.Next() {
				if stream.Current().Choices[0].Delta.Content != "" {
					got++
				}
			}
			results <- result{got, stream.Err()}
		}()
	}
	leaving := waitBusyEngine(t, d)
	m := d.Manifest()
	m.Version++
	departure := time.Now().Add(2500 * time.Millisecond)
	m.Departures = []manifest.Departure{{Target: m.Targets[leaving].Name, At: departure}}
	if err := d.Publish(m); err != nil {
		t.Fatal(err)
	}
	if err := d.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	time.Sleep(lateDispatchGrace)
	before := len(d.Fleet.Engines()[leaving].AcceptedSubmits())
	time.Sleep(time.Until(departure))
	if n := d.Fleet.Engines()[leaving].MeasureLoad().RunningStreams; n != 0 {
		t.Fatalf("%d streams still run at the engine at its departure", n)
	}
	for range cap(results) {
		if got := <-results; got.err != nil || got.tokens != tokens {
			t.Fatalf("%d tokens, %v", got.tokens, got.err)
		}
	}
	if after := len(d.Fleet.Engines()[leaving].AcceptedSubmits()); after != before {
		t.Fatalf("the leaving engine received %d new streams", after-before)
	}
}

// lateDispatchGrace is the time after a version comes into force during which a
// request placed under the previous version may still reach a leaving engine.
// The requirement allows two seconds.
const lateDispatchGrace = time.Second

// waitBusyEngine waits until an engine runs streams and returns its index.
func waitBusyEngine(t *testing.T, d *Environment) int {
	t.Helper()
	for range 1000 {
		for i, e := range d.Fleet.Engines() {
			if e.MeasureLoad().RunningStreams > 0 {
				return i
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("no engine runs a stream")
	return 0
}

// TestRequestsSucceedDuringWeightRollout moves all engines to a new version of
// the weights while requests continue. Loading too many engines at once would
// leave none to serve.
func TestRequestsSucceedDuringWeightRollout(t *testing.T) {
	d := startDev(t)
	m := d.Manifest()
	m.Version++
	m.Targets = slices.Clone(m.Targets)
	for i := range m.Targets {
		if m.Targets[i].Service == "" {
			m.Targets[i].Want.Version = fleet.SecondVersion
		}
	}
	if err := d.Publish(m); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(40 * time.Second)
	for !allServe(d, fleet.SecondVersion) {
		got := post(t, d, 1, "/v1/completions", `{"model":"draft","prompt":"x","max_tokens":2}`, nil)
		if got.status != http.StatusOK {
			t.Fatalf("during the rollout: %d %s", got.status, got.body)
		}
		if time.Now().After(deadline) {
			t.Fatal("the rollout did not complete in time")
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// allServe reports whether all engines serve a version of the weights.
func allServe(d *Environment, version string) bool {
	for _, e := range d.Fleet.Engines() {
		if state := e.MeasureLoad().State; state.Version != version || state.Loading {
			return false
		}
	}
	return true
}
