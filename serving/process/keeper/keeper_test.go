package keeper

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/keeping"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/core/version/orders"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/version"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// firstInLane is the name of an engine that is before "e" in its lane.
const firstInLane = "z"

// fakeEngine is an engine that takes ten seconds to load weights.
type fakeEngine struct {
	targetapi.Engine
	mutex         sync.Mutex
	checksFencing bool
	fence         uint64
	state         target.State
	want          target.State
	readyAt       time.Time
	reportDelay   time.Duration
	orders        []uint64
	holdings      target.Holdings
	freed         []target.HandleID
}

func (e *fakeEngine) Report(context.Context) (target.Report, error) {
	time.Sleep(e.reportDelay)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.state.Loading && time.Now().After(e.readyAt) {
		e.state = e.want
	}
	return target.Report{State: e.state, Fence: e.fence, BootID: 1}, nil
}

func (e *fakeEngine) Order(_ context.Context, o target.Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.checksFencing && o.Fence < e.fence {
		return verdict.New(verdict.NotRun, verdict.TargetRefused, "old fencing number")
	}
	if e.checksFencing {
		e.fence = o.Fence
	}
	e.orders = append(e.orders, o.Fence)
	if e.state.Version != o.Want.Version {
		e.state.Loading, e.want, e.readyAt = true, o.Want, time.Now().Add(10*time.Second)
	}
	return nil
}

func (e *fakeEngine) Events(context.Context, uint64) ([]target.CacheEvent, error) { return nil, nil }

func (e *fakeEngine) Holdings(context.Context) (target.Holdings, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.holdings, nil
}

func (e *fakeEngine) Free(_ context.Context, id target.HandleID) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.freed = append(e.freed, id)
	e.holdings = target.Holdings{}
	return nil
}

// fakeDaemon implements FleetView and Sink for a Keeper. It claims to be the
// first keeper of each engine.
type fakeDaemon struct {
	holder    *version.Holder
	mutex     sync.Mutex
	noNewWork bool
	maxFence  names.Version
}

func (d *fakeDaemon) Keeps(names.Target) bool                                 { return true }
func (d *fakeDaemon) IsFirstKeeper(names.Target) bool                         { return true }
func (d *fakeDaemon) ViewIsCurrent() bool                                     { return true }
func (d *fakeDaemon) RunningIncarnation(names.Host) (names.Incarnation, bool) { return 2, true }
func (d *fakeDaemon) Report(target.Report)                                    {}
func (d *fakeDaemon) Unreachable(names.Target, error)                         {}
func (d *fakeDaemon) Events(names.Target, uint64, []target.CacheEvent)        {}

func (d *fakeDaemon) NoNewWork(_ names.Target, noNewWork bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.noNewWork = noNewWork
}

// received returns the last value passed to NoNewWork and the highest fencing
// token.
func (d *fakeDaemon) received() (noNewWork bool, fence names.Version) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.noNewWork, d.maxFence
}

func (d *fakeDaemon) Fence(v names.Version) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.maxFence = max(d.maxFence, v)
}

func (d *fakeDaemon) install(v names.Version, weights string, checksFencing bool) {
	m := &manifest.Manifest{Version: v, Targets: []manifest.Target{{
		Name: "e", Address: "10.0.0.1:80", ChecksFencing: checksFencing, Want: target.State{Model: "m", Version: weights},
	}}}
	d.holder.Install(m, "")
}

func startKeeper(ctx context.Context, e *fakeEngine) *fakeDaemon {
	return startKeeperWith(ctx, func(string) targetapi.Engine { return e })
}

func startKeeperWith(ctx context.Context, engine func(string) targetapi.Engine) *fakeDaemon {
	d := &fakeDaemon{holder: &version.Holder{}}
	k := New(Config{
		Versions: d.holder, FleetView: d, Sink: d, Logger: zap.NewNop(), Registry: metrics.NewRegistry(),
		Engine: engine,
	})
	go k.Run(ctx)
	return d
}

func (e *fakeEngine) versionAndOrders() (string, []uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.state.Version, e.orders
}

// TestTwoKeepersOfEngineWithoutFencing runs two keepers that both hold the lease, with
// different versions. They overwrite each other's orders until both have the same
// version; the engine must then serve it, after at most 40 orders.
func TestTwoKeepersOfEngineWithoutFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &fakeEngine{state: target.State{Model: "m", Version: "v1", Role: target.Mixed}}
		old, next := startKeeper(ctx, e), startKeeper(ctx, e)
		old.install(1, "v1", false)
		next.install(2, "v2", false)
		time.Sleep(time.Minute)
		old.install(2, "v2", false)
		time.Sleep(time.Minute)
		if v, orders := e.versionAndOrders(); v != "v2" || len(orders) > 40 {
			t.Errorf("serves %s after orders %v", v, orders)
		}
		cancel()
		synctest.Wait()
	})
}

// TestNoStaleOrderAtEngineWithFencing runs a keeper with an older version than the
// engine's fencing token. The engine must get no order, and the sink must receive
// the token.
func TestNoStaleOrderAtEngineWithFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &fakeEngine{state: target.State{Model: "m", Version: "v2", Role: target.Mixed}, checksFencing: true, fence: 2}
		old := startKeeper(ctx, e)
		old.install(1, "v1", true)
		time.Sleep(time.Minute)
		if v, orders := e.versionAndOrders(); v != "v2" || len(orders) != 0 {
			t.Errorf("serves %s after orders %v", v, orders)
		}
		if _, fence := old.received(); fence != 2 {
			t.Errorf("the sink received the fencing token %d", fence)
		}
		cancel()
		synctest.Wait()
	})
}

// TestNoStaleOrderAfterSlowLaneReport guards against an order of a version that is
// no longer in force: the next version is installed while the keeper waits for the
// report of the engine before this one in the lane.
func TestNoStaleOrderAfterSlowLaneReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		serving := target.State{Model: "m", Version: "v1", Role: target.Mixed}
		slow := &fakeEngine{state: target.State{Model: "m", Version: "v0", Role: target.Mixed}, reportDelay: 20 * time.Second}
		e := &fakeEngine{state: serving}
		byAddress := map[string]*fakeEngine{"10.0.0.1:80": e, "10.0.0.2:80": slow}
		d := startKeeperWith(ctx, func(address string) targetapi.Engine { return byAddress[address] })
		m := func(v names.Version, weights string) *manifest.Manifest {
			want := target.State{Model: "m", Version: weights}
			return &manifest.Manifest{Version: v, Targets: []manifest.Target{
				{Name: "e", Address: "10.0.0.1:80", Want: want}, {Name: firstInLane, Address: "10.0.0.2:80", Want: want},
			}}
		}
		before := manifest.NewIndex(m(1, "v0")).EnginesOf("m")
		if first, _ := orders.LaneNeighbours(before, before[0], 1); len(first) != 1 || first[0].Name != firstInLane {
			t.Fatalf("lane: %v", first)
		}
		d.holder.Install(m(1, "v0"), "")
		time.Sleep(30 * time.Second)
		d.holder.Install(m(2, "v1"), "")
		time.Sleep(5 * time.Minute)
		if v, orders := e.versionAndOrders(); v != "v1" || len(orders) != 0 {
			t.Errorf("serves %s after orders %v", v, orders)
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// TestLeavingEngineDoesNotBlockLane guards against a lane that is blocked because
// the engine before another one leaves without having reached its wanted state.
func TestLeavingEngineDoesNotBlockLane(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &fakeEngine{state: target.State{Model: "m", Version: "v1", Role: target.Mixed}}
		leaving := &fakeEngine{state: e.state}
		byAddress := map[string]*fakeEngine{"10.0.0.1:80": e, "10.0.0.2:80": leaving}
		d := startKeeperWith(ctx, func(address string) targetapi.Engine { return byAddress[address] })
		want := target.State{Model: "m", Version: "v2"}
		m := &manifest.Manifest{Version: 1, Targets: []manifest.Target{
			{Name: "e", Address: "10.0.0.1:80", Want: want}, {Name: firstInLane, Address: "10.0.0.2:80", Want: want},
		}}
		m.Departures = []manifest.Departure{{Target: firstInLane, At: time.Now().Add(time.Hour)}}
		d.holder.Install(m, "")
		time.Sleep(time.Minute)
		if v, _ := e.versionAndOrders(); v != "v2" {
			t.Errorf("serves %s", v)
		}
		if v, orders := leaving.versionAndOrders(); v != "v1" || len(orders) != 0 {
			t.Errorf("the leaving engine serves %s after orders %v", v, orders)
		}
		cancel()
		synctest.Wait()
	})
}

func TestEngineGetsNoNewWorkBeforeLoadingWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &fakeEngine{state: target.State{Model: "m", Version: "v1", Role: target.Mixed}}
		d := startKeeper(ctx, e)
		d.install(2, "v2", false)
		time.Sleep(2 * time.Second)
		noNewWork, _ := d.received()
		if _, orders := e.versionAndOrders(); !noNewWork || len(orders) != 0 {
			t.Errorf("no new work %v, orders %v", noNewWork, orders)
		}
		time.Sleep(30 * time.Second)
		noNewWork, _ = d.received()
		if v, orders := e.versionAndOrders(); v != "v2" || len(orders) != 1 || noNewWork {
			t.Errorf("serves %s after orders %v, no new work %v", v, orders, noNewWork)
		}
		cancel()
		synctest.Wait()
	})
}

// TestHandleOfOldIncarnationIsFreed has an engine hold a handle of incarnation 1
// while incarnation 2 runs on the owner's host.
func TestHandleOfOldIncarnationIsFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		id := keeping.NewHandleID("c", "10.0.0.9:7000", 1, time.Now().Add(time.Hour), 1)
		e := &fakeEngine{state: target.State{Model: "m", Version: "v1", Role: target.Mixed}}
		e.holdings.Handles = []target.Handle{{ID: id, Blocks: 10}}
		d := startKeeper(ctx, e)
		d.install(1, "v1", false)
		time.Sleep(30 * time.Second)
		e.mutex.Lock()
		freed := e.freed
		e.mutex.Unlock()
		if len(freed) != 1 || freed[0] != id {
			t.Errorf("freed %v", freed)
		}
		cancel()
		synctest.Wait()
	})
}
