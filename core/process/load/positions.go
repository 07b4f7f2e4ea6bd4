package load

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carobspoke.example/core/names"
	"carobspoke.example/core/version/manifest"
)

// Position places a target among the targets of its model.
type Position struct {
	// Rank is the position in [0, 1] in the order of all targets of the model.
	Rank float64
	// Offset is the distance in [0, 1) from a daemon to the target on a ring.
	Offset float64
}

// Positions returns the position of each engine for the daemon with the given index
// among n live daemons in the order of their names. Ranks depend on a hash of the
// targets' names and not on the daemon, so that every daemon computes the same
// ranks from one manifest. Isolation targets have no position.
func Positions(m *manifest.Manifest, index, n int) map[names.Target]Position {
	byModel := make(map[names.Model][]names.Target)
	for i := range m.Targets {
		t := &m.Targets[i]
		if t.Service != "" || t.Isolation {
			continue
		}
		byModel[t.Want.Model] = append(byModel[t.Want.Model], t.Name)
	}
	positions := make(map[names.Target]Position, len(m.Targets))
	for _, list := range byModel {
		slices.SortFunc(list, byHash)
		for i, name := range list {
			positions[name] = PositionOf(i, len(list), index, n)
		}
	}
	return positions
}

// PositionOf returns the position of target i of a number of targets, for the daemon
// with an index among a number of daemons. A single target has rank 1.
//
// Targets lie on the ring at multiples of the golden ratio, so that the targets
// of any range of ranks are spread evenly over the ring, and daemons, which are
// at equal distances, prefer different targets.
func PositionOf(i, targets, index, daemons int) Position {
	position := Position{Rank: 1}
	if targets > 1 {
		position.Rank = float64(i) / float64(targets-1)
	}
	_, at := math.Modf(float64(i) * (math.Phi - 1))
	from := float64(index) / float64(max(daemons, 1))
	_, position.Offset = math.Modf(at - from + 1)
	return position
}

// byHash compares targets by a hash of their names.
func byHash(a, b names.Target) int {
	return cmp.Or(
		cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))),
		cmp.Compare(a, b),
	)
}
