package keeper

import (
	"time"

	"carobspoke.example/core/process/subset"
)

// Limits on the polls of the reports of all kept engines together, in bytes per
// second. In a large fleet each engine has so many requests that its answers report
// its load, so that only idle engines are polled.
const (
	smallFleetPollRate = 40 << 10
	largeFleetPollRate = 2 << 10
)

// PollRate returns the limit on a daemon's polls of reports, in bytes per second,
// in a fleet of the given number of daemons.
func PollRate(daemons int) float64 {
	if daemons <= subset.MaxSmallFleet {
		return smallFleetPollRate
	}
	return largeFleetPollRate
}

// ScaledInterval returns the interval every, scaled by the ratio of reports, the
// interval between polls of reports, to ReportInterval. The result is at most
// longest.
func ScaledInterval(every, reports, longest time.Duration) time.Duration {
	return min(time.Duration(float64(every)*reports.Seconds()/ReportInterval.Seconds()), longest)
}
