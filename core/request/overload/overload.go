// Package overload decides which requests of a service are delayed or refused when
// its engines have too little room, so that the callers lose least.
//
// # Load patterns
//
// A peak of short prompts takes all slots. A prompt that waits for a slot is late, and
// takes the slot that a later prompt would have found free: if all are served in the
// order of arrival, all are late for as long as the peak lasts. Late prompts therefore
// wait at a few engines only (LateEngines), and more of them are refused, with a
// Retry-After that spreads their return (State.RetryAfter).
//
// A peak of long prompts pauses the answers of all engines. Costs are weighted by rank
// (Weight), so that less urgent long prompts keep off engines with urgent answers.
//
// A customer that asks for more than its share is refused first, but only when the
// slots run out (State.OverShare, Room.Scarce).
//
// A State is not safe for concurrent use. Nothing here does I/O or reads a clock.
package overload

import (
	"math"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/fairness"
)

// DefaultRank is the rank of callers without a configured priority; its weight is one.
const DefaultRank = 1

const (
	// weightPerRank is the ratio of the weights of two successive ranks. A long prompt of
	// rank 2 has ten times the size of a short one and is worth four short ones of rank 0.
	weightPerRank = 2.0
	// maxWeightedRank is the rank above which all ranks have the same weight.
	maxWeightedRank = 4
)

// Weight returns the factor by which the cost of delaying or refusing a request of a rank
// is multiplied. If all requests of a service have the same rank, their costs keep their
// ratios.
func Weight(rank int) float64 {
	return math.Pow(weightPerRank, float64(DefaultRank-min(max(rank, 0), maxWeightedRank)))
}

// ExpectedAnswer returns the predicted length of an answer in tokens, given its maximum and
// the caller's estimate; zero means no estimate. The estimate is right at the median and often
// far off, so that the result is the mean of both, and never more than the maximum.
func ExpectedAnswer(maximum, hint int) int {
	if hint <= 0 || hint >= maximum {
		return maximum
	}
	return (maximum + hint) / 2
}

// Room is how much of the engines of a service is in use.
type Room struct {
	// Engines and Slots count the usable engines and their slots.
	Engines int
	Slots   int
	// Taken counts the slots with a request, and Waiting the requests without a slot.
	Taken   int
	Waiting int
	// LateEngines counts the engines at which late prompts wait.
	LateEngines int
	// SlotTime is the predicted time for which an answer takes a slot.
	SlotTime time.Duration
}

// Add adds an engine with the given slots and requests, of which deferred are waiting.
func (r *Room) Add(slots, requests, deferred int) {
	r.Engines++
	r.Slots += slots
	r.Taken += min(requests, slots)
	r.Waiting += max(requests-slots, 0)
	if deferred > 0 {
		r.LateEngines++
	}
}

// Ample reports whether fewer than half of the slots are taken and no request waits for one.
// Nothing is refused for lack of room then.
func (r *Room) Ample() bool { return 2*r.Taken < r.Slots && r.Waiting == 0 }

// scarceShare is the share of the slots above which a customer over its share, or a request
// less urgent than others, leaves the free ones to the rest.
const scarceShare = 0.9

// Scarce reports whether almost all slots are taken.
func (r *Room) Scarce() bool { return float64(r.Taken) >= scarceShare*float64(r.Slots) }

const (
	// lateEngineShare is the share of the engines at which late prompts may wait, and
	// returnedEngineShare the share for those that return after a refusal: to be refused again
	// is the worst outcome for their callers. Both bound what late prompts take from those in
	// time.
	lateEngineShare     = 0.125
	returnedEngineShare = 0.25
)

// MaxLateEngines returns the number of engines at which late prompts may wait.
func (r *Room) MaxLateEngines(returned bool) int {
	share := lateEngineShare
	if returned {
		share = returnedEngineShare
	}
	return max(1, int(share*float64(r.Engines)))
}

// ranks is the number of ranks that are told apart.
const ranks = 10

// State is what a home remembers of the requests of a service.
type State struct {
	usage *fairness.Usage
	// seen is when a request of each rank arrived last.
	seen [ranks]time.Time
	// lastReturn is the latest time at which a refused caller was told to return.
	lastReturn time.Time
}

// NewState returns the state of a service that has had no requests.
func NewState() *State { return &State{usage: fairness.New()} }

// Arrived records the arrival of a request.
func (s *State) Arrived(rank int, now time.Time) { s.seen[min(max(rank, 0), ranks-1)] = now }

// Placed records work of a customer, in the unit of placement.Size. Requests without a
// customer are not counted.
func (s *State) Placed(c names.Customer, size int, now time.Time) {
	if c != "" {
		s.usage.Add(now, c, 1, size)
	}
}

// rankMemory is how long a rank counts as in use after its last request. At the users' rates
// each kind of prompt arrives several times in it.
const rankMemory = 10 * time.Second

// MoreUrgent reports whether more urgent requests than those of a rank arrived recently.
func (s *State) MoreUrgent(rank int, now time.Time) bool {
	for r := range min(max(rank, 0), ranks-1) {
		if !s.seen[r].IsZero() && now.Sub(s.seen[r]) < rankMemory {
			return true
		}
	}
	return false
}

// overShareRatio is the ratio to the average use above which a customer counts as over its
// share. Usage varies by this much between equal customers at the users' rates.
const overShareRatio = 1.5

// OverShare reports whether a customer recently used much more than the average customer.
func (s *State) OverShare(c names.Customer, now time.Time) bool {
	return c != "" && s.usage.RatioToAverage(now, c) > overShareRatio
}

const (
	// returnShare is the share of the freed slots that is promised to refused callers. The
	// rest is left to requests that come for the first time.
	returnShare = 0.25
	// maxReturnShare is the share of the time left after which a refused caller must have
	// returned, so that its request can still be served.
	maxReturnShare = 0.5
)

// RetryAfter returns the delay after which a refused caller should return: when there is
// predicted to be room, after those refused before it, and not before wait. random is in
// [0, 1); it spreads the callers who cannot wait for their turn.
func (s *State) RetryAfter(room *Room, wait, timeLeft time.Duration, random float64, now time.Time) time.Duration {
	latest := time.Duration(maxReturnShare * float64(timeLeft))
	wait = min(wait, latest)
	interval := time.Duration(0)
	if room.Slots > 0 {
		interval = time.Duration(float64(room.SlotTime) / (returnShare * float64(room.Slots)))
	}
	at := now.Add(wait)
	if turn := s.lastReturn.Add(interval); turn.After(at) {
		at = turn
	}
	if delay := at.Sub(now); delay <= latest {
		s.lastReturn = at
		return delay
	}
	return wait + time.Duration(random*float64(latest-wait))
}
