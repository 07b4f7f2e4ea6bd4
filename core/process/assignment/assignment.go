// Package assignment says which daemon keeps which target, for one list of
// live members and one manifest version.
//
// Every daemon computes the same from the same inputs, so that nothing is
// agreed or stored. While views differ, two daemons may both take themselves
// for a keeper, or a target may briefly have fewer keepers: a keeper only
// watches, routes and gives idempotent orders, so that either is harmless.
package assignment

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/subset"
	"carobspoke.example/core/version/manifest"
)

// Relay is a daemon that keeps targets of a model.
type Relay struct {
	Host names.Host
	// Targets is how many of the model's targets it keeps.
	Targets int
}

// Assignment is the result for one daemon. It is immutable and safe for
// concurrent use.
type Assignment struct {
	self   names.Host
	count  int
	kept   map[names.Target]bool
	first  map[names.Target]bool
	models map[names.Model]bool
	relays map[names.Model][]Relay
	total  map[names.Model]int
}

// Compute assigns targets to the assigner's members. keepers is the number of
// keepers of each target; zero leaves it to subset.KeeperCount.
func Compute(self names.Host, targets []manifest.Target, a *subset.Assigner, keepers int) *Assignment {
	if keepers == 0 {
		keepers = subset.KeeperCount(len(a.Members()), len(targets))
	}
	r := &Assignment{
		self:   self,
		count:  keepers,
		kept:   make(map[names.Target]bool),
		first:  make(map[names.Target]bool),
		models: make(map[names.Model]bool),
		relays: make(map[names.Model][]Relay),
		total:  make(map[names.Model]int),
	}
	loads := make(map[names.Model]map[names.Host]int)
	for i := range targets {
		r.assign(&targets[i], a, loads)
	}
	for model, hosts := range loads {
		r.relays[model] = sorted(hosts)
	}
	return r
}

func (r *Assignment) assign(t *manifest.Target, a *subset.Assigner, loads map[names.Model]map[names.Host]int) {
	for i, keeper := range a.Keepers(t.Name, t.DataCentre, r.count) {
		if keeper.Host == r.self {
			r.kept[t.Name] = true
			r.first[t.Name] = i == 0
		}
		if t.Service != "" || t.Isolation {
			continue
		}
		if keeper.Host == r.self {
			r.models[t.Want.Model] = true
			continue
		}
		if loads[t.Want.Model] == nil {
			loads[t.Want.Model] = make(map[names.Host]int)
		}
		loads[t.Want.Model][keeper.Host]++
		r.total[t.Want.Model]++
	}
}

func sorted(hosts map[names.Host]int) []Relay {
	list := make([]Relay, 0, len(hosts))
	for host, targets := range hosts {
		list = append(list, Relay{Host: host, Targets: targets})
	}
	slices.SortFunc(list, func(a, b Relay) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// Keepers returns how many daemons keep each target.
func (r *Assignment) Keepers() int { return r.count }

// Kept reports whether this daemon keeps a target.
func (r *Assignment) Kept(t names.Target) bool { return r.kept[t] }

// First reports whether this daemon is the first of a target's keepers, which
// gives it orders.
func (r *Assignment) First(t names.Target) bool { return r.first[t] }

// KeepsModel reports whether this daemon keeps an engine that should serve a
// model, other than one for isolation.
func (r *Assignment) KeepsModel(m names.Model) bool { return r.models[m] }

// Relays returns the other daemons that keep targets of a model, by host.
func (r *Assignment) Relays(m names.Model) []Relay { return r.relays[m] }

// Pick returns a relay for a model that is not in avoid, at random, each in
// proportion to the targets that it keeps.
func (r *Assignment) Pick(m names.Model, avoid []names.Host, random *rand.Rand) (names.Host, bool) {
	left := r.total[m]
	for _, relay := range r.relays[m] {
		if slices.Contains(avoid, relay.Host) {
			left -= relay.Targets
		}
	}
	if left <= 0 {
		return "", false
	}
	drawn := random.IntN(left)
	for _, relay := range r.relays[m] {
		if slices.Contains(avoid, relay.Host) {
			continue
		}
		if drawn < relay.Targets {
			return relay.Host, true
		}
		drawn -= relay.Targets
	}
	return "", false
}
