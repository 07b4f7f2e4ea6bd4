package edge

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/process/published"
	"carobspoke.example/serving/request/relay"
)

// isPublished reports whether a target is published. It returns true for any target
// before the first list of targets is in force.
func (d *Daemon) isPublished(id names.Target) bool {
	view := d.follower.View()
	return view == nil || serviceOf(view, id) != nil
}

// serviceOf returns the service of a published target, or nil.
func serviceOf(view *published.View, id names.Target) *routing.Service {
	for name, list := range view.Targets {
		_, found := slices.BinarySearchFunc(list, id, func(t replicas.Target, id names.Target) int { return cmp.Compare(t.ID, id) })
		if found {
			if service := view.Table.Service(name); service != nil {
				return service
			}
			return &routing.Service{Name: name}
		}
	}
	return nil
}

// targetIndex holds the targets of a view by ID. It is built when a target of a new view
// is looked up. Its lock is a leaf lock.
type targetIndex struct {
	mu      sync.Mutex
	view    *published.View
	targets map[names.Target]replicas.Target
}

// of returns the target with an ID in a view, and whether there is one.
func (x *targetIndex) of(view *published.View, id names.Target) (replicas.Target, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.view != view {
		x.view, x.targets = view, make(map[names.Target]replicas.Target)
		for _, list := range view.Targets {
			for i := range list {
				x.targets[list[i].ID] = list[i]
			}
		}
	}
	target, ok := x.targets[id]
	return target, ok
}

// listedTarget returns the usable target with an ID, and whether there is one.
func (d *Daemon) listedTarget(id names.Target) (replicas.Target, bool) {
	view := d.follower.View()
	if view == nil {
		return replicas.Target{}, false
	}
	return d.index.of(view, id)
}

// maxIdleConns returns how many idle connections to a target this daemon may keep: none
// to one that is leaving or in an evacuated data centre.
func (d *Daemon) maxIdleConns(id names.Target) int {
	if target, ok := d.listedTarget(id); ok && (d.evacuated(target.DataCentre) || d.board.Leaving(target.Incarnation())) {
		return 0
	}
	most := 0
	if view := d.follower.View(); view != nil {
		if service := serviceOf(view, id); service != nil {
			most = service.MaxConnections
		}
	}
	return upstream.MaxIdlePerDaemon(most, len(d.members.Live()))
}

// configuration returns the configuration in force. Just after a pause of the process it waits
// until that may be recent.
func (d *Daemon) configuration() relay.Configuration {
	d.follower.AwaitAfterPause()
	view, evidence := d.follower.Current()
	if view == nil {
		return relay.Configuration{}
	}
	age := time.Since(evidence.ConfirmedAt)
	return relay.Configuration{
		Table: view.Table, Recent: age < published.MaxFreshAge, Age: age, Evidence: strings.TrimSpace(string(evidence.Origin) + " " + string(evidence.From)),
	}
}

// awaitTable waits for the first configuration until the daemon is bootTime old. After a
// loss of all hosts, callers come back to daemons that have just started: one that waits
// here is served sooner than one that is sent away and meets another such daemon.
func (d *Daemon) awaitTable(ctx context.Context) bool {
	left := bootTime - time.Since(d.started)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-d.follower.FirstView():
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// Retry-After times of a daemon that has no recent configuration.
const (
	// bootTime is how long a starting daemon takes to read a configuration if the
	// store or a peer answers: hundreds of daemons that start together share the
	// store's link. Until then a caller is to retry once that time has passed, after
	// a random further time between minBootMargin and maxBootMargin.
	bootTime      = 900 * time.Millisecond
	minBootMargin = 100 * time.Millisecond
	maxBootMargin = 500 * time.Millisecond
	// minOutageRetryAfter and maxOutageRetryAfter bound the random time after
	// which a caller retries during an outage of the store. Outages last
	// seconds, and a caller retries only once.
	minOutageRetryAfter = time.Second
	maxOutageRetryAfter = 3 * time.Second
)

// retryAfter returns the time after which a caller may retry, because the daemon is
// likely to have a recent configuration then.
func (d *Daemon) retryAfter() time.Duration {
	return retryAfter(time.Since(d.started))
}

// retryAfter returns the time after which a caller may retry at a daemon of the given age.
func retryAfter(age time.Duration) time.Duration {
	if age < bootTime {
		return bootTime - age + between(minBootMargin, maxBootMargin)
	}
	return between(minOutageRetryAfter, maxOutageRetryAfter)
}

// between returns a random time in [low, high).
func between(low, high time.Duration) time.Duration {
	return low + time.Duration(rand.Int64N(int64(high-low)))
}

// serviceNamed returns the parameters of a service, or nil if the configuration in
// force does not contain it.
func (d *Daemon) serviceNamed(name names.Service) *routing.Service {
	view := d.follower.View()
	if view == nil {
		return nil
	}
	return view.Table.Service(name)
}

// serviceNames returns the names of the services in the configuration in force.
func (d *Daemon) serviceNames() []names.Service {
	view := d.follower.View()
	if view == nil {
		return nil
	}
	return view.Table.ServiceNames()
}

// targetsOf returns the usable targets of a service.
func (d *Daemon) targetsOf(service names.Service) []replicas.Target {
	view := d.follower.View()
	if view == nil {
		return nil
	}
	return view.Targets[service]
}
