package distribution

import (
	"cmp"
	"slices"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/subset"
)

// watchKey is the key of the rendezvous order of watchers.
const watchKey = "manifest-root"

// first returns the first n hosts of the rendezvous order for a key.
func first(n int, key string, hosts []names.Host) []names.Host {
	members := make([]membership.Member, 0, len(hosts))
	for _, host := range hosts {
		members = append(members, membership.Member{Host: host})
	}
	slices.SortFunc(members, func(a, b membership.Member) int { return cmp.Compare(a.Host, b.Host) })
	chosen := make([]names.Host, 0, n)
	for _, member := range subset.First(n, key, members) {
		chosen = append(chosen, member.Host)
	}
	return chosen
}
