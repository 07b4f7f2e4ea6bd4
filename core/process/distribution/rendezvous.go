package distribution

import (
	"cmp"
	"slices"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/subset"
)

// watcherKey is the rendezvous hashing key that selects watchers.
const watcherKey = "manifest-root"

// firstHosts returns the first n hosts of the rendezvous order for a key.
func firstHosts(n int, key string, hosts []names.Host) []names.Host {
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
