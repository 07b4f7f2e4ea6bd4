package load

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
)

// Ranks returns the place in [0, 1] of each engine among those of its model, the
// last at 1.
// The order follows a hash of the name, so that every daemon computes the same
// from one manifest, and a change of the fleet moves few ranks far. Isolation
// targets have none.
func Ranks(m *manifest.Manifest) map[names.Target]float64 {
	byModel := make(map[names.Model][]names.Target)
	for i := range m.Targets {
		t := &m.Targets[i]
		if t.Service != "" || t.Isolation {
			continue
		}
		byModel[t.Want.Model] = append(byModel[t.Want.Model], t.Name)
	}
	ranks := make(map[names.Target]float64, len(m.Targets))
	for _, list := range byModel {
		slices.SortFunc(list, byHash)
		for i, name := range list {
			ranks[name] = Rank(i, len(list))
		}
	}
	return ranks
}

// Rank returns the rank of the i-th of n targets. A single target has rank 1.
func Rank(i, n int) float64 {
	if n <= 1 {
		return 1
	}
	return float64(i) / float64(n-1)
}

func byHash(a, b names.Target) int {
	return cmp.Or(
		cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))),
		cmp.Compare(a, b),
	)
}
