// Package fleet tracks the live members and the manifest version in force, and
// derives the assignment from both: which targets this daemon keeps, which daemons
// relay for a model and which daemon is the home of a key.
//
// A View is immutable. When the members or the version change, a new view replaces
// it through an atomic pointer.
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

// RefreshEvery is the interval at which the members and the version are compared
// with the view.
const RefreshEvery = 100 * time.Millisecond

// Members provides the live members.
type Members interface {
	// Live returns the live members, including this daemon, sorted by host.
	Live() []membership.Member
}

// View is the state derived from one list of members and one version. Version is
// nil before the first one is in force.
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
	// onViewChanged is called with each new view, always by the same goroutine.
	onViewChanged func(*View)
	current       atomic.Pointer[View]

	mu sync.Mutex
	// failed holds the time of the last failure of each relay.
	failed map[names.Host]time.Time
}

// RelayCooldown is the time for which a relay that failed is not picked while
// others are available.
const RelayCooldown = 5 * time.Second

// New returns a fleet with an empty view. Run calls onViewChanged with each new
// view.
func New(self names.Host, members Members, versions *version.Holder, onViewChanged func(*View)) *Fleet {
	f := &Fleet{self: self, members: members, versions: versions, onViewChanged: onViewChanged}
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
	next := &View{Members: slices.Clone(live), Version: state, Assigner: subset.New(acceptingMembers(live))}
	next.Assignment = f.assign(next)
	f.current.Store(next)
	f.onViewChanged(next)
}

// assign computes the assignment of targets and models for a view.
func (f *Fleet) assign(v *View) *assignment.Assignment {
	if v.Version == nil {
		return assignment.Compute(f.self, nil, v.Assigner, 1)
	}
	m := v.Version.Manifest
	return assignment.Compute(f.self, m.Targets, v.Assigner, m.Policy.Keepers)
}

// acceptingMembers returns the members that accept new work.
func acceptingMembers(members []membership.Member) []membership.Member {
	var list []membership.Member
	for i := range members {
		if members[i].AcceptsWork() {
			list = append(list, members[i])
		}
	}
	return list
}

// sameMembers reports whether two lists lead to the same assignment.
func sameMembers(a, b []membership.Member) bool {
	return slices.EqualFunc(a, b, func(x, y membership.Member) bool {
		return x.Host == y.Host && x.Incarnation == y.Incarnation && x.AcceptsWork() == y.AcceptsWork() && x.DataCentre == y.DataCentre
	})
}

// Keeps implements dispatch.Relays.
func (f *Fleet) Keeps(model names.Model) bool { return f.View().Assignment.KeepsModel(model) }

// Pick implements dispatch.Relays. It picks a relay that failed within the last
// RelayCooldown only if there is no other.
func (f *Fleet) Pick(model names.Model, avoid []names.Host) (names.Host, bool) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	assigned := f.View().Assignment
	if host, ok := assigned.PickRelay(model, slices.Concat(avoid, f.relaysInCooldown()), random); ok {
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

// relaysInCooldown returns the relays that failed within the last RelayCooldown,
// and drops older failures.
func (f *Fleet) relaysInCooldown() []names.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []names.Host
	for host, at := range f.failed {
		if time.Since(at) < RelayCooldown {
			list = append(list, host)
			continue
		}
		delete(f.failed, host)
	}
	return list
}

// IncarnationOf returns the incarnation of the live member on a host, or zero if
// there is none.
func (f *Fleet) IncarnationOf(host names.Host) names.Incarnation {
	for _, member := range f.View().Members {
		if member.Host == host {
			return member.Incarnation
		}
	}
	return 0
}
