package ratelimits

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
)

const (
	// MinRate is the lowest rate that is kept, in requests per second. A target that names
	// less gets a request every few seconds all the same, since only an answer can say
	// that the limit has changed.
	MinRate = 0.25
	// MaxRate is the highest rate that is kept, in requests per second.
	MaxRate = 1e6
	// Retention is how long a statement is kept after its target was last listed.
	Retention = 10 * time.Minute
	// repeatInterval is the time between two messages to the homes about a limit that
	// does not change.
	repeatInterval = time.Second
	// liftedFor is how long Claims returns that a limit was lifted.
	liftedFor = 30 * time.Second
	// maxTargets bounds the statements. Beyond it, the one whose target was listed least
	// recently is dropped.
	maxTargets = 16384
)

// Statement is what the head of an answer says about the rate of a target.
type Statement struct {
	// Rate is the rate that the target takes from all daemons together, in requests per
	// second. Zero means that the head names none.
	Rate float64
	// SentAt is when the request of the answer was written, and ReadAt when the head of
	// the answer was read.
	SentAt, ReadAt time.Time
}

// Change is the effect of a statement.
type Change struct {
	// Changed reports whether the rate of the target has changed, from Before to After.
	// Zero is no limit.
	Changed       bool
	Before, After float64
	// Bounded reports whether the rate was outside MinRate and MaxRate.
	Bounded bool
	// Tell reports whether the homes are to be told: of a change, or that the target goes
	// on naming its limit, which they were told repeatInterval ago.
	Tell bool
}

// Record records a statement. Answers overtake each other, so that a statement does not
// replace one that was read later, and one that lifts or raises the limit must answer a
// request that was sent after the limit was last named. Statements of an earlier start of
// the target than the known one are ignored.
func (t *Table) Record(i replicas.Incarnation, s Statement, now time.Time) Change {
	known, ok := t.targets[i.ID]
	switch {
	case ok && known.started > i.Started:
		return Change{}
	case !ok || known.started < i.Started:
		if s.Rate == 0 {
			return Change{}
		}
		known = &limit{started: i.Started, listedAt: now, bucket: NewBucket(now)}
		t.put(i.ID, known)
	}
	before := known.rate
	if s.ReadAt.Before(known.readAt) {
		return Change{Before: before, After: before}
	}
	after := s.Rate
	if after > 0 {
		after = min(max(after, MinRate), MaxRate)
	}
	if raises(before, after) && s.SentAt.Before(known.readAt) {
		return Change{Before: before, After: before}
	}
	known.bucket.fill(t.flow(known), now)
	known.rate, known.readAt = after, s.ReadAt
	known.bucket.limit(burst(after))
	if before != after {
		known.changedAt = now
	}
	c := Change{Changed: before != after, Before: before, After: after, Bounded: after != s.Rate}
	if c.Changed || after > 0 && now.Sub(known.toldAt) >= repeatInterval {
		c.Tell, known.toldAt = true, now
	}
	return c
}

// raises reports whether a rate allows more than the one before. Zero is no limit.
func raises(before, after float64) bool { return before > 0 && (after == 0 || after > before) }

// put stores the limit of a target, and drops another one if there are too many.
func (t *Table) put(id names.Target, l *limit) {
	if _, ok := t.targets[id]; !ok && len(t.targets) >= t.capacity {
		oldest := names.Target("")
		for other, known := range t.targets {
			if oldest == "" || known.listedAt.Before(t.targets[oldest].listedAt) {
				oldest = other
			}
		}
		delete(t.targets, oldest)
	}
	t.targets[id] = l
}

// get returns the limit of a start of a target, or nil if it has none.
func (t *Table) get(i replicas.Incarnation) *limit {
	known, ok := t.targets[i.ID]
	if !ok || i.Started > known.started || known.rate == 0 {
		return nil
	}
	return known
}

// Rate returns the rate that a target takes from all daemons together, in requests per
// second, and how long ago it was read; zero if the target has named none.
func (t *Table) Rate(i replicas.Incarnation, now time.Time) (rate float64, age time.Duration) {
	known := t.get(i)
	if known == nil {
		return 0, 0
	}
	return known.rate, now.Sub(known.readAt)
}

// Claim is what a daemon knows of a limit, as it tells others.
type Claim struct {
	replicas.Incarnation
	// Rate is in requests per second; zero if the limit was lifted.
	Rate   float64
	ReadAt time.Time
}

// Claims returns the limits in force and those that were lifted recently, the ones that
// were read last first.
func (t *Table) Claims(now time.Time) []Claim {
	var list []Claim
	for id, known := range t.targets {
		if known.rate > 0 || now.Sub(known.changedAt) < liftedFor {
			list = append(list, Claim{Incarnation: replicas.Incarnation{ID: id, Started: known.started}, Rate: known.rate, ReadAt: known.readAt})
		}
	}
	slices.SortFunc(list, func(a, b Claim) int { return cmp.Or(b.ReadAt.Compare(a.ReadAt), cmp.Compare(a.ID, b.ID)) })
	return list
}

// Len returns the number of limits in force.
func (t *Table) Len() int {
	count := 0
	for _, known := range t.targets {
		if known.rate > 0 {
			count++
		}
	}
	return count
}

// Sweep drops the statements of targets that were not listed for Retention. listed
// returns the start of a target as listed, and whether it is listed.
func (t *Table) Sweep(listed func(names.Target) (int64, bool), now time.Time) {
	for id, known := range t.targets {
		if started, ok := listed(id); ok && started <= known.started {
			known.listedAt = now
			continue
		}
		if now.Sub(known.listedAt) > Retention {
			delete(t.targets, id)
		}
	}
}
