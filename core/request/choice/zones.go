package choice

import (
	"time"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Zones divides a model's targets by rank into three zones, so that a prefill
// has only shorter ones to compete with in the lower zones:
//
//   - the reserve, up to ShortReserve: prefills of at most LendLimit;
//   - the middle: prefills of the classes Short and Medium;
//   - the long zone, from 1-LongZone on: everything.
//
// Shorter work uses the higher zones whenever they are idle. Longer work is
// lent a lower zone only as far as it can be had back in time, which is what
// LendLimit says for the reserve. Since classes split the work into thirds,
// zones of a third each are in balance when the fleet is full, whatever the
// mix is.
type Zones struct {
	ShortReserve float64
	LongZone     float64
	LendLimit    time.Duration
	// Cost is the predicted time that the choice of another zone than that
	// of the request's class must save for each zone between them.
	Cost time.Duration
}

// Name implements Filter.
func (Zones) Name() string { return "zones" }

// Refusal implements Filter.
func (Zones) Refusal(*Input) verdict.Reason { return verdict.Overloaded }

// Keep implements Filter.
func (z Zones) Keep(in *Input, c *Candidate) (bool, string) {
	switch {
	case in.Request.Isolate:
		return true, ""
	case c.Rank < z.ShortReserve && c.PrefillTime(in.Request) > z.LendLimit:
		return false, "reserved for short prefills"
	case c.Rank < 1-z.LongZone && in.Request.Class >= target.Long:
		return false, "not in the zone for long prompts"
	default:
		return true, ""
	}
}

// zone returns 0 for the reserve, 1 for the middle and 2 for the long zone.
func (z Zones) zone(c *Candidate) int {
	switch {
	case c.Rank < z.ShortReserve:
		return 0
	case c.Rank < 1-z.LongZone:
		return 1
	default:
		return 2
	}
}

// zoneCost keeps each class to its own zone as long as that costs little, so
// that a longer prefill finds its zone free, and a short one is not caught
// behind a long prefill that no report has told yet.
type zoneCost struct {
	zones Zones
}

func (zoneCost) Name() string { return "zone" }

func (s zoneCost) Score(in *Input, c *Candidate) time.Duration {
	own := min(int(in.Request.Class), int(target.Long))
	return time.Duration(max(s.zones.zone(c)-own, own-s.zones.zone(c))) * s.zones.Cost
}
