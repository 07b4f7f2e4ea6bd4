package orders

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/version/manifest"
	"github.com/cespare/xxhash/v2"
)

// Limits bound how many engines of a model are out of service at once.
type Limits struct {
	// Share is the largest share of a model's engines.
	Share float64
	// StoreRate is the weight store's rate for all its readers, in bytes a
	// second; zero if it is not known.
	StoreRate float64
	// LoadWithin is how long an engine may take to read its weights when
	// as many as allowed read at once.
	LoadWithin time.Duration
}

// DefaultLimits returns the limits of this release.
func DefaultLimits() Limits {
	return Limits{Share: 0.25, LoadWithin: 5 * time.Minute}
}

// Lanes returns how many of n engines may be out of service at once, for
// weights of a size in bytes. It is at least one.
func (l Limits) Lanes(n int, weightBytes int64) int {
	lanes := int(l.Share * float64(n))
	if l.StoreRate > 0 && weightBytes > 0 {
		readers := int(l.StoreRate * l.LoadWithin.Seconds() / float64(weightBytes))
		lanes = min(lanes, readers)
	}
	return max(lanes, 1)
}

// Lane returns the engines before and after t in its lane, in the order of the
// lane. The order depends on names alone, so that a lane stays the same from
// version to version. Engines are all of the model, t among them.
func Lane(engines []*manifest.Target, t *manifest.Target, lanes int) (before, after []*manifest.Target) {
	order := slices.Clone(engines)
	slices.SortFunc(order, func(a, b *manifest.Target) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Name, b.Name))
	})
	place := slices.IndexFunc(order, func(e *manifest.Target) bool { return e.Name == t.Name })
	for i := place % lanes; i < len(order); i += lanes {
		switch {
		case i < place:
			before = append(before, order[i])
		case i > place:
			after = append(after, order[i])
		}
	}
	return before, after
}

func rank(t *manifest.Target) uint64 { return xxhash.Sum64String(string(t.Name)) }

// Weight returns the size of the weights that a target is to serve, in bytes,
// or zero if the manifest does not say.
func Weight(x *manifest.Index, t *manifest.Target) int64 {
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
