package orders

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/version/manifest"
	"github.com/cespare/xxhash/v2"
)

// Limits bound the number of a model's engines that are out of service at the
// same time.
type Limits struct {
	// MaxUnavailableShare is the largest share of a model's engines that may
	// be out of service, from 0 to 1.
	MaxUnavailableShare float64
	// StoreBytesPerSecond is the throughput of the weight store over all its
	// readers; zero if it is unknown.
	StoreBytesPerSecond float64
	// MaxLoadTime bounds the time in which an engine reads its weights while
	// the largest allowed number of engines read at the same time.
	MaxLoadTime time.Duration
}

// DefaultLimits returns the default limits of this release.
func DefaultLimits() Limits {
	return Limits{MaxUnavailableShare: 0.25, MaxLoadTime: 5 * time.Minute}
}

// LaneCount returns the number of lanes for n engines whose weights have a size
// of weightBytes. It is the number of engines that may be out of service at the
// same time, and at least one.
func (l Limits) LaneCount(n int, weightBytes int64) int {
	lanes := int(l.MaxUnavailableShare * float64(n))
	if l.StoreBytesPerSecond > 0 && weightBytes > 0 {
		readers := int(l.StoreBytesPerSecond * l.MaxLoadTime.Seconds() / float64(weightBytes))
		lanes = min(lanes, readers)
	}
	return max(lanes, 1)
}

// LaneNeighbours returns the engines before and after t in its lane, in the order
// of the lane. The order depends only on the names of the targets, so a lane does
// not change between versions. The argument engines lists all engines of the
// model, including t.
func LaneNeighbours(engines []*manifest.Target, t *manifest.Target, lanes int) (before, after []*manifest.Target) {
	order := slices.Clone(engines)
	slices.SortFunc(order, func(a, b *manifest.Target) int {
		return cmp.Or(cmp.Compare(nameHash(a), nameHash(b)), cmp.Compare(a.Name, b.Name))
	})
	position := slices.IndexFunc(order, func(e *manifest.Target) bool { return e.Name == t.Name })
	for i := position % lanes; i < len(order); i += lanes {
		switch {
		case i < position:
			before = append(before, order[i])
		case i > position:
			after = append(after, order[i])
		}
	}
	return before, after
}

func nameHash(t *manifest.Target) uint64 { return xxhash.Sum64String(string(t.Name)) }

// WeightBytes returns the size in bytes of the weights that a target should
// serve, or zero if the manifest does not state it.
func WeightBytes(x *manifest.Index, t *manifest.Target) int64 {
	model, found := x.Model(t.Want.Model)
	if !found {
		return 0
	}
	for _, v := range model.Versions {
		if v.Name == t.Want.Version {
			return v.WeightBytes
		}
	}
	return 0
}
