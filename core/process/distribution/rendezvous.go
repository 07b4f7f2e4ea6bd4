package distribution

import (
	"cmp"
	"slices"

	"carobspoke.example/core/names"
	"github.com/cespare/xxhash/v2"
)

// watchKey is the key of the rendezvous order of watchers.
const watchKey = "manifest-root"

// first returns the first n hosts of the rendezvous order for a key.
func first(n int, key string, hosts []names.Host) []names.Host {
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b names.Host) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return order[:min(n, len(order))]
}

func weight(key string, host names.Host) uint64 {
	return xxhash.Sum64String(key + "\x00" + string(host))
}
