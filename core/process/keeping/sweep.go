package keeping

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
)

// Limits of a sweep.
const (
	// DeadlineGrace is how long a stream or handle is kept after its deadline,
	// to allow for clock skew.
	DeadlineGrace = 10 * time.Second
	// MaxLifetime is how far in the future a valid deadline may be.
	MaxLifetime = 24 * time.Hour
	// ForeignTTL is how long a stream or handle with an invalid ID or deadline
	// is kept after it was first seen.
	ForeignTTL = 10 * time.Minute
	// maxForeign is the maximum number of such IDs that are tracked.
	maxForeign = 4096
)

// Cause is the reason why a stream or handle is freed.
type Cause string

// Causes of freeing.
const (
	// Overdue means that the deadline has passed.
	Overdue Cause = "overdue"
	// Orphaned means that a later incarnation of the owner is running.
	Orphaned Cause = "orphaned"
	// Foreign means that the ID or deadline has been invalid for ForeignTTL.
	Foreign Cause = "foreign"
)

// SweepResult lists the handles and streams to free at a target.
type SweepResult struct {
	Handles []HandleToFree
	Streams []StreamToCancel
}

// HandleToFree is a handle to be freed.
type HandleToFree struct {
	ID    target.HandleID
	Cause Cause
}

// StreamToCancel is a stream to be cancelled.
type StreamToCancel struct {
	ID    target.StreamID
	Cause Cause
}

// Sweeper finds the streams and handles of one target that are no longer needed.
//
// Streams are kept until their deadline even if their owner has died, since
// their callers may resume them through any daemon. A handle is only used by its
// owner, so it is freed as soon as a later incarnation runs on the owner's host.
// An owner that is unreachable may still be using its handles, so these are kept
// until their deadline.
type Sweeper struct {
	// foreignSince is when each invalid ID, or ID with an invalid deadline, was
	// first seen.
	foreignSince map[string]time.Time
}

// Sweep returns which of a target's holdings to free. running returns the
// incarnation that is known to run on a host, if any.
func (s *Sweeper) Sweep(h target.Holdings, now time.Time, running func(names.Host) (names.Incarnation, bool)) SweepResult {
	var result SweepResult
	seen := make(map[string]time.Time)
	for _, handle := range h.Handles {
		owner, err := ParseHandleID(handle.ID)
		if cause, free := s.reclaimCause(string(handle.ID), owner, err, now, seen, running); free {
			result.Handles = append(result.Handles, HandleToFree{ID: handle.ID, Cause: cause})
		}
	}
	for _, stream := range h.Streams {
		owner, err := ParseStreamID(stream.ID)
		if cause, free := s.reclaimCause(string(stream.ID), owner, err, now, seen, nil); free {
			result.Streams = append(result.Streams, StreamToCancel{ID: stream.ID, Cause: cause})
		}
	}
	s.foreignSince = seen
	return result
}

// reclaimCause returns why a stream or handle is to be freed, and whether it is.
// It records foreign IDs in seen. running is nil for streams.
func (s *Sweeper) reclaimCause(
	id string, o Owner, err error, now time.Time, seen map[string]time.Time,
	running func(names.Host) (names.Incarnation, bool),
) (Cause, bool) {
	if err != nil || o.Deadline.After(now.Add(MaxLifetime)) {
		return Foreign, s.foreignExpired(id, now, seen)
	}
	if now.After(o.Deadline.Add(DeadlineGrace)) {
		return Overdue, true
	}
	if running == nil {
		return "", false
	}
	incarnation, known := running(o.Host)
	return Orphaned, known && incarnation > o.Incarnation
}

// foreignExpired reports whether an ID was first seen at least ForeignTTL ago, and
// records it in seen.
func (s *Sweeper) foreignExpired(id string, now time.Time, seen map[string]time.Time) bool {
	since, known := s.foreignSince[id]
	if !known {
		since = now
	}
	if len(seen) < maxForeign {
		seen[id] = since
	}
	return now.Sub(since) >= ForeignTTL
}
