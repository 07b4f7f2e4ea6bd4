// Package warmup keeps which targets are cold, and counts the requests that the homes of a
// cold target let through.
//
// A target is cold for some seconds after its start, after its data centre was taken back
// into use, and whenever it says so. A cold target bears few requests a second from all
// daemons together and crashes well above that rate. Its homes place all requests there, as
// for a target that names a limit, see package ratelimits: a placement is a leave to send one
// request within ratelimits.LeaveTime, and each home has a bucket for each cold target.
//
// # Load patterns
//
// A data centre returns with all of its targets cold while hundreds of daemons have callers
// waiting. Each daemon alone would send little, all together crash the targets. One bucket
// lets as many through as the targets bear, whichever daemon they come from.
//
// Homes are lost or cut off while a target is cold, so that daemons on two sides ask different
// homes that don't hear of each other's placements, see Duty.
//
// Types of this package are not safe for concurrent use.
package warmup

import (
	"math"

	"carobspoke.example/core/process/ratelimits"
)

// Rates are what homes let through to one cold target of a service.
type Rates struct {
	// Whole is the rate of the only home that gives leaves, Takeover that of one beside
	// which another may give leaves that it doesn't hear of, and Spare what the bound
	// leaves beside Whole. All are in requests per second.
	Whole, Takeover, Spare float64
	// Size is how many requests a full bucket holds.
	Size float64
}

const (
	// hearingTime is how long after a placement another home has heard of it: the way of
	// the answer to the asking daemon and of its message to the other home, and
	// dispatchsync.BatchDelay, 15 ms, in between.
	hearingTime = 0.075 // s
	// promptTime is how late a leave is used that is not held up: the answer of the home
	// and a new connection.
	promptTime = 0.1 // s
	// minSize and burstTime bound the size of a bucket: at least minSize requests, or one
	// for a low bound, and at most minSize and those of burstTime at the whole rate.
	minSize   = 2.0
	burstTime = 0.25 // s
	// lowBound is the bound in requests below which only one home gives leaves, and
	// smallBound the one below which a bucket holds one request.
	lowBound   = 4.0
	smallBound = 16.0
	// rounding keeps the sums of rates strictly below a bound.
	rounding = 1e-6
)

// RatesOf returns the rates at which at most perSecond x overage + slack requests are sent to
// a target within any second, in which leaves may be used as late as ratelimits.LeaveTime
// after they were given. An overage of zero counts as one.
//
// The requests sent within a second were placed within the second and LeaveTime before it.
// A bucket lets through its size and what flows in meanwhile. Two homes that hear of each
// other may each empty a bucket, and one of them goes on for hearingTime.
func RatesOf(perSecond, overage, slack float64) Rates {
	if overage == 0 {
		overage = 1
	}
	bound := math.Floor(perSecond*overage + slack + rounding)
	window := 1 + ratelimits.LeaveTime.Seconds()
	// A whole number of requests is at most the bound if it is below the bound plus one.
	below := bound + 1 - rounding
	if bound < lowBound {
		return Rates{Whole: max(min(perSecond, (below-1)/window), 0), Size: 1}
	}
	window += hearingTime
	least := minSize
	if bound < smallBound {
		least = 1
	}
	r := Rates{Size: min(max((below-window*perSecond)/2, least), minSize+burstTime*perSecond)}
	room := (below-2*r.Size)/window + rounding/2 // an error of the division
	r.Whole = max(min(perSecond, room), 0)
	r.Spare = max(room-r.Whole-rounding, 0)
	r.Takeover = min(max(math.Floor((bound-2*r.Size)/(1+promptTime)-r.Whole), 0), r.Whole)
	return r
}

// flow returns what a bucket lets through at a rate. It owes at most a second's requests at
// this rate, or at the whole one while it lets nothing through.
func (r Rates) flow(rate float64) ratelimits.Flow {
	f := ratelimits.Flow{Rate: rate, Debt: max(r.Whole, r.Size)}
	if rate > 0 {
		f.Size, f.Debt = r.Size, max(rate, r.Size)
	}
	return f
}
