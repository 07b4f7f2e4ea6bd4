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

// engine is a fake engine that takes loadTime to read weights. It interrupts the
// streams that it runs when it begins to read.
type engine struct {
	state          target.State
	loading        target.State
	loadedAt       time.Time
	fence          uint64
	checksFencing  bool
	running        int
	interrupted    int
	acceptedTokens []uint64
}

func (e *engine) order(o target.Order, now time.Time) bool {
	if e.checksFencing && o.Fence < e.fence {
		return false
	}
	if e.checksFencing {
		e.fence = o.Fence
	}
	e.acceptedTokens = append(e.acceptedTokens, o.Fence)
	if sameWeights(o.Want, e.state) {
		return true
	}
	e.interrupted += e.running
	e.running = 0
	e.state.Loading, e.loading, e.loadedAt = true, o.Want, now.Add(loadTime)
	return true
}

func (e *engine) report(now time.Time) target.Report {
	if e.state.Loading && !now.Before(e.loadedAt) {
		e.state = e.loading
	}
	return target.Report{State: e.state, Fence: e.fence, RunningStreams: e.running}
}

// simulation runs a model's engines and the decisions of daemons about them.
type simulation struct {
	engines map[names.Target]*engine
	history map[names.Target]History
	version names.Version
	index   *manifest.Index
	list    []*manifest.Target
	now     time.Time
}

func newSimulation(n int) *simulation {
	s := &simulation{engines: map[names.Target]*engine{}, history: map[names.Target]History{}, now: time.Unix(0, 0)}
	s.publish(1, n, "v1")
	for _, t := range s.list {
		s.engines[t.Name] = &engine{state: normalise(t.Want), checksFencing: true, fence: 1, running: 2}
	}
	return s
}

func (s *simulation) publish(v names.Version, n int, weights string) {
	next := &manifest.Manifest{Version: v}
	for i := range n {
		next.Targets = append(next.Targets, manifest.Target{
			Name: names.Target(fmt.Sprintf("e%02d", i)), ChecksFencing: true,
			Want: target.State{Model: "draft", Version: weights},
		})
	}
	s.version, s.index = v, manifest.NewIndex(next)
	s.list = s.index.EnginesOf("draft")
}

// step makes one decision for every engine and advances the clock by a second.
// An engine that gets no new work ends one stream in each step.
func (s *simulation) step() {
	lanes := DefaultLimits().LaneCount(len(s.list), 0)
	for _, t := range s.list {
		e := s.engines[t.Name]
		in := Input{Version: s.version, Target: t, ReportFresh: true, Report: e.report(s.now), History: s.history[t.Name]}
		before, after := LaneNeighbours(s.list, t, lanes)
		in.Before, in.After = s.members(before), s.members(after)
		d, history := Decide(in, s.now)
		s.history[t.Name] = history
		if d.Send {
			e.order(d.Order, s.now)
		}
		switch {
		case d.NoNewWork:
			e.running = max(e.running-1, 0)
		case !e.state.Loading:
			e.running = 2
		}
	}
	s.now = s.now.Add(time.Second)
}

func (s *simulation) members(list []*manifest.Target) []LaneMember {
	members := make([]LaneMember, 0, len(list))
	for _, t := range list {
		members = append(members, MemberFromReport(t.Want, s.engines[t.Name].report(s.now)))
	}
	return members
}

func (s *simulation) serving(weights string) (n int) {
	for _, t := range s.list {
		r := s.engines[t.Name].report(s.now)
		if !r.State.Loading && (weights == "" || r.State.Version == weights) {
			n++
		}
	}
	return n
}

func (s *simulation) interrupted() (n int) {
	for _, e := range s.engines {
		n += e.interrupted
	}
	return n
}

// TestRolloutKeepsCapacityAndInterruptsNothing guards against a rollout that
// takes more than a quarter of the engines out of service at the same time, or
// that orders engines which still run streams.
func TestRolloutKeepsCapacityAndInterruptsNothing(t *testing.T) {
	for _, n := range []int{1, 3, 15, 40} {
		s := newSimulation(n)
		s.publish(2, n, "v2")
		minServing, steps := n, 0
		for ; s.serving("v2") < n && steps < 1000; steps++ {
			s.step()
			minServing = min(minServing, s.serving(""))
		}
		if out := n - minServing; s.serving("v2") < n || s.interrupted() > 0 || out > max(n/4, 1) {
			t.Fatalf("%d engines: %d at v2, %d streams interrupted, %d engines out of service", n, s.serving("v2"), s.interrupted(), out)
		}
		t.Logf("%d engines: %d s, at most %d out of service", n, steps, n-minServing)
	}
}

// TestNaiveRolloutLosesCapacity shows that the simulation detects the failures
// that lanes prevent: orders to all engines at the same time take all of them
// out of service and interrupt all streams.
func TestNaiveRolloutLosesCapacity(t *testing.T) {
	s := newSimulation(15)
	s.publish(2, 15, "v2")
	for _, entry := range s.list {
		s.engines[entry.Name].order(NewOrder(2, entry), s.now)
	}
	if s.serving("") != 0 || s.interrupted() != 30 {
		t.Fatalf("%d in service, %d streams interrupted", s.serving(""), s.interrupted())
	}
}

func TestRollbackDuringRollout(t *testing.T) {
	s := newSimulation(15)
	s.publish(2, 15, "v2")
	for steps := 0; s.serving("v2") < 4 && steps < 1000; steps++ {
		s.step()
	}
	s.publish(3, 15, "v1")
	minServing := 15
	for steps := 0; s.serving("v1") < 15 && steps < 1000; steps++ {
		s.step()
		minServing = min(minServing, s.serving(""))
	}
	if s.serving("v1") < 15 || s.interrupted() > 0 || minServing < 15-3 {
		t.Fatalf("%d at v1, %d streams interrupted, at least %d in service", s.serving("v1"), s.interrupted(), minServing)
	}
}

// TestDaemonWithAnOldVersionDoesNotOrder guards against a daemon that resumes
// after a pause with an old version in force and orders an engine back to it.
func TestDaemonWithAnOldVersionDoesNotOrder(t *testing.T) {
	entry := &manifest.Target{Name: "e", ChecksFencing: true, Want: target.State{Model: "draft", Version: "v1"}}
	e := &engine{state: target.State{Model: "draft", Version: "v2", Role: target.Mixed}, checksFencing: true, fence: 2}
	if e.order(NewOrder(1, entry), time.Unix(0, 0)) {
		t.Fatal("the engine accepted an order with an old fencing token")
	}
	d, _ := Decide(Input{Version: 1, Target: entry, ReportFresh: true, Report: e.report(time.Unix(0, 0))}, time.Unix(0, 0))
	if d.Send || d.Reason != Superseded {
		t.Fatalf("decision %+v", d)
	}
}

// TestConflictingOrdersWithoutFencing has two daemons order an engine that does
// not check fencing tokens. At first the daemon with the old version decides
// last in each second; after 40 s it has the new version. The other daemon must repeat its
// order until the engine serves the wanted state, with at most 60 orders in all.
func TestConflictingOrdersWithoutFencing(t *testing.T) {
	old := &manifest.Target{Name: "e", Want: target.State{Model: "draft", Version: "v1"}}
	next := &manifest.Target{Name: "e", Want: target.State{Model: "draft", Version: "v2"}}
	e := &engine{state: normalise(old.Want)}
	now := time.Unix(0, 0)
	var oldHistory, nextHistory History
	for second := range 120 {
		oldVersion, oldTarget := names.Version(1), old
		if second > 40 {
			oldVersion, oldTarget = 2, next
		}
		var d Decision
		d, nextHistory = Decide(Input{Version: 2, Target: next, ReportFresh: true, Report: e.report(now), History: nextHistory}, now)
		if d.Send {
			e.order(d.Order, now)
		}
		d, oldHistory = Decide(Input{Version: oldVersion, Target: oldTarget, ReportFresh: true, Report: e.report(now), History: oldHistory}, now)
		if d.Send {
			e.order(d.Order, now)
		}
		now = now.Add(time.Second)
	}
	if !Converged(next.Want, e.report(now).State) {
		t.Fatalf("state %+v", e.state)
	}
	if n := len(e.acceptedTokens); n > 60 {
		t.Fatalf("%d orders in 120 s", n)
	}
	before := len(e.acceptedTokens)
	d, _ := Decide(Input{Version: 2, Target: next, ReportFresh: true, Report: e.report(now), History: nextHistory}, now)
	if d.Reason != Agreed || len(e.acceptedTokens) != before {
		t.Fatalf("decision %+v", d)
	}
}

// TestLaneStopsAtWeightsThatDoNotLoad guards against bad weights that reach the
// next engine of a lane, and against a lane that an unreachable engine blocks.
func TestLaneStopsAtWeightsThatDoNotLoad(t *testing.T) {
	entry := &manifest.Target{Name: "e", Want: target.State{Model: "draft", Version: "v2"}}
	in := Input{Version: 2, Target: entry, ReportFresh: true, Report: target.Report{State: target.State{Model: "draft", Version: "v1"}}}
	in.Before = []LaneMember{{Reachable: false}, {Reachable: true, Converged: false}}
	if d, _ := Decide(in, time.Unix(0, 0)); d.Reason != Waiting || d.NoNewWork {
		t.Fatalf("decision after an engine that does not load: %+v", d)
	}
	in.Before = []LaneMember{{Reachable: false}, {Reachable: true, Converged: true}}
	if d, _ := Decide(in, time.Unix(0, 0)); d.Reason != Emptying || !d.NoNewWork {
		t.Fatalf("decision after an engine that cannot be reached: %+v", d)
	}
}

func TestLanes(t *testing.T) {
	l := DefaultLimits()
	for n, want := range map[int]int{1: 1, 3: 1, 15: 3, 25: 6, 620: 155} {
		if got := l.LaneCount(n, 0); got != want {
			t.Errorf("%d engines: %d lanes, expected %d", n, got, want)
		}
	}
	l.StoreBytesPerSecond = 1e9
	if got := l.LaneCount(620, 100e9); got != 3 {
		t.Errorf("lanes with a slow store: %d", got)
	}
}
