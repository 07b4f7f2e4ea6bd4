package membership_test

import (
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/membership/fakenet"
)

// twoRegions puts dc0 into one region and the other data centres into another.
func twoRegions() membership.Config {
	c := membership.DefaultConfig()
	c.Regions = map[names.DataCentre]names.Region{"dc0": "east", "dc1": "west", "dc2": "west"}
	return c
}

func settled(t *testing.T, nodes int, o fakenet.Options) *fakenet.Net {
	t.Helper()
	n := fakenet.New(o)
	n.Fleet(nodes, 3)
	took, ok := n.Until(time.Minute, func() bool { return everyone(n, nodes) })
	if !ok {
		t.Fatalf("the fleet did not form in %s: %v", took, views(n))
	}
	return n
}

// everyone reports whether all running nodes are awake and count want members.
func everyone(n *fakenet.Net, want int) bool {
	for _, v := range n.Nodes {
		if v.Down || v.Paused {
			continue
		}
		if len(v.Machine.Live()) != want || !v.Machine.Awake(n.Now) {
			return false
		}
	}
	return true
}

func views(n *fakenet.Net) []int {
	sizes := make([]int, 0, len(n.Nodes))
	for _, v := range n.Nodes {
		sizes = append(sizes, len(v.Machine.Live()))
	}
	return sizes
}

func TestAllStartAtOnceAndFindEachOther(t *testing.T) {
	n := fakenet.New(fakenet.Options{Seed: 1, Config: twoRegions()})
	n.Fleet(30, 3)
	if n.Nodes[0].Machine.Awake(n.Now) {
		t.Fatal("a daemon that has just started trusts its view")
	}
	if took, ok := n.Until(30*time.Second, func() bool { return everyone(n, 30) }); !ok {
		t.Fatalf("after %s: %v", took, views(n))
	}
}

func TestADeathIsSeenByAllAndARestartToo(t *testing.T) {
	n := settled(t, 30, fakenet.Options{Seed: 2, Config: twoRegions()})
	dead := n.Nodes[7]
	dead.Down = true
	if took, ok := n.Until(30*time.Second, func() bool { return everyone(n, 29) }); !ok {
		t.Fatalf("after %s: %v", took, views(n))
	}
	n.Start(dead.Host, "dc1", []names.Host{n.Nodes[1].Host})
	if took, ok := n.Until(30*time.Second, func() bool { return everyone(n, 30) }); !ok {
		t.Fatalf("after %s: %v", took, views(n))
	}
}

func TestOneWayLossOfALinkKillsNobody(t *testing.T) {
	n := settled(t, 12, fakenet.Options{Seed: 3, Config: twoRegions()})
	a, b := n.Nodes[0], n.Nodes[1]
	n.Cut = func(from, to *fakenet.Node) bool { return from == a && to == b }
	n.Run(2 * time.Minute)
	if !everyone(n, 12) {
		t.Fatalf("views %v", views(n))
	}
	if deaths(n) != 0 {
		t.Fatalf("%d deaths", deaths(n))
	}
}

func TestADaemonThatHearsNothingBlamesItself(t *testing.T) {
	n := settled(t, 12, fakenet.Options{Seed: 4, Config: twoRegions()})
	deaf := n.Nodes[0]
	n.Cut = func(_, to *fakenet.Node) bool { return to == deaf }
	n.Run(12 * time.Second)
	if deaf.Machine.Awake(n.Now) {
		t.Fatal("it trusts its view")
	}
	if got := len(deaf.Machine.Live()); got != 12 {
		t.Fatalf("it counts %d", got)
	}
	n.Run(20 * time.Second)
	for _, v := range n.Nodes[1:] {
		if got := len(v.Machine.Live()); got != 11 {
			t.Fatalf("%s counts %d", v.Host, got)
		}
	}
	n.Cut = nil
	if took, ok := n.Until(time.Minute, func() bool { return everyone(n, 12) }); !ok {
		t.Fatalf("after %s: %v", took, views(n))
	}
}

func TestADaemonThatIsNotHeardIsNotReady(t *testing.T) {
	n := settled(t, 12, fakenet.Options{Seed: 5, Config: twoRegions()})
	mute := n.Nodes[0]
	n.Cut = func(from, _ *fakenet.Node) bool { return from == mute }
	n.Run(12 * time.Second)
	if mute.Machine.Awake(n.Now) {
		t.Fatal("it trusts its view")
	}
}

func TestAPausedProcessLearnsFirstThatItIsOld(t *testing.T) {
	n := settled(t, 12, fakenet.Options{Seed: 6, Config: twoRegions()})
	paused := n.Nodes[3]
	n.Pause(paused)
	n.Run(time.Minute)
	if !everyone(n, 11) {
		t.Fatalf("views %v", views(n))
	}
	if paused.Machine.Awake(n.Now) {
		t.Fatal("it trusts its view before its first tick")
	}
	n.Resume(paused)
	if paused.Machine.Awake(n.Now) {
		t.Fatal("it trusts its view on old datagrams")
	}
	if took, ok := n.Until(30*time.Second, func() bool { return everyone(n, 12) }); !ok {
		t.Fatalf("after %s: %v", took, views(n))
	}
	if got := paused.Machine.Counters().Deaths; got != 0 {
		t.Fatalf("it declared %d dead on waking", got)
	}
}

func TestARegionApartForAnHourComesBack(t *testing.T) {
	n := settled(t, 30, fakenet.Options{Seed: 7, Config: twoRegions()})
	n.Cut = func(from, to *fakenet.Node) bool { return from.Region != to.Region }
	n.Run(time.Hour)
	for _, v := range n.Nodes {
		want := 10
		if v.Region == "west" {
			want = 20
		}
		if got := len(v.Machine.Live()); got != want || len(v.Machine.Unreachable()) != 30-want {
			t.Fatalf("%s counts %d and keeps %d", v.Host, got, len(v.Machine.Unreachable()))
		}
		if !v.Machine.Awake(n.Now) {
			t.Fatalf("%s does not serve", v.Host)
		}
	}
	n.Cut = nil
	if took, ok := n.Until(2*time.Minute, func() bool { return everyone(n, 30) }); !ok {
		t.Fatalf("after %s: %v", took, views(n))
	}
}

func TestLossMakesNoDeaths(t *testing.T) {
	n := settled(t, 50, fakenet.Options{Seed: 8, Config: twoRegions(), Loss: 0.05})
	n.Run(5 * time.Minute)
	if deaths(n) != 0 {
		t.Fatalf("%d deaths", deaths(n))
	}
}

// A detector that believes one missing answer declares the living dead.
func TestWithoutSuspicionAndHelpersLossKills(t *testing.T) {
	naive := twoRegions()
	naive.Helpers = 0
	naive.SuspicionPeriods = 0
	n := fakenet.New(fakenet.Options{Seed: 8, Config: naive, Loss: 0.05})
	n.Fleet(50, 3)
	n.Run(5 * time.Minute)
	if deaths(n) == 0 {
		t.Fatal("the naive detector was expected to fail")
	}
}

// A detector that forgets the dead leaves two fleets behind, unless the
// platform's list helps; here it is empty.
func TestForgettingTheOtherRegionLeavesTwoFleets(t *testing.T) {
	for _, kept := range []time.Duration{time.Minute, 3 * time.Hour} {
		c := twoRegions()
		c.UnreachableKept = kept
		n := settled(t, 12, fakenet.Options{Seed: 13, Config: c})
		for _, v := range n.Nodes {
			n.Step(v, membership.Seeds{})
		}
		n.Cut = func(from, to *fakenet.Node) bool { return from.Region != to.Region }
		n.Run(5 * time.Minute)
		n.Cut = nil
		_, merged := n.Until(2*time.Minute, func() bool { return everyone(n, 12) })
		if merged != (kept > 5*time.Minute) {
			t.Fatalf("kept for %s: merged %t", kept, merged)
		}
	}
}

func TestAnEarlierIncarnationIsNotBelieved(t *testing.T) {
	n := settled(t, 9, fakenet.Options{Seed: 9, Config: twoRegions()})
	old := n.Nodes[2]
	n.Start(old.Host, "dc2", []names.Host{n.Nodes[0].Host})
	n.Run(10 * time.Second)
	ghost := old.Machine.Self()
	before := n.Nodes[0].Machine.Counters().DroppedOldIncarnation
	n.Step(n.Nodes[0], membership.Receive{Datagram: membership.Datagram{Purpose: membership.Ping, From: ghost}})
	if n.Nodes[0].Machine.Counters().DroppedOldIncarnation != before+1 {
		t.Fatal("the datagram was used")
	}
	n.Step(old, membership.Receive{Datagram: membership.Datagram{
		From:    n.Nodes[0].Machine.Self(),
		Updates: []membership.Update{{Member: n.Nodes[2].Machine.Self()}},
	}})
	if old.Machine.Awake(n.Now) {
		t.Fatal("the earlier incarnation does not know that it was replaced")
	}
}

func TestAVersionReachesAllAheadOfLoads(t *testing.T) {
	n := settled(t, 50, fakenet.Options{Seed: 10, Config: twoRegions()})
	n.Keep = true
	for _, v := range n.Nodes {
		for i := range byte(10) {
			d := membership.Digest{Kind: gossip.Load, Key: string('a' + i), Sequence: 1, Payload: make([]byte, 200)}
			n.Step(v, membership.Publish{Digest: d})
		}
	}
	root := membership.Digest{Kind: gossip.Version, Key: "root", Sequence: 7, Payload: make([]byte, 32)}
	n.Step(n.Nodes[0], membership.Publish{Digest: root})
	took, ok := n.Until(10*time.Second, func() bool { return heardOf(n, 7) == 49 })
	if !ok {
		t.Fatalf("%d heard of it in %s", heardOf(n, 7), took)
	}
}

func heardOf(n *fakenet.Net, sequence uint64) int {
	heard := 0
	for _, v := range n.Nodes {
		for _, d := range v.Delivered {
			if d.Digest.Kind == gossip.Version && d.Digest.Sequence == sequence {
				heard++
			}
		}
	}
	return heard
}

func TestDrainingAndLeavingTakeNoNewWork(t *testing.T) {
	n := settled(t, 9, fakenet.Options{Seed: 11, Config: twoRegions()})
	n.Step(n.Nodes[0], membership.Drain{})
	if took, ok := n.Until(10*time.Second, func() bool { return everyone(n, 8) }); !ok {
		t.Fatalf("after %s: %v", took, views(n))
	}
	if m, _ := n.Nodes[1].Machine.Lookup(n.Nodes[0].Host); !m.Counted() {
		t.Fatal("a draining member still answers for its requests")
	}
	n.Step(n.Nodes[0], membership.Leave{})
	n.Nodes[0].Down = true
	n.Run(5 * time.Second)
	if m, _ := n.Nodes[1].Machine.Lookup(n.Nodes[0].Host); m.State != membership.Left {
		t.Fatalf("state %s", m.State)
	}
}

func TestBytesDoNotGrowWithTheFleet(t *testing.T) {
	small := rate(t, 9)
	large := rate(t, 100)
	if large > 2*small {
		t.Fatalf("%0.f bytes a second at 9 members, %0.f at 100", small, large)
	}
}

// rate returns the mean bytes a second that a member of a quiet fleet sends.
func rate(t *testing.T, nodes int) float64 {
	t.Helper()
	n := settled(t, nodes, fakenet.Options{Seed: 12, Config: twoRegions()})
	n.Run(30 * time.Second)
	var before, after uint64
	for _, v := range n.Nodes {
		before += v.Bytes
	}
	n.Run(30 * time.Second)
	for _, v := range n.Nodes {
		after += v.Bytes
	}
	return float64(after-before) / 30 / float64(nodes)
}

func deaths(n *fakenet.Net) uint64 {
	var sum uint64
	for _, v := range n.Nodes {
		sum += v.Machine.Counters().Deaths
	}
	return sum
}

func TestRegionsAreToldAtRunTime(t *testing.T) {
	n := settled(t, 6, fakenet.Options{Seed: 11, Config: twoRegions()})
	m := n.Nodes[0].Machine
	m.Step(n.Now, membership.Regions{Regions: map[names.DataCentre]names.Region{"dc0": "east", "dc1": "east", "dc2": "west"}})
	for _, member := range m.Live() {
		want := names.Region("east")
		if member.DataCentre == "dc2" {
			want = "west"
		}
		if member.Region != want {
			t.Fatalf("%s of %s lies in %q", member.Host, member.DataCentre, member.Region)
		}
	}
}
