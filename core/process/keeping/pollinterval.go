package keeping

import "time"

// PollInterval returns the time between two polls of each of n targets so that
// polls of pollBytes bytes each stay within rate, in bytes a second. A rate of
// zero or less means no limit. The result is at least shortest and at most
// longest.
func PollInterval(n, pollBytes int, rate float64, shortest, longest time.Duration) time.Duration {
	if rate <= 0 {
		return shortest
	}
	wanted := time.Duration(float64(n*pollBytes) / rate * float64(time.Second))
	return min(max(wanted, shortest), longest)
}
