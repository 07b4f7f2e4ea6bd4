package orders

import (
	"fmt"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/version/manifest"
)

const loadTime = 20 * time.Second

// engine is a fake engine that reads weights for loadTime and cuts what it
// runs when it begins to.
type engine struct {
	state   target.State
	want    target.State
	ready   time.Time
	fence   uint64
	checks  bool
	running int
	cuts    int
	obeyed  []uint64
}

func (e *engine) order(o target.Order, now time.Time) bool {
	if e.checks && o.Fence < e.fence {
		return false
	}
	if e.checks {
		e.fence = o.Fence
	}
	e.obeyed = append(e.obeyed, o.Fence)
	if sameWeights(o.Want, e.state) {
		return true
	}
	e.cuts += e.running
	e.running = 0
	e.state.Loading, e.want, e.ready = true, o.Want, now.Add(loadTime)
	return true
}

func (e *engine) report(now time.Time) target.Report {
	if e.state.Loading && !now.Before(e.ready) {
		e.state = e.want
	}
	return target.Report{State: e.state, Fence: e.fence, RunningStreams: e.running}
}

// model is a model's engines with the daemons' decisions about them.
type model struct {
	engines map[names.Target]*engine
	memory  map[names.Target]Memory
	version names.Version
	index   *manifest.Index
	list    []*manifest.Target
	now     time.Time
}

func newModel(n int) *model {
	m := &model{engines: map[names.Target]*engine{}, memory: map[names.Target]Memory{}, now: time.Unix(0, 0)}
	m.publish(1, n, "v1")
	for _, t := range m.list {
		m.engines[t.Name] = &engine{state: normal(t.Want), checks: true, fence: 1, running: 2}
	}
	return m
}

func (m *model) publish(v names.Version, n int, weights string) {
	next := &manifest.Manifest{Version: v}
	for i := range n {
		next.Targets = append(next.Targets, manifest.Target{
			Name: names.Target(fmt.Sprintf("e%02d", i)), ChecksFencing: true,
			Want: target.State{Model: "draft", Version: weights},
		})
	}
	m.version, m.index = v, manifest.NewIndex(next)
	m.list = m.index.EnginesOf("draft")
}

// step decides for every engine; engines that get no new work finish theirs.
func (m *model) step() {
	lanes := DefaultLimits().Lanes(len(m.list), 0)
	for _, t := range m.list {
		e := m.engines[t.Name]
		in := Input{Version: m.version, Target: t, Known: true, Report: e.report(m.now), Memory: m.memory[t.Name]}
		before, after := Lane(m.list, t, lanes)
		in.Before, in.After = m.look(before), m.look(after)
		d, memory := Decide(in, m.now)
		m.memory[t.Name] = memory
		if d.Send {
			e.order(d.Order, m.now)
		}
		switch {
		case d.Quiet:
			e.running = max(e.running-1, 0)
		case !e.state.Loading:
			e.running = 2
		}
	}
	m.now = m.now.Add(time.Second)
}

func (m *model) look(list []*manifest.Target) []Other {
	others := make([]Other, 0, len(list))
	for _, t := range list {
		others = append(others, Look(t.Want, m.engines[t.Name].report(m.now)))
	}
	return others
}

func (m *model) serving(weights string) (n int) {
	for _, t := range m.list {
		r := m.engines[t.Name].report(m.now)
		if !r.State.Loading && (weights == "" || r.State.Version == weights) {
			n++
		}
	}
	return n
}

func (m *model) cuts() (n int) {
	for _, e := range m.engines {
		n += e.cuts
	}
	return n
}

func TestRolloutKeepsCapacityAndCutsNothing(t *testing.T) {
	for _, n := range []int{1, 3, 15, 40} {
		m := newModel(n)
		m.publish(2, n, "v2")
		least, steps := n, 0
		for ; m.serving("v2") < n && steps < 1000; steps++ {
			m.step()
			least = min(least, m.serving(""))
		}
		if out := n - least; m.serving("v2") < n || m.cuts() > 0 || out > max(n/4, 1) {
			t.Fatalf("%d engines: %d at v2, %d cut, %d out of service at once", n, m.serving("v2"), m.cuts(), out)
		}
		t.Logf("%d engines: %d s, at most %d out of service", n, steps, n-least)
	}
}

// TestNaiveRolloutLosesCapacity orders all engines at once.
func TestNaiveRolloutLosesCapacity(t *testing.T) {
	m := newModel(15)
	m.publish(2, 15, "v2")
	for _, entry := range m.list {
		m.engines[entry.Name].order(For(2, entry), m.now)
	}
	if m.serving("") != 0 || m.cuts() != 30 {
		t.Fatalf("%d in service, %d cut", m.serving(""), m.cuts())
	}
}

func TestRollbackInTheMiddle(t *testing.T) {
	m := newModel(15)
	m.publish(2, 15, "v2")
	for steps := 0; m.serving("v2") < 4 && steps < 1000; steps++ {
		m.step()
	}
	m.publish(3, 15, "v1")
	least := 15
	for steps := 0; m.serving("v1") < 15 && steps < 1000; steps++ {
		m.step()
		least = min(least, m.serving(""))
	}
	if m.serving("v1") < 15 || m.cuts() > 0 || least < 15-3 {
		t.Fatalf("%d at v1, %d cut, least %d in service", m.serving("v1"), m.cuts(), least)
	}
}

func TestAWokenDaemonWithAnOldOrder(t *testing.T) {
	entry := &manifest.Target{Name: "e", ChecksFencing: true, Want: target.State{Model: "draft", Version: "v1"}}
	e := &engine{state: target.State{Model: "draft", Version: "v2", Role: target.Mixed}, checks: true, fence: 2}
	if e.order(For(1, entry), time.Unix(0, 0)) {
		t.Fatal("the engine obeyed an old order")
	}
	d, _ := Decide(Input{Version: 1, Target: entry, Known: true, Report: e.report(time.Unix(0, 0))}, time.Unix(0, 0))
	if d.Send || d.Reason != Superseded {
		t.Fatalf("decision %+v", d)
	}
}

// TestTwoDaemonsOrderAnEngineThatChecksNothing has a daemon with an old
// version order last; the one with the newer version repeats until the engine
// serves what it wants, and the old one learns its version in the end.
func TestTwoDaemonsOrderAnEngineThatChecksNothing(t *testing.T) {
	old := &manifest.Target{Name: "e", Want: target.State{Model: "draft", Version: "v1"}}
	next := &manifest.Target{Name: "e", Want: target.State{Model: "draft", Version: "v2"}}
	e := &engine{state: normal(old.Want)}
	now := time.Unix(0, 0)
	var oldMemory, nextMemory Memory
	for second := range 120 {
		oldVersion, oldTarget := names.Version(1), old
		if second > 40 {
			oldVersion, oldTarget = 2, next
		}
		var d Decision
		d, nextMemory = Decide(Input{Version: 2, Target: next, Known: true, Report: e.report(now), Memory: nextMemory}, now)
		if d.Send {
			e.order(d.Order, now)
		}
		d, oldMemory = Decide(Input{Version: oldVersion, Target: oldTarget, Known: true, Report: e.report(now), Memory: oldMemory}, now)
		if d.Send {
			e.order(d.Order, now)
		}
		now = now.Add(time.Second)
	}
	if !Agrees(next.Want, e.report(now).State) {
		t.Fatalf("state %+v", e.state)
	}
	if n := len(e.obeyed); n > 60 {
		t.Fatalf("%d orders in 120 s", n)
	}
	before := len(e.obeyed)
	d, _ := Decide(Input{Version: 2, Target: next, Known: true, Report: e.report(now), Memory: nextMemory}, now)
	if d.Reason != Agreed || len(e.obeyed) != before {
		t.Fatalf("decision %+v", d)
	}
}

func TestALaneWithBadWeightsStops(t *testing.T) {
	entry := &manifest.Target{Name: "e", Want: target.State{Model: "draft", Version: "v2"}}
	in := Input{Version: 2, Target: entry, Known: true, Report: target.Report{State: target.State{Model: "draft", Version: "v1"}}}
	in.Before = []Other{{Known: false}, {Known: true, Agrees: false}}
	if d, _ := Decide(in, time.Unix(0, 0)); d.Reason != Waiting || d.Quiet {
		t.Fatalf("behind an engine that does not load: %+v", d)
	}
	in.Before = []Other{{Known: false}, {Known: true, Agrees: true}}
	if d, _ := Decide(in, time.Unix(0, 0)); d.Reason != Emptying || !d.Quiet {
		t.Fatalf("behind an engine that cannot be reached: %+v", d)
	}
}

func TestLanes(t *testing.T) {
	l := DefaultLimits()
	for n, want := range map[int]int{1: 1, 3: 1, 15: 3, 25: 6, 620: 155} {
		if got := l.Lanes(n, 0); got != want {
			t.Errorf("%d engines: %d lanes, expected %d", n, got, want)
		}
	}
	l.StoreRate = 1e9
	if got := l.Lanes(620, 100e9); got != 3 {
		t.Errorf("lanes with a slow store: %d", got)
	}
}
