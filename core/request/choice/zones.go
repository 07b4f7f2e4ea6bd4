package choice

import (
	"time"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Zones divides a model's targets by rank into two zones: the reserve, of the
// ranks below ShortReserve, takes only prefills of at most LendLimit; the open
// zone takes everything.
//
// Long work never gets a target of the reserve, and what is lent there to
// others is had back within LendLimit. Short work uses the open zone whenever
// that is faster by Cost. Since the class Short is the shorter third of the
// work, a reserve of a third carries it when the fleet is full, whatever the
// mix is.
type Zones struct {
	// ShortReserve is the share of the targets that make up the reserve.
	ShortReserve float64
	// LendLimit bounds a prefill in the reserve.
	LendLimit time.Duration
	// Cost is the predicted time that the other zone than that of the
	// request's class must save: the reserve is the zone of Short, the open
	// zone that of all others.
	Cost time.Duration
}

// Name implements Filter.
func (Zones) Name() string { return "zones" }

// Refusal implements Filter.
func (Zones) Refusal(*Input) verdict.Reason { return verdict.Overloaded }

// Keep implements Filter.
func (z Zones) Keep(in *Input, c *Candidate) (bool, string) {
	if z.reserved(c) && !in.Request.Isolate && c.PrefillTime(in.Request) > z.LendLimit {
		return false, "reserved for short prefills"
	}
	return true, ""
}

func (z Zones) reserved(c *Candidate) bool { return c.Rank < z.ShortReserve }

// zoneCost keeps short requests to the reserve and others out of it as long as
// that costs little, so that a short one is not caught behind a long prefill
// that no report has told yet.
type zoneCost struct {
	zones Zones
}

func (zoneCost) Name() string { return "zone" }

func (s zoneCost) Score(in *Input, c *Candidate) time.Duration {
	short := in.Request.Class == target.Short
	if short == s.zones.reserved(c) {
		return 0
	}
	return s.zones.Cost
}
