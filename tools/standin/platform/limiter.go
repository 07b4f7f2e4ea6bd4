package platform

import "time"

// limiter is a token bucket with a capacity of the calls of one second.
type limiter struct {
	rate   float64 // calls a second
	tokens float64
	last   time.Time
}

// allow takes a token and reports whether there was one.
func (l *limiter) allow(now time.Time) bool {
	if l.last.IsZero() {
		l.tokens = l.rate
	} else {
		l.tokens = min(l.rate, l.tokens+now.Sub(l.last).Seconds()*l.rate)
	}
	l.last = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
