package assignment

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/subset"
	"carobspoke.example/core/target"
	"carobspoke.example/core/version/manifest"
)

func fleet(daemons, targets int) (*subset.Assigner, []manifest.Target) {
	members := make([]membership.Member, daemons)
	for i := range members {
		members[i] = membership.Member{Host: names.Host(fmt.Sprintf("10.0.0.%03d:1", i)), DataCentre: "a"}
	}
	list := make([]manifest.Target, targets)
	for i := range list {
		list[i] = manifest.Target{
			Name: names.Target(fmt.Sprintf("t%d", i)), DataCentre: "a",
			Want: target.State{Model: names.Model(fmt.Sprintf("m%d", i%4))},
		}
	}
	return subset.New(members), list
}

func TestTargetsHaveKeepersAndModelsHaveRelays(t *testing.T) {
	assigner, targets := fleet(20, 40)
	keepers := make(map[names.Target]int)
	for _, self := range assigner.Members() {
		a := Compute(self.Host, targets, assigner, 3)
		for i := range targets {
			if a.Keeps(targets[i].Name) {
				keepers[targets[i].Name]++
			}
		}
		for m := range 4 {
			model := names.Model(fmt.Sprintf("m%d", m))
			host, ok := a.PickRelay(model, nil, rand.New(rand.NewPCG(1, 1)))
			if !ok || host == self.Host {
				t.Fatalf("%s has no relay for %s", self.Host, model)
			}
		}
	}
	for i := range targets {
		if keepers[targets[i].Name] != 3 {
			t.Fatalf("%s has %d keepers", targets[i].Name, keepers[targets[i].Name])
		}
	}
}

func TestPickSkipsAvoidedRelays(t *testing.T) {
	assigner, targets := fleet(6, 8)
	self := assigner.Members()[0].Host
	a := Compute(self, targets, assigner, 3)
	random := rand.New(rand.NewPCG(1, 1))
	var avoid []names.Host
	for range a.Relays("m0") {
		host, ok := a.PickRelay("m0", avoid, random)
		if !ok {
			t.Fatal("no relay returned although some are not avoided")
		}
		avoid = append(avoid, host)
	}
	if host, ok := a.PickRelay("m0", avoid, random); ok {
		t.Fatalf("picked %s, which is in avoid", host)
	}
}
