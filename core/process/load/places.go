package load

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
)

// Place is where a target stands among those of its model.
type Place struct {
	// Rank is its place in [0, 1] in the order of all.
	Rank float64
	// Offset is its distance in [0, 1) from a daemon on a ring.
	Offset float64
}

// Places returns the place of each engine for the daemon with an index among n
// live daemons in the order of their names. Ranks follow a hash of the targets'
// names and not the daemon, so that every daemon computes the same from one
// manifest. Isolation targets have no place.
func Places(m *manifest.Manifest, index, n int) map[names.Target]Place {
	byModel := make(map[names.Model][]names.Target)
	for i := range m.Targets {
		t := &m.Targets[i]
		if t.Service != "" || t.Isolation {
			continue
		}
		byModel[t.Want.Model] = append(byModel[t.Want.Model], t.Name)
	}
	places := make(map[names.Target]Place, len(m.Targets))
	for _, list := range byModel {
		slices.SortFunc(list, byHash)
		for i, name := range list {
			places[name] = PlaceOf(i, len(list), index, n)
		}
	}
	return places
}

// PlaceOf returns the place of the i-th of some targets for a daemon. A single
// target has rank 1.
//
// Targets lie on the ring by multiples of the golden ratio, so that those of
// any range of ranks are spread evenly over it, and daemons at equal distances
// prefer different ones.
func PlaceOf(i, targets, index, daemons int) Place {
	place := Place{Rank: 1}
	if targets > 1 {
		place.Rank = float64(i) / float64(targets-1)
	}
	_, at := math.Modf(float64(i) * (math.Phi - 1))
	from := float64(index) / float64(max(daemons, 1))
	_, place.Offset = math.Modf(at - from + 1)
	return place
}

func byHash(a, b names.Target) int {
	return cmp.Or(
		cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))),
		cmp.Compare(a, b),
	)
}
