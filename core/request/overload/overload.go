// Package overload decides which requests of a service are delayed or refused when its
// engines have too little room, so that callers lose least.
//
// # Load patterns
//
// A peak of short prompts takes all slots. A prompt that waits for a slot is late, and
// takes the slot that a later prompt would have found free: if all are served in the
// order of arrival, all are late for as long as the peak lasts. Late prompts therefore
// wait at few engines (Room.MaxLateEngines), and the others are refused, with a
// Retry-After that leaves most of the freed slots to new requests (State.RetryAfter).
//
// A peak of long prompts takes the time of all engines, and pauses their answers. The
// prefill of a prompt grows with the square of its length, and what its caller gains only
// with the length: the longest prompts gain least for the time that they take. If the
// demand exceeds what the engines can prefill, those that gain least are refused first
// (Demand.Excess). Costs and gains are weighted by rank (Weight).
//
// To be refused twice is the worst outcome for a caller. A request that returns is not
// refused to make room for others.
//
// A customer that asks for more than its share is refused first, but only when the
// slots run out (State.OverShare, Room.Scarce).
//
// A State is not safe for concurrent use. Nothing here does I/O or reads a clock.
package overload

import (
	"math"
	"time"
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
