// Package assignment computes which daemon keeps which target, for one list of
// live members and one manifest version.
//
// Every daemon computes the same assignment from the same inputs, so nothing has
// to be agreed or stored. While views differ, two daemons may both consider
// themselves a keeper in the same place, or a target may briefly have fewer
// keepers. Both are harmless, since a keeper only watches, routes and sends
// idempotent orders.
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
	// TargetCount is the number of the model's targets that it keeps.
	TargetCount int
}

// Assignment holds the targets that one daemon keeps and the relays that it can
// use. It is immutable and safe for concurrent use.
type Assignment struct {
	self        names.Host
	keeperCount int
	kept        map[names.Target]bool
	first       map[names.Target]bool
	models      map[names.Model]bool
	relays      map[names.Model][]Relay
	// relayTargets is the sum of the relays' TargetCount, by model.
	relayTargets map[names.Model]int
}

// Compute assigns targets to the assigner's members and returns the result for
// self. keepers is the number of keepers of each target; zero means
// subset.KeeperCount.
func Compute(self names.Host, targets []manifest.Target, a *subset.Assigner, keepers int) *Assignment {
	if keepers == 0 {
		keepers = subset.KeeperCount(len(a.Members()), len(targets))
	}
	r := &Assignment{
		self:         self,
		keeperCount:  keepers,
		kept:         make(map[names.Target]bool),
		first:        make(map[names.Target]bool),
		models:       make(map[names.Model]bool),
		relays:       make(map[names.Model][]Relay),
		relayTargets: make(map[names.Model]int),
	}
	relayLoads := make(map[names.Model]map[names.Host]int)
	for i := range targets {
		r.addTarget(&targets[i], a, relayLoads)
	}
	for model, hosts := range relayLoads {
		r.relays[model] = sortedRelays(hosts)
	}
	return r
}

// addTarget adds a target's keepers to the assignment. It counts in relayLoads the
// targets that other daemons keep, by model and host. Plain services and engines
// for isolation do not count for models and relays.
func (r *Assignment) addTarget(t *manifest.Target, a *subset.Assigner, relayLoads map[names.Model]map[names.Host]int) {
	for i, keeper := range a.Keepers(t.Name, t.DataCentre, r.keeperCount) {
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
		if relayLoads[t.Want.Model] == nil {
			relayLoads[t.Want.Model] = make(map[names.Host]int)
		}
		relayLoads[t.Want.Model][keeper.Host]++
		r.relayTargets[t.Want.Model]++
	}
}

func sortedRelays(hosts map[names.Host]int) []Relay {
	list := make([]Relay, 0, len(hosts))
	for host, targets := range hosts {
		list = append(list, Relay{Host: host, TargetCount: targets})
	}
	slices.SortFunc(list, func(a, b Relay) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// KeeperCount returns the number of keepers of each target.
func (r *Assignment) KeeperCount() int { return r.keeperCount }

// Keeps reports whether this daemon keeps a target.
func (r *Assignment) Keeps(t names.Target) bool { return r.kept[t] }

// IsFirstKeeper reports whether this daemon is the first of a target's keepers,
// the one that sends it orders.
func (r *Assignment) IsFirstKeeper(t names.Target) bool { return r.first[t] }

// KeepsModel reports whether this daemon keeps an engine for a model, not
// counting engines for isolation.
func (r *Assignment) KeepsModel(m names.Model) bool { return r.models[m] }

// Relays returns the other daemons that keep targets of a model, sorted by host.
func (r *Assignment) Relays(m names.Model) []Relay { return r.relays[m] }

// PickRelay returns a random relay for a model that is not in avoid, weighted by
// the number of targets that each keeps. It returns false if there is none.
func (r *Assignment) PickRelay(m names.Model, avoid []names.Host, random *rand.Rand) (names.Host, bool) {
	remaining := r.relayTargets[m]
	for _, relay := range r.relays[m] {
		if slices.Contains(avoid, relay.Host) {
			remaining -= relay.TargetCount
		}
	}
	if remaining <= 0 {
		return "", false
	}
	drawn := random.IntN(remaining)
	for _, relay := range r.relays[m] {
		if slices.Contains(avoid, relay.Host) {
			continue
		}
		if drawn < relay.TargetCount {
			return relay.Host, true
		}
		drawn -= relay.TargetCount
	}
	return "", false
}
