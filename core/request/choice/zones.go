package choice

import (
	"time"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Zones keeps a part of a model's targets, the reserve, to prefills of the
// class Short that take at most LendLimit. Which targets these are is up to the
// caller, see Candidate.Reserved.
//
// Long work never gets a target of the reserve, and a target that a short
// prefill took is free again within LendLimit. Short work uses the other
// targets whenever that is faster by Cost.
type Zones struct {
	// LendLimit bounds a prefill in the reserve.
	LendLimit time.Duration
	// Cost is the predicted time that the other zone than that of the
	// request's class must save: the reserve is the zone of Short, all other
	// targets that of all other classes.
	Cost time.Duration
}

// Name implements Filter.
func (Zones) Name() string { return "zones" }

// Refusal implements Filter.
func (Zones) Refusal(*Input) verdict.Reason { return verdict.Overloaded }

// Keep implements Filter.
func (z Zones) Keep(in *Input, c *Candidate) (bool, string) {
	if !c.Reserved || in.Request.Isolate {
		return true, ""
	}
	if in.Request.Class != target.Short || c.PrefillTime(in.Request) > z.LendLimit {
		return false, "reserved for short prefills"
	}
	return true, ""
}

// zoneCost keeps short requests to the reserve and others out of it as long as
// that costs little, so that a short one is not caught behind a long prefill
// that no report has told yet.
type zoneCost struct {
	cost time.Duration
}

func (zoneCost) Name() string { return "zone" }

func (s zoneCost) Score(in *Input, c *Candidate) time.Duration {
	if (in.Request.Class == target.Short) == c.Reserved {
		return 0
	}
	return s.cost
}
