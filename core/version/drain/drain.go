// Package drain decides what happens to a target that the manifest lists as
// leaving, and to the work that it runs.
//
// A target gets no new work as soon as a version that lists its departure is
// in force at a daemon; how far away the departure is does not matter.
// Operators list a departure when the target is to begin to empty. Work in
// flight may run to its end if that is predicted to come before the departure;
// otherwise it is moved in time for the move to be done before. All functions
// are pure.
package drain

import "time"

// Margins of the decisions.
const (
	// Margin is kept between the predicted end of work and the departure.
	Margin = 2 * time.Second
	// NoticeWithin is the bound from a version in force to the last new
	// work of a target that it lists as leaving.
	NoticeWithin = 3 * time.Second
)

// Departure says whether and when a target leaves.
type Departure struct {
	Leaves bool
	At     time.Time
}

// TakesNewWork reports whether a target may be given new work.
func (d Departure) TakesNewWork() bool { return !d.Leaves }

// Admits reports whether work that is predicted to end at a time may be on the
// target at all.
func (d Departure) Admits(end time.Time) bool {
	return !d.Leaves || !end.Add(Margin).After(d.At)
}

// Work is a stream in flight at a leaving target.
type Work struct {
	// End is when the work is predicted to end if it stays.
	End time.Time
	// MoveTime is how long a move to another target takes: the export and
	// import of its KV blocks, or the prefill that a resume needs.
	MoveTime time.Duration
}

// Action says what happens to work in flight.
type Action uint8

// Actions.
const (
	// Stay lets the work run to its end where it is.
	Stay Action = iota
	// Move moves the work to another target now.
	Move
)

// Decide returns what happens to work in flight, and when to decide again if
// it stays for now. Work that would not end in time is moved at once, since
// waiting only makes its move larger.
func (d Departure) Decide(w Work, now time.Time) (Action, time.Time) {
	if !d.Leaves {
		return Stay, time.Time{}
	}
	if !d.Admits(w.End) {
		return Move, time.Time{}
	}
	last := d.LastMove(w.MoveTime)
	if !now.Before(last) {
		return Stay, time.Time{}
	}
	return Stay, last
}

// LastMove returns the last moment at which a move that takes as long can
// begin and be done before the departure.
func (d Departure) LastMove(moveTime time.Duration) time.Time {
	return d.At.Add(-moveTime - Margin)
}
