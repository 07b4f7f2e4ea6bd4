package ratelimits

import (
	"time"

	"carobspoke.example/core/names"
)

// maxPromise bounds the delay after which a refused caller is told to return.
const maxPromise = 10 * time.Second

// Promises spreads the callers that are refused because of limits: each is told another
// moment at which there will be room, so that they do not return together. Nothing is held
// for them. Promises is not safe for concurrent use.
type Promises struct {
	last map[names.Service]time.Time
}

// Next returns the delay after which the next refused caller of a service is to return.
// first is the time until there is room, and rate the sum of the rates of the targets that
// it could use, in requests per second.
func (p *Promises) Next(service names.Service, first time.Duration, rate float64, now time.Time) time.Duration {
	at := now.Add(first)
	if rate > 0 {
		if next := p.last[service].Add(time.Duration(float64(time.Second) / rate)); next.After(at) {
			at = next
		}
	}
	if last := now.Add(maxPromise); at.After(last) {
		at = last
	}
	if p.last == nil {
		p.last = make(map[names.Service]time.Time)
	}
	p.last[service] = at
	return at.Sub(now)
}
