package subset

import (
	"fmt"
	"slices"
	"testing"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
)

// fleet returns n members in 9 data centres of 3 regions.
func fleet(n int) []membership.Member {
	members := make([]membership.Member, 0, n)
	for i := range n {
		members = append(members, membership.Member{
			Host:       names.Host(fmt.Sprintf("10.0.%03d.%03d:7000", i/250, i%250)),
			DataCentre: names.DataCentre(fmt.Sprintf("dc%d", i%9)),
			Region:     names.Region(fmt.Sprintf("r%d", i%3)),
		})
	}
	return members
}

func places(n int) []TargetLocation {
	all := make([]TargetLocation, 0, n)
	for i := range n {
		all = append(all, TargetLocation{
			Target:     names.Target(fmt.Sprintf("replica-%d", i)),
			DataCentre: names.DataCentre(fmt.Sprintf("dc%d", i%9)),
		})
	}
	return all
}

func TestKeeperCount(t *testing.T) {
	cases := []struct{ daemons, targets, want int }{
		{9, 28, 9},
		{8, 18, 8},
		{2, 500, 2},
		{50, 400, 4},
		{200, 1500, 4},
		{830, 6200, 4},
		{830, 100_000, 3},
		{0, 10, 0},
	}
	for _, c := range cases {
		if got := KeeperCount(c.daemons, c.targets); got != c.want {
			t.Errorf("%d daemons, %d targets: %d keepers, want %d", c.daemons, c.targets, got, c.want)
		}
	}
}

func TestKeepersPreferDataCentreThenRegion(t *testing.T) {
	members := fleet(27)
	got := Keepers("a", "dc4", members, 11)
	for i, m := range got {
		switch {
		case i < 3 && m.DataCentre != "dc4":
			t.Errorf("keeper %d is in data centre %s, want dc4", i, m.DataCentre)
		case i >= 3 && i < 9 && m.Region != "r1":
			t.Errorf("keeper %d is in region %s, want r1", i, m.Region)
		}
	}
	if len(got) != 11 {
		t.Fatalf("%d keepers, want 11", len(got))
	}
}

// moduloAssign assigns targets to positions in the list of members by hash modulo
// its length, for comparison with rendezvous hashing.
func moduloAssign(members []membership.Member, all []TargetLocation, k int) [][]membership.Member {
	assigned := make([][]membership.Member, 0, len(all))
	for i := range all {
		keepers := make([]membership.Member, 0, k)
		for j := range k {
			keepers = append(keepers, members[(i*7919+j)%len(members)])
		}
		assigned = append(assigned, keepers)
	}
	return assigned
}

func TestDepartureMovesOnlyTargetsOfDepartedMember(t *testing.T) {
	members := fleet(200)
	all := places(1500)
	remaining := slices.Delete(slices.Clone(members), 77, 78)
	before := Assign(members, all, 4)
	held := 0
	for _, keepers := range before {
		if containsHost(keepers, members[77].Host) {
			held++
		}
	}
	if moved := CountMoved(before, Assign(remaining, all, 4)); moved != held {
		t.Fatalf("%d assignments moved, the departed member held %d", moved, held)
	}
	if modulo := CountMoved(moduloAssign(members, all, 4), moduloAssign(remaining, all, 4)); modulo < 10*held {
		t.Fatalf("the modulo assignment moved only %d, want at least ten times those of the departed member", modulo)
	}
}

func TestMaximumKeptIsAtMostTwiceTheMean(t *testing.T) {
	i := MeasureImbalance(fleet(200), places(1500), 4)
	if float64(i.Max) > 2*i.Mean {
		t.Fatalf("maximum is over twice the mean: %+v", i)
	}
}

func TestDepartureMovesOnlyHomesOfDepartedMember(t *testing.T) {
	members := fleet(50)
	moved := 0
	remaining := slices.Delete(slices.Clone(members), 10, 11)
	for i := range 1000 {
		key := fmt.Sprint(i)
		before, _ := Home(key, members)
		after, _ := Home(key, remaining)
		if before.Host != after.Host && before.Host != members[10].Host {
			t.Fatalf("home of key %s moved though its member remains", key)
		}
		if before.Host != after.Host {
			moved++
		}
	}
	if moved == 0 || moved > 60 {
		t.Fatalf("%d of 1000 keys moved, want 1 to 60", moved)
	}
	if _, ok := Home("a", nil); ok {
		t.Fatal("Home returned a member of an empty list")
	}
}
