package distribution

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// naive takes whatever is above what it has, from the service or from a peer.
// It goes down only by forgetting what it had when it restarts.
type naive struct {
	inForce  Held
	watching bool
}

func (n *naive) InForce() Held  { return n.inForce }
func (n *naive) Watching() bool { return n.watching }

func (n *naive) Step(_ time.Time, event Event) []Action {
	switch e := event.(type) {
	case RootRead:
		n.watching = false
		return n.take(e.Held)
	case Tick:
		if !n.watching {
			n.watching = true
			return []Action{Watch{}}
		}
	case Told:
		return n.take(e.Held)
	}
	return nil
}

func (n *naive) take(h Held) []Action {
	if h.Version <= n.inForce.Version {
		return nil
	}
	n.inForce = h
	return []Action{Install{Held: h}}
}

func newTestDriver(members int, useNaive bool) *driver {
	config := DefaultMeasureConfig(members)
	config.DataCentres = 3
	d := newDriver(config)
	if useNaive {
		d.build = func(Member, *rand.Rand) stepper { return &naive{} }
	}
	return d
}

func (d *driver) bootAll() {
	for _, x := range d.daemons {
		d.boot(x)
	}
}

// lowest returns the lowest version that any daemon has had in force since its
// last start, and how many daemons have one in force now.
func (d *driver) lowest() (v names.Version, inForce int) {
	for _, x := range d.daemons {
		for _, h := range x.history {
			if v == 0 || h < v {
				v = h
			}
		}
		if x.machine.InForce().Version > 0 {
			inForce++
		}
	}
	return v, inForce
}

func (d *driver) allHave(v names.Version) bool {
	for _, x := range d.daemons {
		if x.machine.InForce().Version != v {
			return false
		}
	}
	return true
}

func TestBootAgainstStaleService(t *testing.T) {
	run := func(useNaive bool) []names.Version {
		d := newTestDriver(9, useNaive)
		d.published = held(9)
		d.bootAll()
		d.runFor(30 * time.Second)
		if !d.allHave(9) {
			t.Fatal("version 9 is not in force everywhere")
		}
		d.stale = held(5)
		x := d.daemons[4]
		d.boot(x)
		d.runFor(30 * time.Second)
		return x.history
	}
	if h := run(true); h[0] != 5 {
		t.Fatalf("the naive daemon did not go back: %v", h)
	}
	if h := run(false); len(h) != 1 || h[0] != 9 {
		t.Fatalf("versions in force after the restart: %v", h)
	}
}

func TestWholeFleetRestartsAgainstStaleService(t *testing.T) {
	run := func(useNaive bool) *driver {
		d := newTestDriver(9, useNaive)
		d.stale, d.engines = held(5), 9
		d.bootAll()
		d.runFor(2 * time.Minute)
		return d
	}
	if v, n := run(true).lowest(); v != 5 || n != 9 {
		t.Fatalf("the naive fleet did not go back: version %d at %d", v, n)
	}
	d := run(false)
	if v, n := d.lowest(); n != 0 {
		t.Fatalf("version %d in force at %d daemons below the engines' fencing numbers", v, n)
	}
	d.stale = held(10)
	d.runFor(15 * time.Second)
	if !d.allHave(10) {
		t.Fatal("a newer version does not end the wait")
	}
}

func TestFirstStartOfAFleet(t *testing.T) {
	for _, members := range []int{1, 2, 9, 40} {
		d := newTestDriver(members, false)
		d.published = held(1)
		d.bootAll()
		d.runFor(10 * time.Second)
		if !d.allHave(1) {
			t.Fatalf("%d daemons: not in force", members)
		}
	}
}

func TestPartition(t *testing.T) {
	d := newTestDriver(9, false)
	d.published = held(3)
	d.bootAll()
	d.runFor(10 * time.Second)
	apart := func(a, b int) bool { return (a < 3) != (b < 3) }
	d.cut = apart
	d.tellMembers()
	// The smaller side restarts whole: nobody there remembers anything, and
	// the service shows it an old version.
	d.stale = held(2)
	for _, x := range d.daemons[:3] {
		d.boot(x)
	}
	// One of the larger side restarts: its peers remember.
	d.boot(d.daemons[8])
	d.runFor(time.Hour)
	for _, x := range d.daemons[:3] {
		if len(x.history) != 0 {
			t.Fatalf("the smaller side took %v", x.history)
		}
	}
	if h := d.daemons[8].history; len(h) != 1 || h[0] != 3 {
		t.Fatalf("the larger side took %v", h)
	}
	d.cut = func(int, int) bool { return false }
	d.tellMembers()
	d.runFor(10 * time.Second)
	if !d.allHave(3) {
		t.Fatal("the sides do not agree afterwards")
	}
}

// TestAfterAPartition has one side hear of nothing while the other takes a
// version, long enough for all announcements to have ended.
func TestAfterAPartition(t *testing.T) {
	d := newTestDriver(9, false)
	d.published = held(3)
	d.bootAll()
	d.runFor(10 * time.Second)
	d.cut = func(a, b int) bool { return (a < 3) != (b < 3) }
	d.stale, d.sees = held(3), func(a int) bool { return a < 3 }
	d.tellMembers()
	d.published = held(4)
	d.runFor(time.Hour)
	for _, x := range d.daemons {
		if got := x.machine.InForce().Version; (got == 4) != (x.index >= 3) {
			t.Fatalf("daemon %d has version %d", x.index, got)
		}
	}
	d.cut = func(int, int) bool { return false }
	d.tellMembers()
	d.runFor(10 * time.Second)
	if !d.allHave(4) {
		t.Fatal("the sides do not agree afterwards")
	}
}

func (d *driver) tellMembers() {
	for _, x := range d.daemons {
		if x.machine != nil {
			d.step(x, d.membersOf(x))
		}
	}
}

func TestLyingPeersAreLeftOut(t *testing.T) {
	d := newTestDriver(9, false)
	d.published = held(1)
	d.bootAll()
	d.runFor(10 * time.Second)
	d.liar = func(a int) bool { return a < 3 }
	for v := names.Version(2); v < 12; v++ {
		d.published = held(v)
		d.runFor(10 * time.Second)
		if !d.allHave(v) {
			t.Fatalf("version %d is not in force everywhere", v)
		}
	}
	lied := uint64(0)
	for _, x := range d.daemons {
		lied += x.machine.(*Machine).Counters().PeerLied
	}
	if lied == 0 {
		t.Fatal("no lie was met")
	}
}

func TestBadVersionsAreRefusedWithTheOldInForce(t *testing.T) {
	m := settled(held(4))
	now := time.Unix(100, 0)
	m.Step(now, Told{From: "a", Held: Held{Version: 4, Digest: "other"}})
	if m.InForce() != held(4) || m.Counters().Conflicts != 1 {
		t.Fatalf("the same version with other content: %+v", m.Counters())
	}
	fetches := m.Step(now, Told{From: "a", Held: held(5)})
	m.Step(now, FetchFailed{Held: held(5), Failure: Content})
	again := m.Step(now, Told{From: "b", Held: held(5)})
	if len(fetches) != 1 || len(again) != 0 || m.InForce() != held(4) || m.Counters().BadContent != 1 {
		t.Fatalf("%v, %v, %+v", fetches, again, m.Counters())
	}
	m.Step(now, RootRead{Revision: 1, Held: held(3)})
	if m.InForce() != held(4) || m.Counters().Reverts != 1 {
		t.Fatalf("a revert at the service: %+v", m.Counters())
	}
}

func TestAClaimThatNobodyCanGiveHoldsNothingUp(t *testing.T) {
	m := settled(held(4))
	now := time.Unix(100, 0)
	m.Step(now, Told{From: "a", Held: held(1000)})
	m.Step(now, FetchFailed{Held: held(1000), Failure: Unreachable})
	actions := m.Step(now, Told{From: "b", Held: held(5)})
	if len(actions) != 1 || actions[0] != (FetchPeer{Held: held(5), Host: "b"}) {
		t.Fatalf("actions %v", actions)
	}
	m.Step(now, Fetched{Held: held(5)})
	if m.InForce() != held(5) {
		t.Fatalf("in force: %v", m.InForce())
	}
}

func settled(h Held) *Machine {
	self := Member{Host: "self", DataCentre: "a"}
	m := New(DefaultConfig(self), rand.New(rand.NewPCG(1, 1)), time.Unix(0, 0))
	m.inForce = h
	m.boot.end()
	m.service.notBefore = time.Unix(1<<40, 0)
	return m
}

// TestNeverDownWhateverHappens throws random events at a machine.
func TestNeverDownWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := Member{Host: "self", DataCentre: "a"}
		seed := rapid.Uint64().Draw(t, "seed")
		m := New(DefaultConfig(self), rand.New(rand.NewPCG(seed, 0)), time.Unix(0, 0))
		now := time.Unix(0, 0)
		last := names.Version(0)
		fetched := map[Held]bool{}
		calls := 0.0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait")))
			event := drawEvent(t)
			if f, ok := event.(Fetched); ok {
				fetched[f.Held] = true
			}
			for _, a := range m.Step(now, event) {
				calls += callsOf(a)
				install, ok := a.(Install)
				if ok && (install.Held.Version <= last || !fetched[install.Held]) {
					t.Fatalf("installed %v after %d", install.Held, last)
				}
			}
			last = m.InForce().Version
		}
		if most := 2 * m.config.FleetCalls * (now.Sub(time.Unix(0, 0)).Seconds() + 1); calls > most {
			t.Fatalf("%g calls in %s", calls, now.Sub(time.Unix(0, 0)))
		}
	})
}

func callsOf(a Action) float64 {
	switch a := a.(type) {
	case Read, Watch:
		return 1
	case FetchService:
		return float64(a.Calls)
	default:
		return 0
	}
}

func drawEvent(t *rapid.T) Event {
	h := Held{
		Version: names.Version(rapid.Uint64Range(0, 6).Draw(t, "version")),
		Digest:  names.Digest(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "digest")),
	}
	host := names.Host(rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "host"))
	events := []Event{
		Tick{},
		Told{From: host, Held: h},
		Fetched{Held: h},
		Fence{Version: h.Version},
		Members{Live: []Member{{Host: "p", DataCentre: "a"}, {Host: "q", DataCentre: "b"}}},
		Members{},
		RootRead{Revision: uint64(h.Version), Held: h, Missing: 3},
		RootRead{Held: h, Watched: true},
		ReadFailed{},
		ReadFailed{Watched: true, Quiet: true},
		FetchFailed{Held: h, Failure: Failure(rapid.IntRange(0, 3).Draw(t, "failure")), Missing: 1},
		TargetsAnswered{Held: h, Asked: 4, Answered: 1},
	}
	return rapid.SampledFrom(events).Draw(t, "event")
}
