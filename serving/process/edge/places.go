package edge

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"carobspoke.example/serving/process/published"
)

// evacuated reports whether operators want a data centre evacuated.
func (d *Daemon) evacuated(dataCentre names.DataCentre) bool {
	view := d.follower.View()
	return view != nil && isEvacuated(view, dataCentre)
}

// isEvacuated reports whether a data centre is evacuated in a view.
func isEvacuated(view *published.View, dataCentre names.DataCentre) bool {
	_, evacuated := view.Evacuated[dataCentre]
	return evacuated
}

// takenBack returns when this daemon learnt that a data centre is no longer to be evacuated;
// zero if it never was.
func (d *Daemon) takenBack(dataCentre names.DataCentre) time.Time {
	view := d.follower.View()
	if view == nil {
		return time.Time{}
	}
	return view.TakenBack[dataCentre]
}

// regionOf returns the region of a data centre; empty if the settings do not name it.
func (d *Daemon) regionOf(dataCentre names.DataCentre) names.Region {
	return d.Settings.Regions[dataCentre]
}

// closeEvacuated closes the idle connections to the targets in evacuated data centres. It is
// called with each new position: a connection may have become idle since the last one.
func (d *Daemon) closeEvacuated() {
	view := d.follower.View()
	if view == nil || len(view.Evacuated) == 0 {
		return
	}
	for _, list := range view.Targets {
		for i := range list {
			if isEvacuated(view, list[i].DataCentre) {
				d.targetPool.CloseIdle(list[i].ID)
			}
		}
	}
}

// evacuationAge returns the number of evacuated data centres and the age of the oldest
// evacuation, as this daemon has learnt of them.
func (d *Daemon) evacuationAge() (count int, oldest time.Duration) {
	view := d.follower.View()
	if view == nil {
		return 0, 0
	}
	for _, since := range view.Evacuated {
		oldest = max(oldest, time.Since(since))
	}
	return len(view.Evacuated), oldest
}

// openTargets returns the targets of a view outside evacuated data centres.
func openTargets(view *published.View) []*replicas.Target {
	var all []*replicas.Target
	for _, list := range view.Targets {
		for i := range list {
			if !isEvacuated(view, list[i].DataCentre) {
				all = append(all, &list[i])
			}
		}
	}
	return all
}
