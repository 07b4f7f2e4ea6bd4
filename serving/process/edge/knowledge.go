package edge

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/process/published"
)

// listed reports whether a target is published; before the first list all are
// taken for it.
func (d *Daemon) listed(id names.Target) bool {
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

// mostIdle returns how many connections to a target may idle here.
func (d *Daemon) mostIdle(id names.Target) int {
	most := 0
	if view := d.follower.View(); view != nil {
		if service := serviceOf(view, id); service != nil {
			most = service.MaxConnections
		}
	}
	return upstream.IdleShare(most, len(d.members.Live()))
}

func (d *Daemon) table() (*routing.Table, bool) {
	view := d.follower.View()
	if view == nil {
		return nil, false
	}
	return view.Table, d.follower.UpToDate()
}

// Times to come back to a daemon without a recent configuration.
const (
	// bootTime is how long a daemon takes to read one if the store or a peer
	// answers, with a margin.
	bootTime = 400 * time.Millisecond
	// outageMin and outageMax bound the random time that an outage is taken
	// to go on: outages of the store last seconds, and a caller returns
	// once.
	outageMin = time.Second
	outageMax = 3 * time.Second
)

// comeBack returns when a caller may find a recent configuration here.
func (d *Daemon) comeBack() time.Duration {
	if time.Since(d.started) < bootTime {
		return bootTime
	}
	return outageMin + time.Duration(rand.Int64N(int64(outageMax-outageMin)))
}

func (d *Daemon) targetsOf(service names.Service) []replicas.Target {
	view := d.follower.View()
	if view == nil {
		return nil
	}
	return view.Targets[service]
}
