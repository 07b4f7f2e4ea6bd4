// Package ratelimits keeps the rates that targets in need have named, and counts what the
// homes of a target let through.
//
// A target names in its answers how many requests a second it takes from all daemons
// together. The statement is about one start of the target and holds until an answer
// without it, or with another rate, says otherwise.
//
// The homes of a target's group place all requests there, see core/process/homes, so that
// they count them: each home has a bucket for each limited target, which fills at the
// rate, and each request that is placed there by any daemon takes a token. A daemon
// that is no home sends nothing to a limited target without the leave of a home.
//
// # Load patterns
//
// Hundreds of daemons send one request each in the second in which a target names its
// limit. A bucket at each of them would let all through, and an even share of the rate
// would give each a request in minutes. One bucket lets the first ones through, whichever
// daemon they come from, and the rest go elsewhere.
//
// Homes are replaced and may be two at once. A bucket holds a burst of a few requests only,
// starts empty, and fills only at a daemon that is a home, so that a change of homes adds
// little to what was let through. Homes that hear of each other's placements
// charge them to their own buckets. Those of a partitioned fleet do not: the side that has
// the smaller part of the fleet uses that part of the rate only, see Fleet.
//
// A Table is not safe for concurrent use.
package ratelimits

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
)

const (
	// LeaveTime is how long after a home has placed a request at a limited target the
	// request may be sent. It covers the question to the home and a new connection. A
	// leave that is not used is lost.
	LeaveTime = 500 * time.Millisecond
	// minBurst and burstTime are the size of a bucket: minBurst requests, and those of
	// burstTime at the rate of the target.
	minBurst  = 2.0
	burstTime = 250 * time.Millisecond
	// askedTime is how long a daemon that is no home of a target, as it knows the members,
	// counts as one after a question from a daemon that knows others.
	askedTime = 10 * time.Second
)

// Table holds the limits of targets.
type Table struct {
	targets map[names.Target]*limit
	// share is the share of the rates that this daemon lets through as a home.
	share float64
	// capacity is maxTargets, except in tests.
	capacity int
}

// limit is the limit of one start of a target.
type limit struct {
	started int64
	// rate is in requests per second; zero if the limit was lifted. readAt is when the
	// statement was read that is in force.
	rate   float64
	readAt time.Time
	// changedAt is when the rate last changed.
	changedAt time.Time
	// toldAt is when Record last returned that the homes are to be told.
	toldAt time.Time
	// listedAt is when the target was last known to be listed.
	listedAt time.Time
	bucket   Bucket
}

// New returns an empty table.
func New() *Table {
	return &Table{targets: make(map[names.Target]*limit), share: 1, capacity: maxTargets}
}

// burst returns the size of the bucket of a rate.
func burst(rate float64) float64 { return minBurst + rate*burstTime.Seconds() }

// flow returns what the bucket of a limit lets through. It owes at most what it holds when
// it is full.
func (t *Table) flow(l *limit) Flow {
	size := burst(l.rate)
	return Flow{Rate: l.rate * t.share, Size: size, Debt: size}
}

// Wait returns the time until a home may place a request at a target; zero if it may now.
func (t *Table) Wait(i replicas.Incarnation, now time.Time) time.Duration {
	l := t.get(i)
	if l == nil {
		return 0
	}
	return l.bucket.Wait(t.flow(l), now)
}

// Take charges a request to the bucket of its target, if the target is limited. A bucket
// owes at most what it holds when it is full.
func (t *Table) Take(i replicas.Incarnation, now time.Time) {
	if l := t.get(i); l != nil {
		l.bucket.Take(t.flow(l), now)
	}
}

// SetHomes sets of which targets this daemon is a home, as it knows the members.
func (t *Table) SetHomes(isHome func(names.Target) bool, now time.Time) {
	for id, l := range t.targets {
		l.bucket.SetHome(t.flow(l), isHome(id), now)
	}
}

// SetShare sets the share of the rates that this daemon lets through as a home, above zero.
// random returns a number in [0, 1). If the share falls, other daemons may have become
// homes at the same moment: the next request of each is delayed at random.
func (t *Table) SetShare(share float64, now time.Time, random func() float64) {
	if share < t.share {
		for _, l := range t.targets {
			l.bucket.fill(t.flow(l), now)
			l.bucket.limit(0)
			l.bucket.tokens -= random()
		}
	}
	t.share = share
}
