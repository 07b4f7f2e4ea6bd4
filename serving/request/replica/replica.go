// Package replica chooses replicas of plain services for calls: one that was
// not tried, does not leave and did not fail of late, in the caller's data
// centre if there is one, and the others in turn.
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

// SpareFor is how long a replica that failed is passed over while others are
// there.
const SpareFor = 2 * time.Second

// Picker implements calls.Picker on the version in force. Its methods are safe
// for concurrent use.
type Picker struct {
	Versions   *version.Holder
	DataCentre names.DataCentre
	// Client returns a client of a replica.
	Client func(address string) targetapi.Service
	// Gone reports whether a departing target takes no new work.
	Gone func(view *version.Snapshot, t names.Target) bool

	turn   atomic.Uint64
	mu     sync.Mutex
	failed map[names.Target]time.Time
}

var _ calls.Picker = (*Picker)(nil)

// Pick implements calls.Picker.
func (p *Picker) Pick(service names.Service, tried []names.Target) (names.Target, targetapi.Service, error) {
	view := p.Versions.Current()
	if view == nil {
		return "", nil, verdict.New(verdict.NotRun, verdict.NotReady, "no manifest is in force yet").WithRetryAfter(time.Second)
	}
	p.note(tried)
	best := p.best(view, service, tried)
	if best == nil {
		return "", nil, verdict.New(verdict.NotRun, verdict.NoTarget, "no replica of the service takes calls").WithRetryAfter(time.Second)
	}
	return best.Name, p.Client(best.Address), nil
}

// note remembers the replica that failed last.
func (p *Picker) note(tried []names.Target) {
	if len(tried) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failed == nil {
		p.failed = make(map[names.Target]time.Time)
	}
	p.failed[tried[len(tried)-1]] = time.Now()
	for t, at := range p.failed {
		if time.Since(at) > SpareFor {
			delete(p.failed, t)
		}
	}
}

// best returns the replica with the least against it; the turn decides among
// equals.
func (p *Picker) best(view *version.Snapshot, service names.Service, tried []names.Target) *manifest.Target {
	replicas := view.Index.TargetsOf(service)
	if len(replicas) == 0 {
		return nil
	}
	first := int(p.turn.Add(1) % uint64(len(replicas)))
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *manifest.Target
	lowest := 0
	for i := range replicas {
		candidate := replicas[(first+i)%len(replicas)]
		if p.Gone(view, candidate.Name) {
			continue
		}
		if against := p.against(candidate, tried); best == nil || against < lowest {
			best, lowest = candidate, against
		}
	}
	return best
}

// What speaks against a replica.
const (
	otherDataCentre = 1
	failedOfLate    = 2
	wasTried        = 4
)

func (p *Picker) against(t *manifest.Target, tried []names.Target) int {
	sum := 0
	if t.DataCentre != p.DataCentre {
		sum += otherDataCentre
	}
	if at, ok := p.failed[t.Name]; ok && time.Since(at) < SpareFor {
		sum += failedOfLate
	}
	for _, name := range tried {
		if name == t.Name {
			sum += wasTried
		}
	}
	return sum
}
