package edge

import (
	"math/rand/v2"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/core/version/routing"
)

func (d *Daemon) listed(id names.Target) bool {
	view := d.follower.View()
	if view == nil {
		return true
	}
	for _, list := range view.Targets {
		_, found := slices.BinarySearchFunc(list, id, func(t replicas.Target, id names.Target) int {
			switch {
			case t.ID < id:
				return -1
			case t.ID > id:
				return 1
			default:
				return 0
			}
		})
		if found {
			return true
		}
	}
	return false
}

func (d *Daemon) table() (*routing.Table, bool) {
	view := d.follower.View()
	if view == nil {
		return nil, false
	}
	return view.Table, d.follower.Recent()
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
