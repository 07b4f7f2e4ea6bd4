// Package homes selects the daemons that place the requests of a service.
//
// The targets of a service are divided into groups of about GroupTargets. Each group
// has Count homes among the live daemons: the first ones of a rendezvous order, so
// that all daemons with the same view of the members select the same homes. An entry
// daemon asks the first home to place a request and reports the progress of the
// request to all homes of the group. The work of each group is thus known in one
// place without delay, and the number of messages of a request does not depend on
// the number of daemons.
//
// A daemon that has just started knows few members. It asks the seeds, which all daemons
// know. A seed that knows the members names the homes instead of placing the request; one
// that has just started itself places it. After a common start all requests are thus
// placed by one daemon, before any daemon knows all members.
//
// # Load patterns
//
// Many entry daemons receive requests within the time in which they could tell each
// other of them: with placement at each daemon, all of them would select the target
// that was the least loaded one before. A failing target is also known to all after a
// few requests, however few of them each entry daemon receives.
package homes

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
	"github.com/cespare/xxhash/v2"
)

const (
	// Count is the number of homes of a group. The second one takes over with a
	// current view of the group's work.
	Count = 2
	// GroupTargets is the mean number of targets of a group above which there is
	// one more group.
	GroupTargets = 128
	// minAge is the age from which a daemon places requests. A younger one does
	// not know most of the group's work yet. The age follows from the
	// incarnation, so that it is wrong where wall clocks differ.
	minAge = 3 * time.Second
	// JoinTime is how long after its start a daemon asks the seeds.
	JoinTime = 5 * time.Second
)

// Groups returns the number of groups of a service with this many targets.
func Groups(targets int) int {
	return max((targets+GroupTargets-1)/GroupTargets, 1)
}

// GroupOf returns the group of a target.
func GroupOf(id names.Target, groups int) int {
	if groups <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(string(id)) % uint64(groups))
}

// Group identifies a group of targets of a service.
type Group struct {
	Service names.Service
	// Index is the number of the group, below Groups.
	Index, Groups int
}

// Homes are the homes of a group.
type Homes struct {
	// Deciders are the daemons to ask, in this order.
	Deciders []names.Host
	// Listeners are the daemons that the progress of requests is reported to.
	// They include the deciders, and the daemons that will be deciders once they
	// know the group's work.
	Listeners []names.Host
}

// candidate is a member with its position in the rendezvous order.
type candidate struct {
	host names.Host
	rank uint64
	// unfit is true for a member that is not to be asked while there are others.
	unfit bool
}

// Select returns the homes of a group among the live members.
func Select(g Group, live []membership.Member, now time.Time) Homes {
	list := make([]candidate, 0, len(live))
	for i := range live {
		m := &live[i]
		age := now.Sub(time.Unix(0, int64(m.Incarnation)))
		list = append(list, candidate{host: m.Host, rank: rank(g, m.Host), unfit: m.State == membership.Suspect || age < minAge})
	}
	inOrder := first(list, func(a, b *candidate) int { return cmp.Compare(a.rank, b.rank) })
	deciders := first(list, func(a, b *candidate) int {
		return cmp.Or(compareBool(a.unfit, b.unfit), cmp.Compare(a.rank, b.rank))
	})
	listeners := slices.Clone(deciders)
	for _, host := range inOrder {
		if !slices.Contains(listeners, host) {
			listeners = append(listeners, host)
		}
	}
	return Homes{Deciders: deciders, Listeners: listeners}
}

// SelectSeeds returns the homes of a group for a daemon that has just started: the seeds
// decide, and the homes among the members that it knows listen too.
func SelectSeeds(g Group, seeds []names.Host, live []membership.Member, now time.Time) Homes {
	deciders := slices.Clone(seeds)
	slices.SortFunc(deciders, func(a, b names.Host) int { return cmp.Compare(rank(g, a), rank(g, b)) })
	listeners := slices.Clone(deciders[:min(len(deciders), Count)])
	for _, host := range Select(g, live, now).Listeners {
		if !slices.Contains(listeners, host) {
			listeners = append(listeners, host)
		}
	}
	return Homes{Deciders: deciders, Listeners: listeners}
}

// first returns the first Count hosts of an order.
func first(list []candidate, compare func(a, b *candidate) int) []names.Host {
	best := make([]*candidate, 0, Count+1)
	for i := range list {
		at, _ := slices.BinarySearchFunc(best, &list[i], compare)
		if at < Count {
			best = slices.Insert(best, at, &list[i])
			best = best[:min(len(best), Count)]
		}
	}
	hosts := make([]names.Host, 0, len(best))
	for _, c := range best {
		hosts = append(hosts, c.host)
	}
	return hosts
}

// rank returns the position of a host in the rendezvous order of a group.
func rank(g Group, host names.Host) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(uint64(g.Index))
	_, _ = digest.WriteString(string(g.Service)) // it never returns an error
	_, _ = digest.WriteString("/")               // as above
	_, _ = digest.WriteString(string(host))      // as above
	return digest.Sum64()
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// Choose returns the group to ask first and the one to ask if that refuses: the less
// loaded of two random groups, then the other. pressure returns the last known load
// of a group, zero if it is unknown.
func Choose(groups int, pressure func(group int) float64, random *rand.Rand) (chosen, other int) {
	if groups <= 1 {
		return 0, 0
	}
	chosen = random.IntN(groups)
	other = (chosen + 1 + random.IntN(groups-1)) % groups
	if pressure(other) < pressure(chosen) {
		return other, chosen
	}
	return chosen, other
}
