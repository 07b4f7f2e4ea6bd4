package platform

import "time"

// limiter is a token bucket that holds one second's calls.
type limiter struct {
	rate   float64 // calls a second
	tokens float64
	last   time.Time
}

func (l *limiter) take(now time.Time) bool {
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
