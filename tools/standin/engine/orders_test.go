package engine

import (
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/tools/standin/weights"
)

func TestStaleOrderIsRefusedOnlyWithFencing(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		config := testConfig()
		config.Fencing = fencing
		e, client := startEngine(t, config)
		newer := target.State{Model: testModel, Version: "1", Role: target.Decode}
		older := target.State{Model: testModel, Version: "1", Role: target.Prefill}
		if err := client.Order(t.Context(), target.Order{Fence: 7, Want: newer}); err != nil {
			t.Fatal(err)
		}
		err := client.Order(t.Context(), target.Order{Fence: 6, Want: older})
		got := e.MeasureLoad()
		switch {
		case fencing && (verdict.From(err).Verdict != verdict.NotRun || got.State.Role != target.Decode || got.Fence != 7):
			t.Errorf("with fencing: error %v, load %+v", err, got)
		case !fencing && (err != nil || got.State.Role != target.Prefill || got.Fence != 0):
			t.Errorf("without fencing: error %v, load %+v", err, got)
		}
	}
}

func TestLoadingEngineRefusesSubmitsAndFetchesWeights(t *testing.T) {
	file := weights.File{Model: testModel, Version: "2"}
	store, err := weights.Start("127.0.0.1:0", weights.Config{Rate: 1000, Bytes: map[weights.File]int64{file: 200}})
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close() //nolint:errcheck // the test is over
	config := testConfig()
	config.WeightStore = store.Address()
	e, client := startEngine(t, config)
	running := testSubmit("running")
	running.MaxTokens = 5000
	cut := mustSubmit(t, client, running)
	order := target.Order{Fence: 1, Want: target.State{Model: testModel, Version: "2"}}
	if err := client.Order(t.Context(), order); err != nil {
		t.Fatal(err)
	}
	for {
		frame, err := cut.Next()
		if err != nil {
			t.Fatal(err)
		}
		if frame.End && frame.Failure == FailureUnloaded {
			break
		}
	}
	_, err = client.Submit(t.Context(), testSubmit("early"))
	refused := verdict.From(err)
	if refused == nil || refused.Verdict != verdict.NotRun || refused.RetryAfter != time.Second {
		t.Fatalf("submit while loading: %v", err)
	}
	eventually(t, "loaded", func() bool { return !e.MeasureLoad().State.Loading })
	if e.MeasureLoad().State.Version != "2" || store.Reads(file) != 1 {
		t.Fatalf("loaded %+v with %d reads of the store", e.MeasureLoad().State, store.Reads(file))
	}
	late := testSubmit("late")
	readAll(t, mustSubmit(t, client, late), late.Prompt, 0)
}

func TestAdapterIsLoadedOnDemandAndEvictsLeastRecentlyUsed(t *testing.T) {
	config := testConfig()
	config.MaxAdapters = 2
	e, _ := startEngine(t, config)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	cost := config.toRealTime(config.AdapterLoadTime)
	for i, name := range []names.Adapter{"a", "b", "a", "c"} {
		at := now.Add(time.Duration(i) * time.Minute)
		wait := e.adapterReadyLocked(name, at).Sub(at)
		if loads := wait == cost; loads != (i != 2) {
			t.Fatalf("adapter %s is ready after %s", name, wait)
		}
	}
	if _, kept := e.adapters["a"]; !kept || len(e.adapters) != 2 {
		t.Fatalf("loaded adapters: %v", e.adapters)
	}
}
