package membership_test

import (
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/gossip"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/membership/fakenet"
)

// twoRegions returns a configuration in which dc0 is in one region and the other
// data centres are in another.
func twoRegions() membership.Config {
	c := membership.DefaultConfig()
	c.Regions = map[names.DataCentre]names.Region{"dc0": "east", "dc1": "west", "dc2": "west"}
	return c
}

// startFleet starts a fleet and waits until every node sees all of them.
func startFleet(t *testing.T, nodes int, o fakenet.Options) *fakenet.Net {
	t.Helper()
	n := fakenet.New(o)
	n.StartFleet(nodes, 3)
	took, ok := n.RunUntil(time.Minute, func() bool { return allSee(n, nodes) })
	if !ok {
		t.Fatalf("the fleet did not form within %s: live members by node %v", took, liveCounts(n))
	}
	return n
}

// allSee reports whether all running nodes trust their views and have want live
// members.
func allSee(n *fakenet.Net, want int) bool {
	for _, v := range n.Nodes {
		if v.Down || v.Paused {
			continue
		}
		if len(v.Machine.Live()) != want || !v.Machine.ViewTrusted(n.Now) {
			return false
		}
	}
	return true
}

func liveCounts(n *fakenet.Net) []int {
	sizes := make([]int, 0, len(n.Nodes))
	for _, v := range n.Nodes {
		sizes = append(sizes, len(v.Machine.Live()))
	}
	return sizes
}

func TestSimultaneousStartFormsOneFleet(t *testing.T) {
	n := fakenet.New(fakenet.Options{Seed: 1, Config: twoRegions()})
	n.StartFleet(30, 3)
	if n.Nodes[0].Machine.ViewTrusted(n.Now) {
		t.Fatal("a daemon that has just started trusts its view")
	}
	if took, ok := n.RunUntil(30*time.Second, func() bool { return allSee(n, 30) }); !ok {
		t.Fatalf("not converged after %s: live members by node %v", took, liveCounts(n))
	}
}

func TestAllMembersDetectDeathAndRestart(t *testing.T) {
	n := startFleet(t, 30, fakenet.Options{Seed: 2, Config: twoRegions()})
	stopped := n.Nodes[7]
	stopped.Down = true
	if took, ok := n.RunUntil(30*time.Second, func() bool { return allSee(n, 29) }); !ok {
		t.Fatalf("not converged after %s: live members by node %v", took, liveCounts(n))
	}
	n.Start(stopped.Host, "dc1", []names.Host{n.Nodes[1].Host})
	if took, ok := n.RunUntil(30*time.Second, func() bool { return allSee(n, 30) }); !ok {
		t.Fatalf("not converged after %s: live members by node %v", took, liveCounts(n))
	}
}

func TestOneWayLinkFailureCausesNoDeath(t *testing.T) {
	n := startFleet(t, 12, fakenet.Options{Seed: 3, Config: twoRegions()})
	a, b := n.Nodes[0], n.Nodes[1]
	n.Blocked = func(from, to *fakenet.Node) bool { return from == a && to == b }
	n.Run(2 * time.Minute)
	if !allSee(n, 12) {
		t.Fatalf("live members by node %v", liveCounts(n))
	}
	if deathCount(n) != 0 {
		t.Fatalf("%d members were declared dead", deathCount(n))
	}
}

func TestDaemonThatReceivesNothingSuspendsDetection(t *testing.T) {
	n := startFleet(t, 12, fakenet.Options{Seed: 4, Config: twoRegions()})
	isolated := n.Nodes[0]
	n.Blocked = func(_, to *fakenet.Node) bool { return to == isolated }
	n.Run(12 * time.Second)
	if isolated.Machine.ViewTrusted(n.Now) {
		t.Fatal("the daemon trusts its view")
	}
	if got := len(isolated.Machine.Live()); got != 12 {
		t.Fatalf("the isolated daemon has %d live members, want 12", got)
	}
	n.Run(20 * time.Second)
	for _, v := range n.Nodes[1:] {
		if got := len(v.Machine.Live()); got != 11 {
			t.Fatalf("%s has %d live members, want 11", v.Host, got)
		}
	}
	n.Blocked = nil
	if took, ok := n.RunUntil(time.Minute, func() bool { return allSee(n, 12) }); !ok {
		t.Fatalf("not converged after %s: live members by node %v", took, liveCounts(n))
	}
}

func TestDaemonWhoseDatagramsAreLostDistrustsItsView(t *testing.T) {
	n := startFleet(t, 12, fakenet.Options{Seed: 5, Config: twoRegions()})
	unheard := n.Nodes[0]
	n.Blocked = func(from, _ *fakenet.Node) bool { return from == unheard }
	n.Run(12 * time.Second)
	if unheard.Machine.ViewTrusted(n.Now) {
		t.Fatal("the daemon trusts its view")
	}
}

func TestPausedProcessDistrustsItsViewUntilPeersAnswer(t *testing.T) {
	n := startFleet(t, 12, fakenet.Options{Seed: 6, Config: twoRegions()})
	paused := n.Nodes[3]
	n.Pause(paused)
	n.Run(time.Minute)
	if !allSee(n, 11) {
		t.Fatalf("live members by node %v", liveCounts(n))
	}
	if paused.Machine.ViewTrusted(n.Now) {
		t.Fatal("the resumed daemon trusts its view before its first tick")
	}
	n.Resume(paused)
	if paused.Machine.ViewTrusted(n.Now) {
		t.Fatal("the resumed daemon trusts its view because of datagrams that arrived during the pause")
	}
	if took, ok := n.RunUntil(30*time.Second, func() bool { return allSee(n, 12) }); !ok {
		t.Fatalf("not converged after %s: live members by node %v", took, liveCounts(n))
	}
	if got := paused.Machine.Counters().Deaths; got != 0 {
		t.Fatalf("the resumed daemon declared %d members dead", got)
	}
}

func TestRegionsMergeAfterHourLongPartition(t *testing.T) {
	n := startFleet(t, 30, fakenet.Options{Seed: 7, Config: twoRegions()})
	n.Blocked = func(from, to *fakenet.Node) bool { return from.Region != to.Region }
	n.Run(time.Hour)
	for _, v := range n.Nodes {
		want := 10
		if v.Region == "west" {
			want = 20
		}
		if got := len(v.Machine.Live()); got != want || len(v.Machine.Unreachable()) != 30-want {
			t.Fatalf("%s has %d live and %d unreachable members", v.Host, got, len(v.Machine.Unreachable()))
		}
		if !v.Machine.ViewTrusted(n.Now) {
			t.Fatalf("%s does not trust its view", v.Host)
		}
	}
	n.Blocked = nil
	if took, ok := n.RunUntil(2*time.Minute, func() bool { return allSee(n, 30) }); !ok {
		t.Fatalf("not converged after %s: live members by node %v", took, liveCounts(n))
	}
}

func TestPacketLossCausesNoDeath(t *testing.T) {
	n := startFleet(t, 50, fakenet.Options{Seed: 8, Config: twoRegions(), Loss: 0.05})
	n.Run(5 * time.Minute)
	if deathCount(n) != 0 {
		t.Fatalf("%d members were declared dead", deathCount(n))
	}
}

// Checks that suspicion and indirect probes are needed: a detector that declares
// a member dead after one unanswered probe kills running members under packet
// loss.
func TestPacketLossCausesDeathsWithoutSuspicionAndIndirectProbes(t *testing.T) {
	naive := twoRegions()
	naive.IndirectProbes = 0
	naive.SuspicionPeriods = 0
	n := fakenet.New(fakenet.Options{Seed: 8, Config: naive, Loss: 0.05})
	n.StartFleet(50, 3)
	n.Run(5 * time.Minute)
	if deathCount(n) == 0 {
		t.Fatal("the detector without suspicion and indirect probes declared no member dead")
	}
}

// Checks that dead members of another region must be retained for longer than
// the partition. Otherwise the two sides never contact each other again, unless
// the seed list contains the other side; here it is empty.
func TestPartitionsMergeOnlyWithinRetention(t *testing.T) {
	for _, retention := range []time.Duration{time.Minute, 3 * time.Hour} {
		c := twoRegions()
		c.UnreachableRetention = retention
		n := startFleet(t, 12, fakenet.Options{Seed: 13, Config: c})
		for _, v := range n.Nodes {
			n.Step(v, membership.Seeds{})
		}
		n.Blocked = func(from, to *fakenet.Node) bool { return from.Region != to.Region }
		n.Run(5 * time.Minute)
		n.Blocked = nil
		_, merged := n.RunUntil(2*time.Minute, func() bool { return allSee(n, 12) })
		if merged != (retention > 5*time.Minute) {
			t.Fatalf("retention %s: merged %t", retention, merged)
		}
	}
}

func TestEarlierIncarnationIsIgnored(t *testing.T) {
	n := startFleet(t, 9, fakenet.Options{Seed: 9, Config: twoRegions()})
	old := n.Nodes[2]
	n.Start(old.Host, "dc2", []names.Host{n.Nodes[0].Host})
	n.Run(10 * time.Second)
	oldSelf := old.Machine.Self()
	before := n.Nodes[0].Machine.Counters().DroppedOldIncarnation
	n.Step(n.Nodes[0], membership.Receive{Datagram: membership.Datagram{Purpose: membership.Ping, From: oldSelf}})
	if n.Nodes[0].Machine.Counters().DroppedOldIncarnation != before+1 {
		t.Fatal("the datagram of the earlier incarnation was not dropped")
	}
	n.Step(old, membership.Receive{Datagram: membership.Datagram{
		From:    n.Nodes[0].Machine.Self(),
		Updates: []membership.Update{{Member: n.Nodes[2].Machine.Self()}},
	}})
	if old.Machine.ViewTrusted(n.Now) {
		t.Fatal("the earlier incarnation trusts its view after it was replaced")
	}
}

func TestVersionDigestReachesAllAheadOfQueuedLoadDigests(t *testing.T) {
	n := startFleet(t, 50, fakenet.Options{Seed: 10, Config: twoRegions()})
	n.RecordActions = true
	for _, v := range n.Nodes {
		for i := range byte(10) {
			d := membership.Digest{Kind: gossip.Load, Key: string('a' + i), Sequence: 1, Payload: make([]byte, 200)}
			n.Step(v, membership.Publish{Digest: d})
		}
	}
	root := membership.Digest{Kind: gossip.Version, Key: "root", Sequence: 7, Payload: make([]byte, 32)}
	n.Step(n.Nodes[0], membership.Publish{Digest: root})
	took, ok := n.RunUntil(10*time.Second, func() bool { return deliveredCount(n, 7) == 49 })
	if !ok {
		t.Fatalf("%d members received the version within %s, want 49", deliveredCount(n, 7), took)
	}
}

// A daemon publishes the position that it has read and the version of the configuration at the
// same time. Guards against a queue in which the second replaces the first.
func TestVersionDigestsOfTwoKeysReachAll(t *testing.T) {
	n := startFleet(t, 50, fakenet.Options{Seed: 6, Config: twoRegions()})
	n.RecordActions = true
	for _, d := range []membership.Digest{
		{Kind: gossip.Version, Key: "published", Sequence: 100}, {Kind: gossip.Version, Key: "config", Sequence: 8},
	} {
		n.Step(n.Nodes[0], membership.Publish{Digest: d})
	}
	if _, ok := n.RunUntil(10*time.Second, func() bool { return deliveredCount(n, 100) == 49 && deliveredCount(n, 8) == 49 }); !ok {
		t.Fatalf("%d members received the position and %d the version, want 49", deliveredCount(n, 100), deliveredCount(n, 8))
	}
}

func deliveredCount(n *fakenet.Net, sequence uint64) int {
	delivered := 0
	for _, v := range n.Nodes {
		for _, d := range v.Delivered {
			if d.Digest.Kind == gossip.Version && d.Digest.Sequence == sequence {
				delivered++
			}
		}
	}
	return delivered
}

func TestDrainingAndLeftMembersAreNotLive(t *testing.T) {
	n := startFleet(t, 9, fakenet.Options{Seed: 11, Config: twoRegions()})
	n.Step(n.Nodes[0], membership.Drain{})
	if took, ok := n.RunUntil(10*time.Second, func() bool { return allSee(n, 8) }); !ok {
		t.Fatalf("not converged after %s: live members by node %v", took, liveCounts(n))
	}
	if m, _ := n.Nodes[1].Machine.Lookup(n.Nodes[0].Host); !m.Active() {
		t.Fatal("a draining member, which still serves its requests, is not presumed to be running")
	}
	n.Step(n.Nodes[0], membership.Leave{})
	n.Nodes[0].Down = true
	n.Run(5 * time.Second)
	if m, _ := n.Nodes[1].Machine.Lookup(n.Nodes[0].Host); m.State != membership.Left {
		t.Fatalf("the member that left has state %s", m.State)
	}
}

func TestSendRateDoesNotGrowWithFleetSize(t *testing.T) {
	small := sendRate(t, 9)
	large := sendRate(t, 100)
	if large > 2*small {
		t.Fatalf("%0.f bytes per second with 9 members, %0.f with 100", small, large)
	}
}

// sendRate returns the mean bytes per second that a member of an idle fleet
// sends.
func sendRate(t *testing.T, nodes int) float64 {
	t.Helper()
	n := startFleet(t, nodes, fakenet.Options{Seed: 12, Config: twoRegions()})
	n.Run(30 * time.Second)
	var before, after uint64
	for _, v := range n.Nodes {
		before += v.BytesSent
	}
	n.Run(30 * time.Second)
	for _, v := range n.Nodes {
		after += v.BytesSent
	}
	return float64(after-before) / 30 / float64(nodes)
}

// deathCount returns how many deaths the nodes have declared in total.
func deathCount(n *fakenet.Net) uint64 {
	var sum uint64
	for _, v := range n.Nodes {
		sum += v.Machine.Counters().Deaths
	}
	return sum
}

func TestRegionsEventUpdatesMembers(t *testing.T) {
	n := startFleet(t, 6, fakenet.Options{Seed: 11, Config: twoRegions()})
	m := n.Nodes[0].Machine
	m.Step(n.Now, membership.Regions{Regions: map[names.DataCentre]names.Region{"dc0": "east", "dc1": "east", "dc2": "west"}})
	for _, member := range m.Live() {
		want := names.Region("east")
		if member.DataCentre == "dc2" {
			want = "west"
		}
		if member.Region != want {
			t.Fatalf("%s in data centre %s has region %q", member.Host, member.DataCentre, member.Region)
		}
	}
}
