package homes

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var group = Group{Service: "draft", Groups: 1}

// fleet returns n members that started an hour ago.
func fleet(n int) []membership.Member {
	list := make([]membership.Member, 0, n)
	for i := range n {
		list = append(list, membership.Member{
			Host: names.Host(fmt.Sprintf("10.0.%d.%d:7300", i/256, i%256)), Incarnation: names.Incarnation(now.Add(-time.Hour).UnixNano()),
		})
	}
	return list
}

func without(live []membership.Member, gone names.Host) []membership.Member {
	return slices.DeleteFunc(slices.Clone(live), func(m membership.Member) bool { return m.Host == gone })
}

// The first home dies. Guards against a successor that has heard nothing of the
// work: it must have been a listener before.
func TestSuccessorListenedBefore(t *testing.T) {
	live := fleet(295)
	before := Select(group, live, now)
	after := Select(group, without(live, before.Deciders[0]), now)
	if after.Deciders[0] != before.Deciders[1] {
		t.Fatalf("%s takes over, the second home was %s", after.Deciders[0], before.Deciders[1])
	}
	if len(before.Deciders) != Count || !slices.Equal(before.Deciders, before.Listeners) {
		t.Fatalf("homes %+v", before)
	}
}

// The first home has just started again. Guards against placement by a daemon that
// knows nothing of the work in flight.
func TestYoungDaemonListensAndDoesNotDecide(t *testing.T) {
	live := fleet(20)
	old := Select(group, live, now)
	at := slices.IndexFunc(live, func(m membership.Member) bool { return m.Host == old.Deciders[0] })
	live[at].Incarnation = names.Incarnation(now.Add(-time.Second).UnixNano())
	young := Select(group, live, now)
	if slices.Contains(young.Deciders, old.Deciders[0]) || !slices.Contains(young.Listeners, old.Deciders[0]) {
		t.Fatalf("homes %+v, the young daemon is %s", young, old.Deciders[0])
	}
	if again := Select(group, live, now.Add(minAge)); !slices.Equal(again.Deciders, old.Deciders) {
		t.Fatalf("homes %+v after %s, want %+v", again, minAge, old)
	}
}

// All daemons start together: the youngest ones have to decide.
func TestCommonStartHasDeciders(t *testing.T) {
	live := fleet(9)
	for i := range live {
		live[i].Incarnation = names.Incarnation(now.UnixNano())
	}
	if got := Select(group, live, now); len(got.Deciders) != Count {
		t.Fatalf("homes %+v", got)
	}
	if got := Select(group, live[:1], now); len(got.Deciders) != 1 || len(got.Listeners) != 1 {
		t.Fatalf("homes of a lone daemon %+v", got)
	}
	if got := Select(group, nil, now); len(got.Deciders) != 0 {
		t.Fatalf("homes without members %+v", got)
	}
}

func TestSuspectIsAskedLast(t *testing.T) {
	live := fleet(3)
	first := Select(group, live, now).Deciders[0]
	at := slices.IndexFunc(live, func(m membership.Member) bool { return m.Host == first })
	live[at].State = membership.Suspect
	if got := Select(group, live, now); slices.Contains(got.Deciders, first) || !slices.Contains(got.Listeners, first) {
		t.Fatalf("homes %+v, suspected %s", got, first)
	}
}

// Homes of 49 groups, as for 6,200 targets, must spread over 830 daemons.
func TestGroupsSpreadOverDaemons(t *testing.T) {
	live := fleet(830)
	groups := Groups(6200)
	if groups != 49 {
		t.Fatalf("%d groups", groups)
	}
	load := make(map[names.Host]int)
	for g := range groups {
		for _, host := range Select(Group{Service: "draft", Index: g, Groups: groups}, live, now).Deciders {
			load[host]++
		}
	}
	for host, count := range load {
		if count > 4 {
			t.Errorf("%s is a home of %d groups", host, count)
		}
	}
	sizes := make([]int, groups)
	for i := range 6200 {
		sizes[GroupOf(names.Target(fmt.Sprint("i-", i)), groups)]++
	}
	if largest := slices.Max(sizes); largest > 2*GroupTargets {
		t.Fatalf("largest group has %d targets", largest)
	}
}

func TestChooseTakesLessLoadedGroup(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	counts := make([]int, 4)
	for range 4000 {
		chosen, other := Choose(4, func(group int) float64 { return float64(group) }, random)
		if chosen == other {
			t.Fatalf("group %d is its own alternative", chosen)
		}
		counts[chosen]++
	}
	if counts[0] < 1800 || counts[3] > 0 {
		t.Fatalf("groups were chosen %v times, the last one has the highest load", counts)
	}
	if chosen, _ := Choose(1, nil, nil); chosen != 0 {
		t.Fatalf("group %d of one", chosen)
	}
}

// All daemons have just started and know different members. They must ask the same
// daemon.
func TestSeedsDecideForDaemonsThatKnowFewMembers(t *testing.T) {
	live := fleet(40)
	seeds := []names.Host{live[0].Host, live[1].Host, live[2].Host}
	a, b := SelectSeeds(group, seeds, live[:20], now), SelectSeeds(group, seeds, live[20:], now)
	if !slices.Equal(a.Deciders, b.Deciders) || len(a.Deciders) != len(seeds) {
		t.Fatalf("deciders %v and %v", a.Deciders, b.Deciders)
	}
	for _, host := range Select(group, live[:20], now).Listeners {
		if !slices.Contains(a.Listeners, host) {
			t.Fatalf("listeners %v do not include the home %s", a.Listeners, host)
		}
	}
	if !slices.Contains(a.Listeners, a.Deciders[0]) {
		t.Fatalf("listeners %v do not include the first seed", a.Listeners)
	}
	if lone := SelectSeeds(group, nil, live[:1], now); len(lone.Deciders) != 0 || len(lone.Listeners) != 1 {
		t.Fatalf("homes %+v without seeds", lone)
	}
}
