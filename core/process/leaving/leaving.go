// Package leaving keeps the targets that have stated that they are about to exit.
//
// The statement is about one start of a target, and final: until a later start of the
// target is listed, no caller's request may be sent to it, whatever the list says. The
// list may name the target as ready for some seconds more, and a list that was restored
// from a copy may name it again after the target has gone.
//
// A Table is not safe for concurrent use.
package leaving

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
)

const (
	// Retention is how long a statement is kept after its target was last listed. It
	// exceeds the age of any copy from which a list is restored.
	Retention = 10 * time.Minute
	// maxTargets bounds the statements. Beyond it, the one whose target was listed
	// least recently is dropped.
	maxTargets = 16384
)

// Table holds the targets that are leaving.
type Table struct {
	targets map[names.Target]*statement
	// current holds the targets that were listed at the last Sweep, and those with a
	// newer statement, sorted by ID. It is replaced and never changed.
	current []replicas.Incarnation
	// limit is maxTargets, except in tests.
	limit int
}

type statement struct {
	// started is the latest start of the target that has stated that it is leaving.
	started int64
	// lastListed is when the target was last known to be listed.
	lastListed time.Time
}

// New returns an empty table.
func New() *Table { return &Table{targets: make(map[names.Target]*statement), limit: maxTargets} }

// Record records that a target is leaving, and reports whether that was unknown.
func (t *Table) Record(i replicas.Incarnation, now time.Time) bool {
	if known, ok := t.targets[i.ID]; ok {
		known.lastListed = now
		if known.started >= i.Started {
			return false
		}
		known.started = i.Started
		t.addCurrent(i)
		return true
	}
	if len(t.targets) >= t.limit {
		t.dropOldest()
	}
	t.targets[i.ID] = &statement{started: i.Started, lastListed: now}
	t.addCurrent(i)
	return true
}

// addCurrent adds a target to current, or replaces its earlier start there.
func (t *Table) addCurrent(i replicas.Incarnation) {
	list := slices.DeleteFunc(slices.Clone(t.current), func(c replicas.Incarnation) bool { return c.ID == i.ID })
	t.current = sorted(append(list, i))
}

func sorted(list []replicas.Incarnation) []replicas.Incarnation {
	slices.SortFunc(list, func(a, b replicas.Incarnation) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// dropOldest drops the statement whose target was listed least recently.
func (t *Table) dropOldest() {
	oldest := names.Target("")
	for id, s := range t.targets {
		if oldest == "" || s.lastListed.Before(t.targets[oldest].lastListed) {
			oldest = id
		}
	}
	delete(t.targets, oldest)
}

// Leaving reports whether a target has stated that it is leaving. A later start than
// that which did so is not leaving.
func (t *Table) Leaving(i replicas.Incarnation) bool {
	s, ok := t.targets[i.ID]
	return ok && i.Started <= s.started
}

// Len returns the number of statements.
func (t *Table) Len() int { return len(t.targets) }

// Current returns the leaving targets that were listed at the last Sweep, and those with
// a newer statement, sorted by ID. The caller must not change the list.
func (t *Table) Current() []replicas.Incarnation { return t.current }

// Sweep drops the statements of targets that were not listed for Retention. listed
// returns the start of a target as listed, and whether it is listed.
func (t *Table) Sweep(listed func(names.Target) (int64, bool), now time.Time) {
	var current []replicas.Incarnation
	for id, s := range t.targets {
		if started, ok := listed(id); ok && started <= s.started {
			s.lastListed = now
			current = append(current, replicas.Incarnation{ID: id, Started: s.started})
			continue
		}
		if now.Sub(s.lastListed) > Retention {
			delete(t.targets, id)
		}
	}
	t.current = sorted(current)
}
