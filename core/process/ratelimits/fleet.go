package ratelimits

import "time"

// memoryTime is how long Fleet remembers at least how many daemons there were.
const memoryTime = time.Minute

// Fleet tells the share of a target's rate that a daemon may let through as a home.
//
// Daemons of which the others were lost cannot know whether these have died or place
// requests on the other side of a partition. The side that has more than half of the fleet
// uses the whole rate, and any other one its part of the fleet, so that all sides together
// stay below one and a half times the rate.
type Fleet struct {
	// most holds the largest number of live daemons in the current period of memoryTime
	// and in the one before.
	most  [2]int
	began time.Time
}

// Share returns the share for a daemon that knows this number of live daemons, itself
// included.
func (f *Fleet) Share(live int, now time.Time) float64 {
	live = max(live, 1)
	if now.Sub(f.began) > memoryTime {
		f.most = [2]int{live, f.most[0]}
		f.began = now
	}
	f.most[0] = max(f.most[0], live)
	known := max(f.most[0], f.most[1])
	if 2*live > known {
		return 1
	}
	return float64(live) / float64(known)
}
