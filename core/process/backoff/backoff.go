// Package backoff keeps the times for which targets have asked to get no requests from
// this daemon.
//
// A target that refuses a request may state for how long it wants nothing. The statement
// is about one start of the target and about this daemon alone. Requests that are already
// on their way may still arrive; nothing is begun until the time has ended, except a few
// requests that keep work at the target alive.
//
// Targets may ask again while a time lasts. The latest end counts: a shorter time that
// is asked for later does not end a longer one.
//
// A Table is not safe for concurrent use.
package backoff

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
)

const (
	// MaxDelay is the longest time that is granted. It exceeds the longest deadline of
	// callers several times, and bounds what a faulty target loses by an absurd one.
	MaxDelay = 5 * time.Minute
	// Allowance is the number of requests that may be sent to a target until its time
	// ends, in order to keep running work alive.
	Allowance = 2
	// NoticeableExtension is the least extension of a time that is worth a log line.
	NoticeableExtension = 500 * time.Millisecond
	// maxTargets bounds the times. Beyond it, the one that ends first is dropped.
	maxTargets = 16384
)

// Table holds the times of targets.
type Table struct {
	targets map[names.Target]*period
	// limit is maxTargets, except in tests.
	limit int
}

// period is the time for which a start of a target wants nothing.
type period struct {
	started int64
	until   time.Time
	// used is the part of Allowance that was taken.
	used int
}

// New returns an empty table.
func New() *Table { return &Table{targets: make(map[names.Target]*period), limit: maxTargets} }

// Recorded is the result of Record.
type Recorded struct {
	// Granted is the time from now for which the target gets nothing.
	Granted time.Duration
	// Bounded reports whether the target asked for more than MaxDelay.
	Bounded bool
	// Noticeable reports whether a time has begun, or was extended by
	// NoticeableExtension or more.
	Noticeable bool
}

// Record records that a target asked at now for a time. It ignores times that are not
// positive, and those of an earlier start than one that has asked.
func (t *Table) Record(i replicas.Incarnation, asked time.Duration, now time.Time) Recorded {
	if asked <= 0 {
		return Recorded{}
	}
	known, ok := t.targets[i.ID]
	if ok && known.started > i.Started {
		return Recorded{}
	}
	if !ok || known.started < i.Started || !now.Before(known.until) {
		known = &period{started: i.Started, until: now}
		t.put(i.ID, known)
	}
	until := now.Add(min(asked, MaxDelay))
	r := Recorded{Bounded: asked > MaxDelay, Noticeable: known.until.Equal(now) || until.Sub(known.until) >= NoticeableExtension}
	if until.After(known.until) {
		known.until = until
	}
	r.Granted = known.until.Sub(now)
	return r
}

// put stores a period, and drops the one that ends first if there are too many.
func (t *Table) put(id names.Target, p *period) {
	if _, ok := t.targets[id]; !ok && len(t.targets) >= t.limit {
		first := names.Target("")
		for other, q := range t.targets {
			if first == "" || q.until.Before(t.targets[first].until) {
				first = other
			}
		}
		delete(t.targets, first)
	}
	t.targets[id] = p
}

// Left returns for how much longer a target wants nothing; zero if it has not asked.
func (t *Table) Left(i replicas.Incarnation, now time.Time) time.Duration {
	p, ok := t.targets[i.ID]
	if !ok || i.Started > p.started {
		return 0
	}
	return max(p.until.Sub(now), 0)
}

// Take reports whether a request that keeps running work alive may be sent to a target
// now. While the target wants nothing, it may be called Allowance times with success.
func (t *Table) Take(i replicas.Incarnation, now time.Time) bool {
	if t.Left(i, now) == 0 {
		return true
	}
	p := t.targets[i.ID]
	if p.used >= Allowance {
		return false
	}
	p.used++
	return true
}

// Current returns the targets that want nothing at now, those with the latest end first.
func (t *Table) Current(now time.Time) []replicas.Incarnation {
	var list []replicas.Incarnation
	for id, p := range t.targets {
		if now.Before(p.until) {
			list = append(list, replicas.Incarnation{ID: id, Started: p.started})
		}
	}
	slices.SortFunc(list, func(a, b replicas.Incarnation) int {
		return cmp.Or(t.targets[b.ID].until.Compare(t.targets[a.ID].until), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Expire drops the times that have ended.
func (t *Table) Expire(now time.Time) {
	for id, p := range t.targets {
		if !now.Before(p.until) {
			delete(t.targets, id)
		}
	}
}

// Len returns the number of times that are kept, some of which may have ended since the
// last Expire.
func (t *Table) Len() int { return len(t.targets) }
