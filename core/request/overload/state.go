package overload

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/fairness"
)

// State is what a home remembers of the requests of a service.
type State struct {
	// Demand is the prefill work that requests ask for.
	Demand  Demand
	usage   *fairness.Usage
	returns Returns
}

// NewState returns the state of a service that has had no requests.
func NewState() *State { return &State{usage: fairness.New()} }

// Placed records work of a customer, in the unit of placement.Size. Requests without a
// customer are not counted.
func (s *State) Placed(c names.Customer, size int, now time.Time) {
	if c != "" {
		s.usage.Add(now, c, 1, size)
	}
}

// overShareRatio is the ratio to the average use above which a customer counts as over its
// share. A customer at its share may exceed the average by half within a few seconds, since
// the sizes of prompts differ a hundredfold.
const overShareRatio = 1.5

// OverShare reports whether a customer recently used much more than the average customer.
func (s *State) OverShare(c names.Customer, now time.Time) bool {
	return c != "" && s.usage.RatioToAverage(now, c) > overShareRatio
}

const (
	// returnShare is the share of the freed slots that is promised to refused callers. The
	// rest is left to requests that come for the first time.
	returnShare = 0.25
	// maxReturnShare is the share of the time left within which a refused caller must return,
	// so that its request can still be served.
	maxReturnShare = 0.5
)

// RetryAfter returns the delay after which a refused caller should return: not before wait, and
// after the callers refused before it. random is in [0, 1).
func (s *State) RetryAfter(room *Room, wait, timeLeft time.Duration, random float64, now time.Time) time.Duration {
	interval := time.Duration(0)
	if room.Slots > 0 {
		interval = time.Duration(float64(room.SlotTime) / (returnShare * float64(room.Slots)))
	}
	return s.returns.Next(wait, interval, time.Duration(maxReturnShare*float64(timeLeft)), random, now)
}

// Returns spreads the returns of refused callers.
type Returns struct {
	// last is the latest time at which a caller was told to return.
	last time.Time
}

// Next returns the delay of the next caller: at least wait, and interval after the one before it,
// but at most latest. Callers who cannot wait for their turn are spread at random between wait and
// latest. random is in [0, 1).
func (r *Returns) Next(wait, interval, latest time.Duration, random float64, now time.Time) time.Duration {
	wait = min(wait, latest)
	at := now.Add(wait)
	if turn := r.last.Add(interval); turn.After(at) {
		at = turn
	}
	if delay := at.Sub(now); delay <= latest {
		r.last = at
		return delay
	}
	return wait + time.Duration(random*float64(latest-wait))
}
