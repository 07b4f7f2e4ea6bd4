package keeper

import (
	"time"

	"carobspoke.example/core/process/subset"
)

// Rates of the polls of all kept engines' reports together, in bytes a second.
// In a large fleet each engine has so many requests that its answers tell its
// load, and only idle ones are asked.
const (
	pollRateOfFew  = 40 << 10
	pollRateOfMany = 2 << 10
)

// PollRate returns the rate of a daemon's polls in a fleet of so many daemons.
func PollRate(daemons int) float64 {
	if daemons <= subset.MaxSmallFleet {
		return pollRateOfFew
	}
	return pollRateOfMany
}

// Stretched returns a time between polls that grows with that of reports.
func Stretched(every, reports, longest time.Duration) time.Duration {
	return min(time.Duration(float64(every)*reports.Seconds()/ReportEvery.Seconds()), longest)
}
