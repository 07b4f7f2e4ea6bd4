package keeping

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
)

// Terms of the sweep.
const (
	// Grace is how long after its deadline a stream or handle is left, for
	// clocks that differ.
	Grace = 10 * time.Second
	// MaxLife bounds how far in the future a deadline is believed.
	MaxLife = 24 * time.Hour
	// ForeignLife is how long something is left whose name or deadline
	// cannot be believed, from when it was first seen.
	ForeignLife = 10 * time.Minute
	// maxForeign bounds the table of such names.
	maxForeign = 4096
)

// Cause says why something is freed.
type Cause string

// Causes of freeing.
const (
	// Overdue means that the deadline has passed.
	Overdue Cause = "overdue"
	// Orphaned means that a later incarnation of the owner is running.
	Orphaned Cause = "orphaned"
	// Foreign means that the name could not be believed for ForeignLife.
	Foreign Cause = "foreign"
)

// Leftovers is what is to be freed at a target.
type Leftovers struct {
	Handles []LeftHandle
	Streams []LeftStream
}

// LeftHandle is a handle to be freed.
type LeftHandle struct {
	ID    target.HandleID
	Cause Cause
}

// LeftStream is a stream to be cancelled.
type LeftStream struct {
	ID    target.StreamID
	Cause Cause
}

// Sweeper finds what nobody wants any more at one target.
//
// Streams are kept to their deadline whoever died, since their callers may
// resume them through any daemon. A handle is of use to its owner alone, so it
// is freed as soon as a later incarnation runs on the owner's host. An owner
// that merely cannot be reached may still be using its handles: those are kept
// to their deadline.
type Sweeper struct {
	// foreign is when names that cannot be believed were first seen.
	foreign map[string]time.Time
}

// Sweep returns what to free of a target's holdings. Newer returns the
// incarnation that is known to run on a host, if any.
func (s *Sweeper) Sweep(h target.Holdings, now time.Time, newer func(names.Host) (names.Incarnation, bool)) Leftovers {
	var left Leftovers
	seen := make(map[string]time.Time)
	for _, handle := range h.Handles {
		owner, err := ParseHandleID(handle.ID)
		if cause, free := s.judge(string(handle.ID), owner, err, now, seen, newer); free {
			left.Handles = append(left.Handles, LeftHandle{ID: handle.ID, Cause: cause})
		}
	}
	for _, stream := range h.Streams {
		owner, err := ParseStreamID(stream.ID)
		if cause, free := s.judge(string(stream.ID), owner, err, now, seen, nil); free {
			left.Streams = append(left.Streams, LeftStream{ID: stream.ID, Cause: cause})
		}
	}
	s.foreign = seen
	return left
}

func (s *Sweeper) judge(
	id string, o Owner, err error, now time.Time, seen map[string]time.Time,
	newer func(names.Host) (names.Incarnation, bool),
) (Cause, bool) {
	if err != nil || o.Deadline.After(now.Add(MaxLife)) {
		return Foreign, s.foreignLong(id, now, seen)
	}
	if now.After(o.Deadline.Add(Grace)) {
		return Overdue, true
	}
	if newer == nil {
		return "", false
	}
	running, known := newer(o.Host)
	return Orphaned, known && running > o.Incarnation
}

// foreignLong reports whether a name that cannot be believed has been there
// for long, and remembers it.
func (s *Sweeper) foreignLong(id string, now time.Time, seen map[string]time.Time) bool {
	since, known := s.foreign[id]
	if !known {
		since = now
	}
	if len(seen) < maxForeign {
		seen[id] = since
	}
	return now.Sub(since) >= ForeignLife
}
