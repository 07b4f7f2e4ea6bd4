package warmup

import (
	"math"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/homes"
	"carobspoke.example/core/process/ratelimits"
)

// TakeoverTime is how long after the loss of the first home another home may give leaves that this daemon doesn't hear of. A daemon that was cut off
// with the smaller part of a fleet of 830 counts the others as dead after some 14 s: it
// suspects them after about two, and a suspicion lasts 4 s times the decimal logarithm of the
// size of the fleet.
const TakeoverTime = 15 * time.Second

// RejoinTime is how long after the end of a partition, as this daemon learns of it, another
// home may give leaves that it doesn't hear of. The daemons of the other part hear of the
// members within some 3 s, since these refute at once that they are dead.
const RejoinTime = 5 * time.Second

// half is the share of a daemon that knows exactly half of the fleet alive.
const half = 0.5

// Duty is what a daemon lets through as a home of a group, by the homes that it knows.
//
// Of a partition the sides learn at different times. The first home goes on at the whole rate
// until it knows that it has the smaller part of the fleet. Another home that is asked, since
// the first one doesn't answer or seems lost, cannot know whether that one still gives leaves
// elsewhere: for TakeoverTime it lets through what both may send together while leaves are
// used promptly. One that did not hear of the placements before lets nothing through
// meanwhile.
type Duty struct {
	homes homes.Homes
	share float64
	known bool
	// heldUntil ends the TakeoverTime or RejoinTime. This daemon lets nothing through until
	// unawareUntil, which is no later.
	heldUntil, unawareUntil time.Time
}

// Observe records the homes of the group as self knows them, and the share of the fleet that
// it knows alive, see ratelimits.Fleet. settled is false while self has just started and asks
// its seeds.
func (d *Duty) Observe(self names.Host, h homes.Homes, share float64, settled bool, now time.Time) {
	if d.known && settled {
		if d.firstLost(self, h) {
			d.heldUntil = now.Add(TakeoverTime)
			if !d.hears(self) {
				d.unawareUntil = d.heldUntil
			}
		}
		if share > d.share {
			until := now.Add(RejoinTime)
			d.heldUntil = later(d.heldUntil, until)
			if d.share != half { // the other half let through no more than the takeover rate
				d.unawareUntil = later(d.unawareUntil, until)
			}
		}
	}
	d.homes, d.share, d.known = h, share, settled
}

// firstLost reports whether the first home is lost in the homes h. It may still be among
// them: while too few others are left, homes.Select keeps members that are suspected. Among
// live ones no settled daemon gets ahead of the first home in its own view.
func (d *Duty) firstLost(self names.Host, h homes.Homes) bool {
	if len(d.homes.Deciders) == 0 {
		return false
	}
	first := d.homes.Deciders[0]
	return !slices.Contains(h.Deciders, first) || first != self && h.Deciders[0] == self
}

// Decides reports whether self is a home of the group, as it knows the members.
func (d *Duty) Decides(self names.Host) bool { return slices.Contains(d.homes.Deciders, self) }

// hears reports whether self hears of the placements of the homes.
func (d *Duty) hears(self names.Host) bool {
	return d.Decides(self) || slices.Contains(d.homes.Listeners, self)
}

// Flow returns what self lets through to a cold target as a home. With the smaller part of
// the fleet that is its share, in whole requests a second, of what the bound leaves beside
// the whole rate, which the larger part uses. With exactly half of the fleet there is no
// larger part, so that it is the share of the whole rate, at most the takeover rate: the
// other half may not know of the partition yet.
func (d *Duty) Flow(self names.Host, r Rates, now time.Time) ratelimits.Flow {
	switch {
	case d.share < 1 && d.share != half:
		return r.flow(math.Floor(d.share * r.Spare))
	case now.Before(d.unawareUntil) || !d.hears(self):
		return r.flow(0)
	case d.share == half:
		return r.flow(min(math.Floor(half*r.Whole), r.Takeover))
	case now.Before(d.heldUntil) || len(d.homes.Deciders) == 0 || d.homes.Deciders[0] != self:
		return r.flow(r.Takeover)
	default:
		return r.flow(r.Whole)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
