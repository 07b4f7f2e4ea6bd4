// Package reach tells by which way a daemon connects to targets: directly, or through a
// peer that reaches them.
//
// A target to which a peer has connected while this daemon could not is on a detour: the
// next connections to it go through peers first. If detours come from several targets and
// no target was reached directly since the first of them, this daemon is cut off: all
// targets are on detours, and failures of its requests say nothing about the targets.
//
// # Load patterns
//
// A host loses its links to all targets. Each request would pay for the discovery with a
// timeout; one of the first few pays it for all that follow. A target that dies is reached by no
// peer either, and a release or a service whose targets are all gone is no detour. A sound
// target that falls silent for a second is still reached, or by nobody.
//
// A Table is not safe for concurrent use.
package reach

import (
	"math/rand/v2"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

const (
	// cutTargets is the number of targets on detours, with none reached directly since,
	// from which the daemon counts as cut off.
	cutTargets = 2
	// QuietTime is how long nothing may come from any target while answers are pending
	// before the daemon checks whether it reaches targets.
	QuietTime = 400 * time.Millisecond
	// checkInterval is the least time between two such checks.
	checkInterval = time.Second
	// ProbeInterval is the time between probes of targets on detours, and maxProbes their
	// number. They notice the end of a cut.
	ProbeInterval = 500 * time.Millisecond
	maxProbes     = 2
	// soundTime is how long after it connected to a target a daemon confirms that another
	// one to which it cannot connect is down.
	soundTime = 2 * time.Second
)

// Table holds the detours of a daemon.
type Table struct {
	// detours holds when a target was last found to be on a detour.
	detours map[names.Target]time.Time
	// connectedAt is when a target was last connected to directly, and reachedAt when it
	// was or one sent something.
	connectedAt, reachedAt time.Time
	cutOff                 bool
	checkedAt              time.Time
}

// New returns a table without detours.
func New() *Table { return &Table{detours: make(map[names.Target]time.Time)} }

// Change is the effect of an observation.
type Change int

// Changes.
const (
	// Unchanged means that neither of the others has happened.
	Unchanged Change = iota
	// CutOff means that the daemon counts as cut off from now on.
	CutOff
	// Restored means that it is no longer cut off.
	Restored
)

// Connected records that the daemon has connected to a target directly. If it was cut off,
// all detours end: those that are still needed are found again.
func (t *Table) Connected(id names.Target, now time.Time) Change {
	t.connectedAt, t.reachedAt = now, now
	delete(t.detours, id)
	if !t.cutOff {
		return Unchanged
	}
	t.cutOff = false
	clear(t.detours)
	return Restored
}

// Heard records that a target has sent something on a direct connection. Old connections
// may live on while new ones fail, so that it ends no detour.
func (t *Table) Heard(now time.Time) { t.reachedAt = now }

// Detoured records that a peer has connected to a target while this daemon could not.
func (t *Table) Detoured(id names.Target, now time.Time) Change {
	t.detours[id] = now
	if t.cutOff {
		return Unchanged
	}
	count := 0
	for _, at := range t.detours {
		if at.After(t.reachedAt) {
			count++
		}
	}
	if count < cutTargets {
		return Unchanged
	}
	t.cutOff = true
	return CutOff
}

// IsCutOff reports whether the daemon is cut off from all targets, as far as it knows.
func (t *Table) IsCutOff() bool { return t.cutOff }

// PeerFirst reports whether a connection to a target is tried through a peer first.
func (t *Table) PeerFirst(id names.Target) bool {
	_, detoured := t.detours[id]
	return t.cutOff || detoured
}

// ReachesTargets reports whether the daemon has connected to a target directly a short time
// ago. That targets send something is no sign: old connections may live on.
func (t *Table) ReachesTargets(now time.Time) bool {
	return !t.cutOff && !t.connectedAt.IsZero() && now.Sub(t.connectedAt) < soundTime
}

// CheckDue reports whether to check that targets can be reached, and records the check.
// quiet is how long nothing has come from any target while answers are pending on direct
// connections; zero if none is.
func (t *Table) CheckDue(quiet time.Duration, now time.Time) bool {
	if t.cutOff || quiet < QuietTime || now.Sub(t.checkedAt) < checkInterval {
		return false
	}
	t.checkedAt = now
	return true
}

// Probes returns the targets to connect to directly in order to notice the end of a
// detour. It is called every ProbeInterval.
func (t *Table) Probes(random *rand.Rand) []names.Target {
	ids := make([]names.Target, 0, len(t.detours))
	for id := range t.detours {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids[:min(len(ids), maxProbes)]
}

// Sweep drops the detours of targets that are not listed.
func (t *Table) Sweep(listed func(names.Target) bool) {
	for id := range t.detours {
		if !listed(id) {
			delete(t.detours, id)
		}
	}
	if len(t.detours) == 0 {
		t.cutOff = false
	}
}

// Detours returns the number of targets on detours.
func (t *Table) Detours() int { return len(t.detours) }
