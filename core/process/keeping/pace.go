package keeping

import "time"

// Pace returns the time between two polls of each of n targets, so that polls
// of so many bytes stay within a rate in bytes a second; zero means no limit
// on the rate. It is never below shortest nor above longest.
func Pace(n, pollBytes int, rate float64, shortest, longest time.Duration) time.Duration {
	if rate <= 0 {
		return shortest
	}
	wanted := time.Duration(float64(n*pollBytes) / rate * float64(time.Second))
	return min(max(wanted, shortest), longest)
}
