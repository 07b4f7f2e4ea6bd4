// Package subset assigns targets and keys to daemons by rendezvous hashing.
//
// Each daemon computes the same assignment from the same members, without
// coordination or stored state. When a member joins or leaves, only the
// assignments that it gains or held change. While daemons have different views
// of the members their assignments differ, so that users of an assignment must
// tolerate that two daemons hold it at the same time.
//
// The keepers of a target are taken first from the target's data centre, then
// from its region, then from other regions. All functions are pure.
package subset

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
)

const (
	// TargetsPerDaemon is the desired number of targets that a daemon keeps.
	TargetsPerDaemon = 32
	// MinKeepers is the minimum number of keepers of a target.
	MinKeepers = 3
	// MaxSmallFleet is the largest number of daemons for which every daemon
	// keeps every target, if there are at most TargetsPerDaemon targets.
	MaxSmallFleet = 12
)

// KeeperCount returns the number of keepers per target. It gives each daemon about
// TargetsPerDaemon targets and each target at least MinKeepers keepers. In a small
// fleet all daemons keep each target. The result never exceeds daemons.
func KeeperCount(daemons, targets int) int {
	if targets <= TargetsPerDaemon && daemons <= MaxSmallFleet {
		return daemons
	}
	if targets == 0 {
		return min(daemons, MinKeepers)
	}
	k := (TargetsPerDaemon*daemons + targets/2) / targets
	return min(daemons, max(MinKeepers, k))
}

// candidate is a member with the values that determine its rank for a key.
type candidate struct {
	index int
	tier  int
	score uint64
}

// before reports whether c ranks before o: by lower tier, then by higher score,
// then by host.
func (c candidate) before(o candidate) bool {
	if c.tier != o.tier {
		return c.tier < o.tier
	}
	if c.score != o.score {
		return c.score > o.score
	}
	return c.index < o.index
}

// Assigner computes assignments for a fixed list of members. It is immutable and
// safe for concurrent use.
type Assigner struct {
	members    []membership.Member
	hostHashes []uint64
	regions    map[names.DataCentre]names.Region
	// all holds the indices of all members, byDataCentre those of the members
	// in each data centre.
	all          []int
	byDataCentre map[names.DataCentre][]int
}

// New returns an Assigner for members, which must be sorted by host, as returned
// by membership.Live, and must not be modified afterwards.
func New(members []membership.Member) *Assigner {
	a := &Assigner{
		members:      members,
		hostHashes:   make([]uint64, len(members)),
		regions:      make(map[names.DataCentre]names.Region),
		all:          make([]int, len(members)),
		byDataCentre: make(map[names.DataCentre][]int),
	}
	for i := range members {
		a.hostHashes[i] = xxhash.Sum64String(string(members[i].Host))
		a.regions[members[i].DataCentre] = members[i].Region
		a.all[i] = i
		a.byDataCentre[members[i].DataCentre] = append(a.byDataCentre[members[i].DataCentre], i)
	}
	return a
}

// Members returns the members given to New.
func (a *Assigner) Members() []membership.Member { return a.members }

// Keepers returns the k highest ranked members for a target: members of its data
// centre first, then members of its region, then others.
func (a *Assigner) Keepers(t names.Target, dc names.DataCentre, k int) []membership.Member {
	if near := a.byDataCentre[dc]; len(near) >= k {
		return a.topMembers("t/"+string(t), k, near, func(*membership.Member) int { return 0 })
	}
	region, known := a.regions[dc]
	return a.topMembers("t/"+string(t), k, a.all, func(m *membership.Member) int {
		switch {
		case m.DataCentre == dc:
			return 0
		case known && m.Region == region:
			return 1
		default:
			return 2
		}
	})
}

// IsKeeper reports whether a host is among the k keepers of a target.
func (a *Assigner) IsKeeper(h names.Host, t names.Target, dc names.DataCentre, k int) bool {
	for _, m := range a.Keepers(t, dc, k) {
		if m.Host == h {
			return true
		}
	}
	return false
}

// First returns the n highest ranked members for a key, regardless of data centre.
func (a *Assigner) First(n int, key string) []membership.Member {
	return a.topMembers("k/"+key, n, a.all, func(*membership.Member) int { return 0 })
}

// Home returns the highest ranked member for a key. It returns false if there are
// no members.
func (a *Assigner) Home(key string) (membership.Member, bool) {
	first := a.First(1, key)
	if len(first) == 0 {
		return membership.Member{}, false
	}
	return first[0], true
}

// Keepers returns New(members).Keepers(t, dc, k), for a single lookup.
func Keepers(t names.Target, dc names.DataCentre, members []membership.Member, k int) []membership.Member {
	return New(members).Keepers(t, dc, k)
}

// Home returns New(members).Home(key), for a single lookup.
func Home(key string, members []membership.Member) (membership.Member, bool) {
	return New(members).Home(key)
}

// First returns New(members).First(n, key), for a single lookup.
func First(n int, key string, members []membership.Member) []membership.Member {
	return New(members).First(n, key)
}

// topMembers returns the n highest ranked of the members with the given indices,
// highest rank first. It keeps a sorted list of the best n while it iterates.
func (a *Assigner) topMembers(key string, n int, among []int, tier func(*membership.Member) int) []membership.Member {
	n = min(n, len(among))
	if n <= 0 {
		return nil
	}
	hash := xxhash.Sum64String(key)
	best := make([]candidate, 0, n+1)
	for _, i := range among {
		c := candidate{index: i, tier: tier(&a.members[i]), score: combineHashes(a.hostHashes[i], hash)}
		if len(best) == n && !c.before(best[n-1]) {
			continue
		}
		best = insertRanked(best, c, n)
	}
	chosen := make([]membership.Member, len(best))
	for i, c := range best {
		chosen[i] = a.members[c.index]
	}
	return chosen
}

// insertRanked inserts c into the sorted list best and truncates it to n.
func insertRanked(best []candidate, c candidate, n int) []candidate {
	i := len(best)
	for i > 0 && c.before(best[i-1]) {
		i--
	}
	best = slices.Insert(best, i, c)
	return best[:min(n, len(best))]
}

// combineHashes returns the rendezvous score of a member's hash and a key's hash.
func combineHashes(member, key uint64) uint64 {
	h := member ^ (key * 0x9e3779b97f4a7c15)
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
