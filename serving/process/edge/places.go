package edge

import (
	"time"

	"carobspoke.example/core/names"
)

// evacuated reports whether operators want a data centre evacuated.
func (d *Daemon) evacuated(names.DataCentre) bool { return false }

// takenBack returns when this daemon learnt that a data centre is no longer to be evacuated;
// zero if it never was.
func (d *Daemon) takenBack(names.DataCentre) time.Time { return time.Time{} }

// regionOf returns the region of a data centre; empty if the settings do not name it.
func (d *Daemon) regionOf(dataCentre names.DataCentre) names.Region {
	return d.Settings.Regions[dataCentre]
}
