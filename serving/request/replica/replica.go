// Package replica chooses replicas of plain services for calls. It prefers
// replicas that were not tried and did not fail recently, in the daemon's data
// centre if possible, and rotates among equal ones. Departing replicas get no
// calls.
package replica

import (
	"sync"
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/manifest"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/calls"
	"carobspoke.example/serving/version"
)

// FailureCooldown is how long a replica that failed is avoided while others are
// available.
const FailureCooldown = 2 * time.Second

// Picker implements calls.Picker on the manifest version in force. Its methods
// are safe for concurrent use.
type Picker struct {
	Versions   *version.Holder
	DataCentre names.DataCentre
	// Client returns a client of the replica at an address.
	Client func(address string) targetapi.Service
	// Departing reports whether a target is departing and takes no new work.
	Departing func(view *version.Snapshot, t names.Target) bool

	rotation atomic.Uint64
	mu       sync.Mutex
	failedAt map[names.Target]time.Time
}

var _ calls.Picker = (*Picker)(nil)

// Pick implements calls.Picker.
func (p *Picker) Pick(service names.Service, tried []names.Target) (names.Target, targetapi.Service, error) {
	view := p.Versions.Current()
	if view == nil {
		return "", nil, verdict.New(verdict.NotRun, verdict.NotReady, "no manifest is in force yet").WithRetryAfter(time.Second)
	}
	p.recordFailure(tried)
	best := p.best(view, service, tried)
	if best == nil {
		return "", nil, verdict.New(verdict.NotRun, verdict.NoTarget, "no replica of the service takes calls").WithRetryAfter(time.Second)
	}
	return best.Name, p.Client(best.Address), nil
}

// recordFailure records that the latest of the tried replicas failed, and
// deletes records older than FailureCooldown.
func (p *Picker) recordFailure(tried []names.Target) {
	if len(tried) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failedAt == nil {
		p.failedAt = make(map[names.Target]time.Time)
	}
	p.failedAt[tried[len(tried)-1]] = time.Now()
	for t, at := range p.failedAt {
		if time.Since(at) > FailureCooldown {
			delete(p.failedAt, t)
		}
	}
}

// best returns the replica with the lowest penalty. The rotation decides among
// equals.
func (p *Picker) best(view *version.Snapshot, service names.Service, tried []names.Target) *manifest.Target {
	replicas := view.Index.TargetsOf(service)
	if len(replicas) == 0 {
		return nil
	}
	first := int(p.rotation.Add(1) % uint64(len(replicas)))
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *manifest.Target
	lowest := 0
	for i := range replicas {
		candidate := replicas[(first+i)%len(replicas)]
		if p.Departing(view, candidate.Name) {
			continue
		}
		if penalty := p.penalty(candidate, tried); best == nil || penalty < lowest {
			best, lowest = candidate, penalty
		}
	}
	return best
}

// Penalties of a replica. Each outweighs the sum of the smaller ones.
const (
	otherDataCentrePenalty = 1
	recentFailurePenalty   = 2
	alreadyTriedPenalty    = 4
)

// penalty returns the sum of the penalties that apply to a replica.
func (p *Picker) penalty(t *manifest.Target, tried []names.Target) int {
	sum := 0
	if t.DataCentre != p.DataCentre {
		sum += otherDataCentrePenalty
	}
	if at, ok := p.failedAt[t.Name]; ok && time.Since(at) < FailureCooldown {
		sum += recentFailurePenalty
	}
	for _, name := range tried {
		if name == t.Name {
			sum += alreadyTriedPenalty
		}
	}
	return sum
}
