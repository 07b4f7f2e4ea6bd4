package choice

import (
	"time"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// ReserveFilter reserves some of a model's targets, the reserve, for requests of
// class Short whose prefill takes at most MaxPrefillTime. The caller decides
// which targets form the reserve, see Candidate.Reserved.
//
// Longer prefills do not run in the reserve, so that a target there is busy with
// one prefill for at most MaxPrefillTime. Short requests use the other targets
// whenever that is faster by ZoneMismatchCost.
type ReserveFilter struct {
	// MaxPrefillTime is the longest prefill that may run in the reserve.
	MaxPrefillTime time.Duration
	// ZoneMismatchCost is the predicted time that a target outside the
	// request's zone must save to be preferred. The reserve is the zone of
	// class Short, and all other targets are the zone of all other classes.
	ZoneMismatchCost time.Duration
}

// Name implements Filter.
func (ReserveFilter) Name() string { return "zones" }

// RefusalReason implements Filter.
func (ReserveFilter) RefusalReason(*Input) verdict.Reason { return verdict.Overloaded }

// Keep implements Filter.
func (f ReserveFilter) Keep(in *Input, c *Candidate) (bool, string) {
	if !c.Reserved || in.Request.Isolate {
		return true, ""
	}
	if in.Request.Class != target.Short || c.PrefillTime(in.Request) > f.MaxPrefillTime {
		return false, "reserved for short prefills"
	}
	return true, ""
}

// zoneMismatch scores targets outside the request's zone, see
// ReserveFilter.ZoneMismatchCost. It keeps short requests in the reserve and
// others out of it while that costs little, so that short requests do not wait
// behind a long prefill that is not in any report yet.
type zoneMismatch struct {
	cost time.Duration
}

func (zoneMismatch) Name() string { return "zone" }

func (s zoneMismatch) Score(in *Input, c *Candidate) time.Duration {
	if (in.Request.Class == target.Short) == c.Reserved {
		return 0
	}
	return s.cost
}
