// Package drain decides what happens to a target that the manifest lists as
// leaving, and to its work in flight.
//
// A daemon gives a target no new work as soon as a version that lists the
// target's departure is in force, however far away the departure is: operators
// list a departure when the target should begin to drain. Work in flight stays
// if it is predicted to end before the departure. Otherwise it is moved to
// another target early enough for the move to complete before the departure. All
// functions are pure.
package drain

import "time"

// Time limits of draining.
const (
	// Margin is the minimum time between the predicted end of work, or of its
	// move, and the departure.
	Margin = 2 * time.Second
	// MaxNoticeDelay bounds the time from a version coming into force to the
	// last new work of a target that the version lists as leaving.
	MaxNoticeDelay = 3 * time.Second
)

// Departure is the planned removal of a target, if there is one.
type Departure struct {
	// Leaves reports whether the target leaves.
	Leaves bool
	// At is when the target is stopped.
	At time.Time
}

// AcceptsNewWork reports whether a target may be given new work.
func (d Departure) AcceptsNewWork() bool { return !d.Leaves }

// AllowsWorkUntil reports whether work that is predicted to end at the given time
// may run on the target.
func (d Departure) AllowsWorkUntil(end time.Time) bool {
	return !d.Leaves || !end.Add(Margin).After(d.At)
}

// Work is a stream in flight at a leaving target.
type Work struct {
	// End is the predicted end of the work if it stays.
	End time.Time
	// MoveTime is how long a move to another target takes: the export and
	// import of its KV blocks, or the prefill that a resume needs.
	MoveTime time.Duration
}

// Action is what happens to work in flight.
type Action uint8

// Actions for work in flight.
const (
	// Stay lets the work run to its end where it is.
	Stay Action = iota
	// Move moves the work to another target now.
	Move
)

// Decide returns what happens to work in flight. If the work stays for now, it
// also returns when to decide again, or the zero time if the decision is final.
// Work that would not end in time is moved immediately, because a later move has
// more to transfer.
func (d Departure) Decide(w Work, now time.Time) (Action, time.Time) {
	if !d.Leaves {
		return Stay, time.Time{}
	}
	if !d.AllowsWorkUntil(w.End) {
		return Move, time.Time{}
	}
	latest := d.LatestMoveStart(w.MoveTime)
	if !now.Before(latest) {
		return Stay, time.Time{}
	}
	return Stay, latest
}

// LatestMoveStart returns the latest time at which a move that takes moveTime can
// begin and still complete before the departure.
func (d Departure) LatestMoveStart(moveTime time.Duration) time.Time {
	return d.At.Add(-moveTime - Margin)
}
