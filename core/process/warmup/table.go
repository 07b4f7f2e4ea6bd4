package warmup

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/ratelimits"
	"carobspoke.example/core/process/replicas"
)

// Source is what says that a target is cold or warm.
type Source string

// The sources.
const (
	FromEntry     Source = "entry"
	FromAnswer    Source = "answer"
	FromPeer      Source = "peer"
	FromStart     Source = "start"
	FromTakenBack Source = "taken_back"
	// FromTime is the end of the cold period.
	FromTime Source = "time"
)

// claimTolerance is how much later than the known end a cold period must end for the claim of
// another daemon to count, and how far its end must be from that of a period that a statement
// has ended. Daemons read the same statement at different times, and the time
// that a claim travels must not prolong the period each time that it is passed on.
const claimTolerance = time.Second

// Warmup is what a service publishes about the warm-up of its targets.
type Warmup struct {
	// Time is how long a target is cold after its start, and after its data centre was
	// taken back into use.
	Time time.Duration
	Rates
}

// Table holds the targets that are cold, or may become so.
type Table struct {
	targets map[names.Target]*state
	// cold holds the targets that are cold as of the last calls of Left.
	cold   map[names.Target]struct{}
	events []Event
	// second is the second of the last leave; leaves were given in it, and before in the one
	// before it.
	second         int64
	leaves, before int
}

// Event is a target that has become cold or warm.
type Event struct {
	replicas.Incarnation
	Cold   bool
	Source Source
	// Left is how much longer a cold target is cold.
	Left time.Duration
}

// state is what is known of one start of a target.
type state struct {
	started int64
	// listed is true once an entry of this start was read, and revision is that of the
	// last one. statedCold is true if the latest statement says that the target is cold.
	listed     bool
	revision   uint64
	statedCold bool
	// until ends the cold period. readAt is when the latest statement of it was read.
	until, readAt time.Time
	source        Source
	// fromList is true if the period is known only from the first list, whose entry may have
	// been written long ago.
	fromList bool
	// ended is true if a statement has ended the period before its time.
	ended bool
	// warmAt is when the request was sent whose answer last said that the target is warm,
	// and endedUntil ends the period that an answer or entry has ended.
	warmAt, endedUntil time.Time
	// listedAt is when the target was last known to be listed.
	listedAt time.Time
	// cold is true while the target is cold as of the last call, and bucket is in use.
	cold   bool
	bucket ratelimits.Bucket
}

// New returns an empty table.
func New() *Table {
	return &Table{targets: make(map[names.Target]*state), cold: make(map[names.Target]struct{})}
}

// extend records that the target is cold until a time at least.
func (s *state) extend(until time.Time, from Source, now time.Time) {
	if until.After(s.until) {
		s.until, s.source, s.readAt, s.ended, s.fromList = until, from, now, false, false
	}
}

// end ends the cold period.
func (s *state) end(from Source, now time.Time) {
	if s.until.After(now) {
		s.endedUntil, s.until = s.until, now
	}
	s.statedCold, s.source, s.ended = false, from, true
}

// of returns the state of a start of a target, nil if a later start is known. The state of an
// earlier start is dropped.
func (x *Table) of(i replicas.Incarnation, now time.Time) *state {
	s, ok := x.targets[i.ID]
	switch {
	case ok && s.started > i.Started:
		return nil
	case ok && s.started == i.Started:
		return s
	}
	n := &state{started: i.Started, listedAt: now, bucket: ratelimits.NewBucket(now)}
	if ok {
		n.cold, n.source = s.cold, s.source // an event was reported
		n.bucket = s.bucket
	}
	x.targets[i.ID] = n
	return n
}

// Observe records a listed entry. isNew is false for the entries of the first list that a
// daemon reads: their targets may have started long ago.
func (x *Table) Observe(t *replicas.Target, w *Warmup, isNew bool, now time.Time) {
	s := x.of(t.Incarnation(), now)
	if s == nil {
		return
	}
	s.listedAt = now
	first := !s.listed
	if !first && (t.Revision == s.revision || t.Revision == 0) {
		s.revision = t.Revision // zero is an entry that was read before a restoration
		return
	}
	s.listed, s.revision = true, t.Revision
	switch {
	case first && isNew:
		s.extend(now.Add(w.Time), FromStart, now)
		s.extend(now.Add(t.ColdLeft), FromEntry, now)
	case t.ColdLeft > 0:
		s.until, s.source, s.readAt, s.ended, s.fromList = now.Add(t.ColdLeft), FromEntry, now, false, first
	case s.statedCold && !first:
		s.end(FromEntry, now)
	}
	s.statedCold = t.ColdLeft > 0
	if s.until.After(now) { // the next question names it
		x.Left(t.Incarnation(), w, time.Time{}, now)
	}
}

// RecordAnswer records what a target has stated, in the answer to a request that was sent at
// sentAt, about how much longer it is cold. Answers overtake each other: one that says zero
// must answer a request that was sent after the target was last known to be cold.
func (x *Table) RecordAnswer(i replicas.Incarnation, left time.Duration, sentAt, now time.Time) {
	s := x.of(i, now)
	switch {
	case s == nil:
	case left > 0:
		s.until, s.source, s.readAt, s.ended, s.statedCold, s.fromList = now.Add(left), FromAnswer, now, false, true, false
	case !sentAt.Before(s.readAt):
		s.end(FromAnswer, now)
		s.warmAt = sentAt
	}
}

// RecordClaim records that another daemon knows a target as cold. A claim about the period
// that is known, or that a statement has ended, changes nothing, nor does one of no time: the
// other daemon does not know when its statement was made.
func (x *Table) RecordClaim(i replicas.Incarnation, left time.Duration, now time.Time) {
	s := x.of(i, now)
	if s == nil || left <= 0 {
		return
	}
	until := now.Add(left)
	samePeriod := until.Sub(s.endedUntil).Abs() <= claimTolerance
	if until.After(s.until.Add(claimTolerance)) && !samePeriod {
		s.extend(until, FromPeer, now)
	}
}

// Left returns how much longer a target is cold, zero if it is warm. takenBack is when its
// data centre was taken back into use; zero if it never was evacuated.
func (x *Table) Left(i replicas.Incarnation, w *Warmup, takenBack, now time.Time) time.Duration {
	s := x.targets[i.ID]
	if s == nil || i.Started > s.started {
		return 0
	}
	until, source := s.until, s.source
	if end := takenBack.Add(w.Time); !takenBack.IsZero() && takenBack.After(s.warmAt) && end.After(until) {
		until, source = end, FromTakenBack
	}
	left := max(until.Sub(now), 0)
	if cold := left > 0; cold != s.cold {
		s.cold = cold
		if cold {
			s.bucket = ratelimits.NewBucket(now)
			x.cold[i.ID] = struct{}{}
		} else {
			delete(x.cold, i.ID)
			if !s.ended {
				source = FromTime
			}
		}
		x.events = append(x.events, Event{Incarnation: i, Cold: cold, Source: source, Left: left})
	}
	return left
}

// Claim returns what to tell the homes of a target that is cold for a time: zero if that is
// known only from the first list. The homes have read this entry when it was written.
func (x *Table) Claim(id names.Target, left time.Duration, now time.Time) time.Duration {
	if s := x.targets[id]; s != nil && s.fromList && left <= s.until.Sub(now) {
		return 0
	}
	return left
}

// TakeEvents returns the targets that have become cold or warm since the last call.
func (x *Table) TakeEvents() []Event {
	list := x.events
	x.events = nil
	return list
}

// Wait returns the time until a home may place a request on a cold target; zero if it may
// now.
func (x *Table) Wait(id names.Target, f ratelimits.Flow, now time.Time) time.Duration {
	if s := x.targets[id]; s != nil && s.cold {
		return s.bucket.Wait(f, now)
	}
	return 0
}

// Take charges a request to a cold target.
func (x *Table) Take(id names.Target, f ratelimits.Flow, now time.Time) {
	if s := x.targets[id]; s != nil && s.cold {
		s.bucket.Take(f, now)
	}
}

// SetHome sets whether this daemon is a home of a cold target.
func (x *Table) SetHome(id names.Target, f ratelimits.Flow, isHome bool, now time.Time) {
	if s := x.targets[id]; s != nil && s.cold {
		s.bucket.SetHome(f, isHome, now)
	}
}

// CountLeave counts a leave that this daemon has given as a home.
func (x *Table) CountLeave(now time.Time) {
	x.advance(now)
	x.leaves++
}

// LeavesPerSecond returns how many leaves this daemon gave in the last whole second.
func (x *Table) LeavesPerSecond(now time.Time) int {
	x.advance(now)
	return x.before
}

func (x *Table) advance(now time.Time) {
	switch now.Unix() - x.second {
	case 0:
		return
	case 1:
		x.before = x.leaves
	default:
		x.before = 0
	}
	x.second, x.leaves = now.Unix(), 0
}

// Cold returns the targets that are cold as of the last calls of Left. It must not be changed.
func (x *Table) Cold() map[names.Target]struct{} { return x.cold }

// Sweep drops the states of targets that were not listed for ratelimits.Retention. listed
// reports whether a target is listed.
func (x *Table) Sweep(listed func(names.Target) bool, now time.Time) {
	for id, s := range x.targets {
		if listed(id) {
			s.listedAt = now
		} else if now.Sub(s.listedAt) > ratelimits.Retention {
			delete(x.targets, id)
			delete(x.cold, id)
		}
	}
}
