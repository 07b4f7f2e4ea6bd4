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

// lateName is before "e" in the order of a lane.
const lateName = "z"

// engine is a fake engine that reads weights for ten seconds.
type engine struct {
	targetapi.Engine
	mutex    sync.Mutex
	checks   bool
	fence    uint64
	state    target.State
	want     target.State
	ready    time.Time
	hang     time.Duration
	orders   []uint64
	holdings target.Holdings
	freed    []target.HandleID
}

func (e *engine) Report(context.Context) (target.Report, error) {
	time.Sleep(e.hang)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.state.Loading && time.Now().After(e.ready) {
		e.state = e.want
	}
	return target.Report{State: e.state, Fence: e.fence, BootID: 1}, nil
}

func (e *engine) Order(_ context.Context, o target.Order) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.checks && o.Fence < e.fence {
		return verdict.New(verdict.NotRun, verdict.TargetRefused, "old fencing number")
	}
	if e.checks {
		e.fence = o.Fence
	}
	e.orders = append(e.orders, o.Fence)
	if e.state.Version != o.Want.Version {
		e.state.Loading, e.want, e.ready = true, o.Want, time.Now().Add(10*time.Second)
	}
	return nil
}

func (e *engine) Events(context.Context, uint64) ([]target.CacheEvent, error) { return nil, nil }

func (e *engine) Holdings(context.Context) (target.Holdings, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.holdings, nil
}

func (e *engine) Free(_ context.Context, id target.HandleID) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.freed = append(e.freed, id)
	e.holdings = target.Holdings{}
	return nil
}

// daemon is a keeper with what it needs; it believes to be first.
type daemon struct {
	holder *version.Holder
	mutex  sync.Mutex
	quiet  bool
	fences names.Version
}

func (d *daemon) Keeps(names.Target) bool                          { return true }
func (d *daemon) First(names.Target) bool                          { return true }
func (d *daemon) Awake() bool                                      { return true }
func (d *daemon) Running(names.Host) (names.Incarnation, bool)     { return 2, true }
func (d *daemon) Report(target.Report)                             {}
func (d *daemon) Unreachable(names.Target, error)                  {}
func (d *daemon) Events(names.Target, uint64, []target.CacheEvent) {}

func (d *daemon) Quiet(_ names.Target, quiet bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.quiet = quiet
}

// told returns what the sink was told last.
func (d *daemon) told() (quiet bool, fence names.Version) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.quiet, d.fences
}

func (d *daemon) Fence(v names.Version) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.fences = max(d.fences, v)
}

func (d *daemon) install(v names.Version, weights string, checks bool) {
	m := &manifest.Manifest{Version: v, Targets: []manifest.Target{{
		Name: "e", Address: "10.0.0.1:80", ChecksFencing: checks, Want: target.State{Model: "m", Version: weights},
	}}}
	d.holder.Install(m, "")
}

func start(ctx context.Context, e *engine) *daemon {
	return startWith(ctx, func(string) targetapi.Engine { return e })
}

func startWith(ctx context.Context, engine func(string) targetapi.Engine) *daemon {
	d := &daemon{holder: &version.Holder{}}
	k := New(Config{
		Versions: d.holder, Place: d, Sink: d, Logger: zap.NewNop(), Registry: metrics.NewRegistry(),
		Engine: engine,
	})
	go k.Run(ctx)
	return d
}

func (e *engine) serves() (string, []uint64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.state.Version, e.orders
}

func TestTwoKeepersOfAnEngineThatIgnoresFencing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &engine{state: target.State{Model: "m", Version: "v1", Role: target.Mixed}}
		old, next := start(ctx, e), start(ctx, e)
		old.install(1, "v1", false)
		next.install(2, "v2", false)
		time.Sleep(time.Minute)
		old.install(2, "v2", false)
		time.Sleep(time.Minute)
		if v, orders := e.serves(); v != "v2" || len(orders) > 40 {
			t.Errorf("serves %s after orders %v", v, orders)
		}
		cancel()
		synctest.Wait()
	})
}

func TestAnOldOrderAtAnEngineThatChecks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &engine{state: target.State{Model: "m", Version: "v2", Role: target.Mixed}, checks: true, fence: 2}
		old := start(ctx, e)
		old.install(1, "v1", true)
		time.Sleep(time.Minute)
		if v, orders := e.serves(); v != "v2" || len(orders) != 0 {
			t.Errorf("serves %s after orders %v", v, orders)
		}
		if _, fence := old.told(); fence != 2 {
			t.Errorf("fencing number %d handed on", fence)
		}
		cancel()
		synctest.Wait()
	})
}

// TestALateAnswerSendsNoOldOrder has the engine before another one in its lane
// answer late, while the next version comes into force.
func TestALateAnswerSendsNoOldOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		serving := target.State{Model: "m", Version: "v1", Role: target.Mixed}
		late := &engine{state: target.State{Model: "m", Version: "v0", Role: target.Mixed}, hang: 20 * time.Second}
		e := &engine{state: serving}
		byAddress := map[string]*engine{"10.0.0.1:80": e, "10.0.0.2:80": late}
		d := startWith(ctx, func(address string) targetapi.Engine { return byAddress[address] })
		m := func(v names.Version, weights string) *manifest.Manifest {
			want := target.State{Model: "m", Version: weights}
			return &manifest.Manifest{Version: v, Targets: []manifest.Target{
				{Name: "e", Address: "10.0.0.1:80", Want: want}, {Name: lateName, Address: "10.0.0.2:80", Want: want},
			}}
		}
		before := manifest.NewIndex(m(1, "v0")).EnginesOf("m")
		if first, _ := orders.LaneNeighbours(before, before[0], 1); len(first) != 1 || first[0].Name != lateName {
			t.Fatalf("lane: %v", first)
		}
		d.holder.Install(m(1, "v0"), "")
		time.Sleep(30 * time.Second)
		d.holder.Install(m(2, "v1"), "")
		time.Sleep(5 * time.Minute)
		if v, orders := e.serves(); v != "v1" || len(orders) != 0 {
			t.Errorf("serves %s after orders %v", v, orders)
		}
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
	})
}

// TestALeavingEngineHoldsNobodyUp has the engine before another one in its lane
// leave without what is wanted.
func TestALeavingEngineHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &engine{state: target.State{Model: "m", Version: "v1", Role: target.Mixed}}
		leaving := &engine{state: e.state}
		byAddress := map[string]*engine{"10.0.0.1:80": e, "10.0.0.2:80": leaving}
		d := startWith(ctx, func(address string) targetapi.Engine { return byAddress[address] })
		want := target.State{Model: "m", Version: "v2"}
		m := &manifest.Manifest{Version: 1, Targets: []manifest.Target{
			{Name: "e", Address: "10.0.0.1:80", Want: want}, {Name: lateName, Address: "10.0.0.2:80", Want: want},
		}}
		m.Departures = []manifest.Departure{{Target: lateName, At: time.Now().Add(time.Hour)}}
		d.holder.Install(m, "")
		time.Sleep(time.Minute)
		if v, _ := e.serves(); v != "v2" {
			t.Errorf("serves %s", v)
		}
		if v, orders := leaving.serves(); v != "v1" || len(orders) != 0 {
			t.Errorf("the leaving engine serves %s after orders %v", v, orders)
		}
		cancel()
		synctest.Wait()
	})
}

func TestAnEngineIsQuietBeforeItReadsWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := &engine{state: target.State{Model: "m", Version: "v1", Role: target.Mixed}}
		d := start(ctx, e)
		d.install(2, "v2", false)
		time.Sleep(2 * time.Second)
		quiet, _ := d.told()
		if _, orders := e.serves(); !quiet || len(orders) != 0 {
			t.Errorf("quiet %v, orders %v", quiet, orders)
		}
		time.Sleep(30 * time.Second)
		quiet, _ = d.told()
		if v, orders := e.serves(); v != "v2" || len(orders) != 1 || quiet {
			t.Errorf("serves %s after orders %v, quiet %v", v, orders, quiet)
		}
		cancel()
		synctest.Wait()
	})
}

func TestLeftoversAreFreed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		id := keeping.NewHandleID("c", "10.0.0.9:7000", 1, time.Now().Add(time.Hour), 1)
		e := &engine{state: target.State{Model: "m", Version: "v1", Role: target.Mixed}}
		e.holdings.Handles = []target.Handle{{ID: id, Blocks: 10}}
		d := start(ctx, e)
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
