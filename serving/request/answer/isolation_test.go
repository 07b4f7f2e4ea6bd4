package answer

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
)

// countingEngine is an isolation target that records how many streams run at a
// time.
type countingEngine struct {
	targetapi.Engine
	mu         sync.Mutex
	running    int
	maxRunning int
}

func (c *countingEngine) Holdings(context.Context) (target.Holdings, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return target.Holdings{Streams: make([]target.StreamInfo, c.running)}, nil
}

func (c *countingEngine) run(d time.Duration) {
	c.mu.Lock()
	c.running++
	c.maxRunning = max(c.maxRunning, c.running)
	c.mu.Unlock()
	time.Sleep(d)
	c.mu.Lock()
	c.running--
	c.mu.Unlock()
}

// engineSet places every suspect at the first engine that is not to be avoided.
type engineSet map[names.Target]*countingEngine

func (c engineSet) Place(_ context.Context, want PlacementRequest) (Placement, error) {
	for _, name := range []names.Target{"i1", "i2"} {
		if !slices.Contains(want.Avoid, name) {
			return Placement{Target: name, Engine: c[name], Release: func() {}}, nil
		}
	}
	return Placement{}, verdict.New(verdict.NotRun, verdict.NoTarget, "none")
}

// TestSuspectsAreIsolated sends suspects through two daemons to two isolation
// targets. All must run, and no two at a time on one target. A suspect must not
// be placed on a target that runs another daemon's suspect.
func TestSuspectsAreIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := engineSet{"i1": {}, "i2": {}}
		daemons := []Targets{NewIsolator(nil).Wrap(targets), NewIsolator(nil).Wrap(targets)}
		var wait sync.WaitGroup
		for i := range 8 {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				p, err := daemons[i%2].Place(t.Context(), PlacementRequest{Isolate: true})
				if err != nil {
					t.Error(err)
					return
				}
				targets[p.Target].run(time.Second)
				p.Release()
			})
		}
		wait.Wait()
		if targets["i1"].maxRunning != 1 || targets["i2"].maxRunning != 1 {
			t.Errorf("suspects ran together: up to %d and %d at a time", targets["i1"].maxRunning, targets["i2"].maxRunning)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go targets["i1"].run(time.Minute)
		synctest.Wait()
		_, err := daemons[0].Place(ctx, PlacementRequest{Isolate: true})
		if e := verdict.From(err); err == nil || e.Verdict != verdict.NotRun {
			t.Errorf("placed together with another daemon's suspect: %v", err)
		}
		time.Sleep(time.Minute)
	})
}
