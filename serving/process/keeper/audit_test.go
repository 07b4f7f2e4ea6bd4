package keeper

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/keeping"
	"carobspoke.example/core/target"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/version"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// replacedKeeper is a daemon that another one replaces as first keeper.
type replacedKeeper struct {
	*fakeDaemon
	replaced atomic.Bool
}

func (d *replacedKeeper) IsFirstKeeper(names.Target) bool { return !d.replaced.Load() }

// slowHoldings is an engine that takes a time to list what it holds, while the daemon is replaced.
type slowHoldings struct {
	*fakeEngine
	daemon *replacedKeeper
}

func (e slowHoldings) Holdings(ctx context.Context) (target.Holdings, error) {
	holdings, err := e.fakeEngine.Holdings(ctx)
	if len(holdings.Handles) > 0 {
		e.daemon.replaced.Store(true)
		time.Sleep(2 * AssignInterval)
	}
	return holdings, err
}

// TestReplacedKeeperFreesNothing has a daemon lose its lease while it reads what an engine holds.
// Guards against a lease that is checked before the read and relied on after it.
func TestReplacedKeeperFreesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &fakeEngine{state: target.State{Model: "m", Version: "v1", Role: target.Mixed}}
		d := &replacedKeeper{fakeDaemon: &fakeDaemon{holder: &version.Holder{}}}
		k := New(Config{
			Versions: d.holder, FleetView: d, Sink: d, Logger: zap.NewNop(), Registry: metrics.NewRegistry(),
			Engine: func(string) targetapi.Engine { return slowHoldings{fakeEngine: e, daemon: d} },
		})
		go k.Run(ctx)
		d.install(1, "v1", false)
		time.Sleep(10 * time.Second)
		e.mutex.Lock()
		e.holdings.Handles = []target.Handle{{ID: keeping.NewHandleID("c", "10.0.0.9:7000", 1, time.Now().Add(time.Hour), 1), Blocks: 10}}
		e.mutex.Unlock()
		time.Sleep(time.Minute)
		e.mutex.Lock()
		freed := e.freed
		e.mutex.Unlock()
		if !d.replaced.Load() {
			t.Error("the daemon has not read what the engine holds")
		}
		if len(freed) > 0 {
			t.Errorf("a daemon that is no longer the first keeper has freed %v", freed)
		}
		cancel()
		synctest.Wait()
	})
}
