// Package health tracks the health of targets by the outcomes of requests sent to
// them, since a target may fail requests while it reports that it is healthy.
//
// Each failure adds one to the target's score, and each success multiplies the
// score by successFactor. The score halves every HalfLife. A target whose score
// reaches ExcludeThreshold receives no requests until the score has decayed below
// ReadmitThreshold. It then receives some requests again, so that a target that
// still fails is retried at a bounded rate.
//
// A target that stops without closing its connections is detected by a timeout:
// answers are pending, and it has sent nothing for UnresponsiveTimeout, or longer
// where its activity is reported by other daemons.
//
// A Table is not safe for concurrent use.
package health

import (
	"math"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// Parameters of scores and timeouts.
const (
	// HalfLife is the time in which a score halves.
	HalfLife = 2 * time.Second
	// ExcludeThreshold is the score at which a target is excluded from
	// placement.
	ExcludeThreshold = 2.0
	// ReadmitThreshold is the score below which an excluded target receives
	// requests again.
	ReadmitThreshold = 1.2
	// successFactor is the factor by which a success reduces the score.
	successFactor = 0.7
	// UnresponsiveTimeout is how long a target with pending answers may send
	// nothing. An engine that prefills short prompts sends something several
	// times within it.
	UnresponsiveTimeout = 700 * time.Millisecond
	// unreachableScore is added to the score of a target that cannot be
	// connected to. The score is limited to twice this value.
	unreachableScore = 3.0
)

// Table holds the health of targets.
type Table struct {
	targets map[names.Target]*targetHealth
}

type targetHealth struct {
	score     float64
	updatedAt time.Time
	excluded  bool
	// reported is true from the call that returned that the target is
	// excluded until the call that returned that it is readmitted.
	reported bool
	// lastActivity is when the target last sent something, or when a request was
	// sent to it while no other was pending.
	lastActivity time.Time
}

// New returns a table without recorded failures.
func New() *Table { return &Table{targets: make(map[names.Target]*targetHealth)} }

// decayed returns the health of a target with its score decayed to now. It adds the
// target if it is missing.
func (t *Table) decayed(id names.Target, now time.Time) *targetHealth {
	s, ok := t.targets[id]
	if !ok {
		s = &targetHealth{updatedAt: now}
		t.targets[id] = s
	}
	elapsed := now.Sub(s.updatedAt)
	if elapsed > 0 {
		s.score *= math.Exp2(-elapsed.Seconds() / HalfLife.Seconds())
		s.updatedAt = now
	}
	if s.score < ReadmitThreshold {
		s.excluded = false
	}
	return s
}

// RequestSent records that a request was sent. pending is the number of answers that
// were pending before.
func (t *Table) RequestSent(id names.Target, pending int, now time.Time) {
	s := t.decayed(id, now)
	if pending == 0 {
		s.lastActivity = now
	}
}

// RecordActivity records that the target sent something at the time at.
func (t *Table) RecordActivity(id names.Target, at time.Time) {
	if s, ok := t.targets[id]; ok && at.After(s.lastActivity) {
		s.lastActivity = at
	}
}

// Unresponsive reports whether the target has sent nothing for more than timeout
// though answers are pending.
func (t *Table) Unresponsive(id names.Target, pending int, timeout time.Duration, now time.Time) bool {
	s, ok := t.targets[id]
	return ok && pending > 0 && now.Sub(s.lastActivity) > timeout
}

// Failed records a failed request, and reports whether the target became excluded.
func (t *Table) Failed(id names.Target, now time.Time) bool {
	return t.add(id, 1, now)
}

// Unreachable records that a connection to the target failed, and reports whether
// the target became excluded.
func (t *Table) Unreachable(id names.Target, now time.Time) bool {
	return t.add(id, unreachableScore, now)
}

// add increases a target's score, and reports whether the target became excluded
// and this was not reported since its last readmission was returned.
func (t *Table) add(id names.Target, value float64, now time.Time) bool {
	s := t.decayed(id, now)
	wasExcluded := s.excluded
	s.score = min(s.score+value, 2*unreachableScore)
	if s.score >= ExcludeThreshold {
		s.excluded = true
	}
	becameExcluded := s.excluded && !wasExcluded && !s.reported
	s.reported = s.reported || becameExcluded
	return becameExcluded
}

// Succeeded records a successful request.
func (t *Table) Succeeded(id names.Target, now time.Time) {
	if _, ok := t.targets[id]; ok {
		t.decayed(id, now).score *= successFactor
	}
}

// Score returns a target's score, zero if no failure was recorded.
func (t *Table) Score(id names.Target, now time.Time) float64 {
	if _, ok := t.targets[id]; !ok {
		return 0
	}
	return t.decayed(id, now).score
}

// Excluded reports whether a target is excluded from placement.
func (t *Table) Excluded(id names.Target, now time.Time) bool {
	if _, ok := t.targets[id]; !ok {
		return false
	}
	return t.decayed(id, now).excluded
}

// ExcludedTargets returns the targets that are excluded from placement, sorted by name.
func (t *Table) ExcludedTargets(now time.Time) []names.Target {
	var excluded []names.Target
	for id := range t.targets {
		if t.decayed(id, now).excluded {
			excluded = append(excluded, id)
		}
	}
	slices.Sort(excluded)
	return excluded
}

// Readmitted returns the targets that were reported as excluded and were readmitted
// since the last call, sorted by name.
func (t *Table) Readmitted(now time.Time) []names.Target {
	var readmitted []names.Target
	for id, s := range t.targets {
		if s.reported && !t.decayed(id, now).excluded {
			s.reported = false
			readmitted = append(readmitted, id)
		}
	}
	slices.Sort(readmitted)
	return readmitted
}

// Forget drops the targets for which keep returns false.
func (t *Table) Forget(keep func(names.Target) bool) {
	for id := range t.targets {
		if !keep(id) {
			delete(t.targets, id)
		}
	}
}
