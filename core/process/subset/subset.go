// Package subset assigns targets and keys to daemons by rendezvous hashing.
//
// Each daemon computes the same assignment from the same members, so that
// nothing has to be agreed or stored. When a member comes or goes, only what
// it gains or held moves. Daemons whose views differ for a while assign
// differently for as long; whoever relies on an assignment must bear that two
// daemons hold it at once.
//
// A target's keepers are taken from its own data centre first, then from its
// region, then from the rest. All functions are pure.
package subset

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/membership"
)

const (
	// TargetsEach is how many targets a daemon is meant to keep.
	TargetsEach = 32
	// MinKeepers is the least number of keepers of a target.
	MinKeepers = 3
	// FewDaemons is the fleet up to which every daemon keeps every target, if
	// the targets are few too.
	FewDaemons = 12
)

// KeeperCount returns how many daemons keep each target: as many as give each
// daemon about TargetsEach, at least MinKeepers, and all daemons of a small
// fleet.
func KeeperCount(daemons, targets int) int {
	if targets <= TargetsEach && daemons <= FewDaemons {
		return daemons
	}
	if targets == 0 {
		return min(daemons, MinKeepers)
	}
	k := (TargetsEach*daemons + targets/2) / targets
	return min(daemons, max(MinKeepers, k))
}

// candidate is a member with its place in an order.
type candidate struct {
	index int
	tier  int
	score uint64
}

// before orders candidates: nearer first, then higher score, then by host.
func (c candidate) before(o candidate) bool {
	if c.tier != o.tier {
		return c.tier < o.tier
	}
	if c.score != o.score {
		return c.score > o.score
	}
	return c.index < o.index
}

// Assigner assigns by one list of members. It is immutable and safe for
// concurrent use.
type Assigner struct {
	members []membership.Member
	hashes  []uint64
	regions map[names.DataCentre]names.Region
	// all are the indices of members, and local those of each data centre.
	all   []int
	local map[names.DataCentre][]int
}

// New returns an Assigner of members, which must be sorted by host, as
// membership.Live gives them, and must not be changed afterwards.
func New(members []membership.Member) *Assigner {
	a := &Assigner{
		members: members,
		hashes:  make([]uint64, len(members)),
		regions: make(map[names.DataCentre]names.Region),
		all:     make([]int, len(members)),
		local:   make(map[names.DataCentre][]int),
	}
	for i := range members {
		a.hashes[i] = xxhash.Sum64String(string(members[i].Host))
		a.regions[members[i].DataCentre] = members[i].Region
		a.all[i] = i
		a.local[members[i].DataCentre] = append(a.local[members[i].DataCentre], i)
	}
	return a
}

// Members returns the members that the Assigner works with.
func (a *Assigner) Members() []membership.Member { return a.members }

// Keepers returns the first k members of the target's order, its data centre's
// first.
func (a *Assigner) Keepers(t names.Target, dc names.DataCentre, k int) []membership.Member {
	if near := a.local[dc]; len(near) >= k {
		return a.first("t/"+string(t), k, near, func(*membership.Member) int { return 0 })
	}
	region, known := a.regions[dc]
	return a.first("t/"+string(t), k, a.all, func(m *membership.Member) int {
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

// IsKeeper reports whether a host is among the first k of the target's order.
func (a *Assigner) IsKeeper(h names.Host, t names.Target, dc names.DataCentre, k int) bool {
	for _, m := range a.Keepers(t, dc, k) {
		if m.Host == h {
			return true
		}
	}
	return false
}

// First returns the first n members of a key's order, wherever they are.
func (a *Assigner) First(n int, key string) []membership.Member {
	return a.first("k/"+key, n, a.all, func(*membership.Member) int { return 0 })
}

// Home returns the first member of a key's order; false without members.
func (a *Assigner) Home(key string) (membership.Member, bool) {
	first := a.First(1, key)
	if len(first) == 0 {
		return membership.Member{}, false
	}
	return first[0], true
}

// Keepers is New(members).Keepers(t, dc, k), for a single question.
func Keepers(t names.Target, dc names.DataCentre, members []membership.Member, k int) []membership.Member {
	return New(members).Keepers(t, dc, k)
}

// Home is New(members).Home(key), for a single question.
func Home(key string, members []membership.Member) (membership.Member, bool) {
	return New(members).Home(key)
}

// First is New(members).First(n, key), for a single question.
func First(n int, key string, members []membership.Member) []membership.Member {
	return New(members).First(n, key)
}

// first keeps the best n candidates in order while it looks at each of the
// members with the given indices.
func (a *Assigner) first(key string, n int, among []int, tier func(*membership.Member) int) []membership.Member {
	n = min(n, len(among))
	if n <= 0 {
		return nil
	}
	hash := xxhash.Sum64String(key)
	best := make([]candidate, 0, n+1)
	for _, i := range among {
		c := candidate{index: i, tier: tier(&a.members[i]), score: mix(a.hashes[i], hash)}
		if len(best) == n && !c.before(best[n-1]) {
			continue
		}
		best = place(best, c, n)
	}
	chosen := make([]membership.Member, len(best))
	for i, c := range best {
		chosen[i] = a.members[c.index]
	}
	return chosen
}

func place(best []candidate, c candidate, n int) []candidate {
	i := len(best)
	for i > 0 && c.before(best[i-1]) {
		i--
	}
	best = slices.Insert(best, i, c)
	return best[:min(n, len(best))]
}

// mix hashes a member and a key together.
func mix(member, key uint64) uint64 {
	h := member ^ (key * 0x9e3779b97f4a7c15)
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
