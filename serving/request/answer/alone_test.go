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

// cell is an isolation target that runs one stream for a second.
type cell struct {
	targetapi.Engine
	mu      sync.Mutex
	running int
	most    int
}

func (c *cell) Holdings(context.Context) (target.Holdings, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return target.Holdings{Streams: make([]target.StreamInfo, c.running)}, nil
}

func (c *cell) run(d time.Duration) {
	c.mu.Lock()
	c.running++
	c.most = max(c.most, c.running)
	c.mu.Unlock()
	time.Sleep(d)
	c.mu.Lock()
	c.running--
	c.mu.Unlock()
}

// cells places every suspect at the first cell that it need not avoid.
type cells map[names.Target]*cell

func (c cells) Place(_ context.Context, want Want) (Placement, error) {
	for _, name := range []names.Target{"i1", "i2"} {
		if !slices.Contains(want.Avoid, name) {
			return Placement{Target: name, Engine: c[name], Release: func() {}}, nil
		}
	}
	return Placement{}, verdict.New(verdict.NotRun, verdict.NoTarget, "none")
}

// TestSuspectsRunAlone sends suspects through two daemons to two isolation
// targets: none ever has company, and all run.
func TestSuspectsRunAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := cells{"i1": {}, "i2": {}}
		daemons := []Targets{NewAlone(nil).Wrap(targets), NewAlone(nil).Wrap(targets)}
		var wait sync.WaitGroup
		for i := range 8 {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				p, err := daemons[i%2].Place(t.Context(), Want{Isolate: true})
				if err != nil {
					t.Error(err)
					return
				}
				targets[p.Target].run(time.Second)
				p.Release()
			})
		}
		wait.Wait()
		if targets["i1"].most != 1 || targets["i2"].most != 1 {
			t.Errorf("suspects met: %d and %d", targets["i1"].most, targets["i2"].most)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go targets["i1"].run(time.Minute)
		synctest.Wait()
		_, err := daemons[0].Place(ctx, Want{Isolate: true})
		if e := verdict.From(err); err == nil || e.Verdict != verdict.NotRun {
			t.Errorf("placed beside another daemon's suspect: %v", err)
		}
		time.Sleep(time.Minute)
	})
}
