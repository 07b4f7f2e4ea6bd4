// Package fleet follows the live members and the version in force, and
// answers what follows from both: which targets this daemon keeps, who relays
// for a model, who is the home of a key.
//
// A View is immutable; the newest is swapped in by an atomic pointer whenever
// members or version change.
package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/assignment"
	"carobspoke.example/core/process/membership"
	"carobspoke.example/core/process/subset"
	"carobspoke.example/serving/version"
)

// RefreshEvery is how often members and version are compared with the view.
const RefreshEvery = 100 * time.Millisecond

// Members gives the live members, this daemon included, sorted by host.
type Members interface {
	Live() []membership.Member
}

// View is what follows from one list of members and one version.
type View struct {
	Members    []membership.Member
	Version    *version.Snapshot
	Assigner   *subset.Assigner
	Assignment *assignment.Assignment
}

// Fleet holds the newest view. Its methods are safe for concurrent use.
type Fleet struct {
	self     names.Host
	members  Members
	versions *version.Holder
	// changed is told of each new view, by one goroutine.
	changed func(*View)
	current atomic.Pointer[View]

	mu     sync.Mutex
	failed map[names.Host]time.Time
}

// SpareFor is how long a relay that failed is passed over while others are
// there.
const SpareFor = 5 * time.Second

// New returns a fleet with an empty view.
func New(self names.Host, members Members, versions *version.Holder, changed func(*View)) *Fleet {
	f := &Fleet{self: self, members: members, versions: versions, changed: changed}
	f.current.Store(&View{Assigner: subset.New(nil), Assignment: assignment.Compute(self, nil, subset.New(nil), 1)})
	return f
}

// View returns the newest view.
func (f *Fleet) View() *View { return f.current.Load() }

// Run refreshes the view until the context ends.
func (f *Fleet) Run(ctx context.Context) {
	installed, cancel := f.versions.Subscribe()
	defer cancel()
	ticker := time.NewTicker(RefreshEvery)
	defer ticker.Stop()
	for {
		f.refresh()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-installed:
		}
	}
}

// refresh computes a new view if members or version changed.
func (f *Fleet) refresh() {
	old := f.View()
	live := f.members.Live()
	state := f.versions.Current()
	if state == old.Version && sameMembers(live, old.Members) {
		return
	}
	next := &View{Members: slices.Clone(live), Version: state, Assigner: subset.New(takers(live))}
	next.Assignment = f.assign(next)
	f.current.Store(next)
	f.changed(next)
}

func (f *Fleet) assign(v *View) *assignment.Assignment {
	if v.Version == nil {
		return assignment.Compute(f.self, nil, v.Assigner, 1)
	}
	m := v.Version.Manifest
	return assignment.Compute(f.self, m.Targets, v.Assigner, m.Policy.Keepers)
}

// takers returns the members that take new work.
func takers(members []membership.Member) []membership.Member {
	var list []membership.Member
	for i := range members {
		if members[i].AcceptsWork() {
			list = append(list, members[i])
		}
	}
	return list
}

// sameMembers reports whether two lists assign work in the same way.
func sameMembers(a, b []membership.Member) bool {
	return slices.EqualFunc(a, b, func(x, y membership.Member) bool {
		return x.Host == y.Host && x.Incarnation == y.Incarnation && x.AcceptsWork() == y.AcceptsWork() && x.DataCentre == y.DataCentre
	})
}

// Keeps implements dispatch.Relays.
func (f *Fleet) Keeps(model names.Model) bool { return f.View().Assignment.KeepsModel(model) }

// Pick implements dispatch.Relays.
func (f *Fleet) Pick(model names.Model, avoid []names.Host) (names.Host, bool) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	assigned := f.View().Assignment
	if host, ok := assigned.PickRelay(model, slices.Concat(avoid, f.spared()), random); ok {
		return host, true
	}
	return assigned.PickRelay(model, avoid, random)
}

// Failed implements dispatch.Relays.
func (f *Fleet) Failed(host names.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == nil {
		f.failed = make(map[names.Host]time.Time)
	}
	f.failed[host] = time.Now()
}

// spared returns the relays that failed of late, and forgets the others.
func (f *Fleet) spared() []names.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []names.Host
	for host, at := range f.failed {
		if time.Since(at) < SpareFor {
			list = append(list, host)
			continue
		}
		delete(f.failed, host)
	}
	return list
}

// Known returns the newest incarnation known of a host, or zero.
func (f *Fleet) Known(host names.Host) names.Incarnation {
	for _, member := range f.View().Members {
		if member.Host == host {
			return member.Incarnation
		}
	}
	return 0
}
