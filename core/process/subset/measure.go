package subset

import (
	"slices"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
)

// TargetLocation is a target and the data centre in which it runs.
type TargetLocation struct {
	Target     names.Target
	DataCentre names.DataCentre
}

// Imbalance describes the distribution of targets over daemons.
type Imbalance struct {
	// Mean, P99 and Max are numbers of targets per daemon.
	Mean float64
	P99  int
	Max  int
}

// MeasureImbalance returns the distribution of targets over members, with k keepers
// per target.
func MeasureImbalance(members []membership.Member, places []TargetLocation, k int) Imbalance {
	kept := make(map[names.Host]int, len(members))
	for _, keepers := range Assign(members, places, k) {
		for _, m := range keepers {
			kept[m.Host]++
		}
	}
	counts := make([]int, 0, len(members))
	sum := 0
	for i := range members {
		counts = append(counts, kept[members[i].Host])
		sum += kept[members[i].Host]
	}
	slices.Sort(counts)
	return Imbalance{
		Mean: float64(sum) / float64(len(counts)),
		P99:  counts[(len(counts)-1)*99/100],
		Max:  counts[len(counts)-1],
	}
}

// Assign returns the k keepers of each place, in the order of places.
func Assign(members []membership.Member, places []TargetLocation, k int) [][]membership.Member {
	a := New(members)
	all := make([][]membership.Member, 0, len(places))
	for _, p := range places {
		all = append(all, a.Keepers(p.Target, p.DataCentre, k))
	}
	return all
}

// CountMoved returns the number of pairs of target and keeper that are in after and
// not in before.
func CountMoved(before, after [][]membership.Member) int {
	moved := 0
	for i := range after {
		for j := range after[i] {
			if !containsHost(before[i], after[i][j].Host) {
				moved++
			}
		}
	}
	return moved
}

func containsHost(members []membership.Member, h names.Host) bool {
	return slices.ContainsFunc(members, func(m membership.Member) bool { return m.Host == h })
}
