// Package replicas maintains the directory of targets from a published list.
//
// The list is a sequence of changes with increasing revisions. The directory
// compensates for three of its weaknesses. Entries expire while the publisher is
// unavailable, although their targets are alive: an entry that disappears during
// or just after an outage remains usable until RepublishGrace after the end of
// the outage. Addresses are reused by other targets: a target is identified by
// its ID and start time, never by its address. The publisher may be restored from
// a copy that is some seconds old, see Restore.
//
// A Directory is not safe for concurrent use.
package replicas

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// RepublishGrace is the time after an outage within which entries that expired
// during the outage may be published again.
const RepublishGrace = 2200 * time.Millisecond

// Times after a restoration of the publisher from a copy.
const (
	// RestoreGrace is the time within which entries that the copy lacks may be
	// published again. It does not apply to an entry that was listed after the
	// restoration.
	RestoreGrace = 5 * time.Second
	// SuspensionTime is how long an entry of the copy is not used if its target
	// was draining or gone before the restoration. A target that is alive and
	// draining publishes that again within it, and the entry of a dead one
	// expires.
	SuspensionTime = 6 * time.Second
	// tombstoneTime is how long a removed target is remembered, which bounds the
	// age of a copy.
	tombstoneTime = time.Minute
)

// Position is a point in the history of the publisher.
type Position struct {
	// Era is increased by one each time the publisher is restored from a copy.
	Era uint64
	// Revision is increased by one with each change. After a restoration it
	// continues from that of the copy, so that revisions of different eras
	// cannot be compared.
	Revision uint64
}

// Compare compares two positions by era, then by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// IsZero reports whether nothing was published or read yet.
func (p Position) IsZero() bool { return p == Position{} }

// Target is one published entry.
type Target struct {
	ID         names.Target
	Service    names.Service
	Address    string
	DataCentre names.DataCentre
	Slots      int
	// Draining targets accept no new work.
	Draining bool
	// Started is the target's start time in Unix milliseconds; zero if
	// unknown.
	Started int64
	// ColdLeft is how much longer the target is cold, as the entry states.
	ColdLeft time.Duration
	// Revision is the revision of the entry's last change.
	Revision uint64
}

// Incarnation is one start of a target.
type Incarnation struct {
	ID names.Target
	// Started is the start time in Unix milliseconds; zero if unknown.
	Started int64
}

// Incarnation returns the start of the target that the entry is about.
func (t *Target) Incarnation() Incarnation { return Incarnation{ID: t.ID, Started: t.Started} }

// Directory holds the usable targets.
type Directory struct {
	entries map[names.Target]*directoryEntry
	// removed holds the targets that were removed in the last tombstoneTime.
	removed map[names.Target]tombstone
	// unavailable is true during an outage of the publisher. During an outage
	// and until graceUntil, entries of live targets may be removed from the list.
	unavailable bool
	graceUntil  time.Time
	// restoreUntil is the time until which the list may lack entries of live targets
	// because they are newer than the copy.
	restoreUntil time.Time
	// firstAvailable is when the publisher first answered.
	firstAvailable time.Time
	// copied is the revision up to which entries may be those of a copy, and
	// suspendUntil the time until which such entries are not used if they
	// contradict what was known before.
	copied       uint64
	suspendUntil time.Time
}

type directoryEntry struct {
	target Target
	// missing is true for an entry that disappeared during or just after an
	// outage, at the revision removedAt.
	missing   bool
	removedAt uint64
	// unlisted is true while the entry was not listed since the last restoration.
	unlisted bool
	// suspendedUntil is the time until which the entry of a copy is not used.
	suspendedUntil time.Time
}

// tombstone is a removed target.
type tombstone struct {
	revision uint64
	started  int64
	at       time.Time
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[names.Target]*directoryEntry), removed: make(map[names.Target]tombstone)}
}

// Put adds or updates an entry. An entry with an older revision than the known
// one, or than its removal, is ignored.
func (d *Directory) Put(t Target, now time.Time) {
	old, ok := d.entries[t.ID]
	if ok && max(old.target.Revision, old.removedAt) > t.Revision || d.removed[t.ID].revision > t.Revision {
		return
	}
	entry := &directoryEntry{target: t}
	if t.Revision <= d.copied && now.Before(d.suspendUntil) {
		d.reconcile(entry, old)
	}
	d.entries[t.ID] = entry
	delete(d.removed, t.ID)
}

// reconcile corrects an entry that may be that of a copy by what was known before the
// restoration; old is the known entry, or nil.
func (d *Directory) reconcile(entry, old *directoryEntry) {
	t := &entry.target
	if old == nil {
		if gone, ok := d.removed[t.ID]; ok && t.Started <= gone.started {
			entry.suspendedUntil = d.suspendUntil
		}
		return
	}
	if old.target.Started > t.Started {
		revision := t.Revision
		*t = old.target
		t.Revision = revision
	}
	if old.target.Draining && !t.Draining && old.target.Started == t.Started {
		entry.suspendedUntil = d.suspendUntil
	}
	if entry.suspendedUntil.Before(old.suspendedUntil) {
		entry.suspendedUntil = old.suspendedUntil
	}
}

// Remove records that an entry was removed from the list at a revision. During and
// just after an outage the entry remains usable, and also one that a restored list lacks,
// unless it is draining.
func (d *Directory) Remove(id names.Target, revision uint64, now time.Time) {
	entry, ok := d.entries[id]
	if !ok || entry.target.Revision > revision {
		return
	}
	if d.mayBeAlive(entry, now) && entry.usable(now) {
		entry.missing, entry.removedAt = true, revision
		return
	}
	d.drop(id, revision, now)
}

// drop removes an entry and remembers the target.
func (d *Directory) drop(id names.Target, revision uint64, now time.Time) {
	d.removed[id] = tombstone{revision: revision, started: d.entries[id].target.Started, at: now}
	delete(d.entries, id)
}

// usable reports whether new work may be sent to the target.
func (e *directoryEntry) usable(now time.Time) bool {
	return !e.target.Draining && !now.Before(e.suspendedUntil)
}

// Restore records that the publisher was restored from a copy. Its revisions start
// again below those that are known, and its list, which is as of the revision copied,
// may be some seconds old. An entry that it lacks stays usable until RestoreGrace later,
// and one that it holds and that is removed within RepublishGrace until the end of that:
// it may have expired while the publisher was away. One of a target that was draining or
// gone before is not used until it is published again or until SuspensionTime later, and
// an earlier start of a target does not replace a later one.
func (d *Directory) Restore(copied uint64, now time.Time) {
	d.copied, d.suspendUntil, d.restoreUntil = copied, now.Add(SuspensionTime), now.Add(RestoreGrace)
	d.graceUntil = later(d.graceUntil, now.Add(RepublishGrace))
	for _, entry := range d.entries {
		entry.target.Revision, entry.removedAt, entry.unlisted = 0, 0, true
	}
	for id, gone := range d.removed {
		gone.revision = 0
		d.removed[id] = gone
	}
}

// Suspended returns the entries that are not used because of a restoration, and for
// how much longer.
func (d *Directory) Suspended(now time.Time) map[names.Target]time.Duration {
	suspended := make(map[names.Target]time.Duration)
	for id, entry := range d.entries {
		if left := entry.suspendedUntil.Sub(now); left > 0 {
			suspended[id] = left
		}
	}
	return suspended
}

// Suspend suspends an entry that a peer with the same list has suspended for a time.
func (d *Directory) Suspend(id names.Target, left time.Duration, now time.Time) {
	entry, ok := d.entries[id]
	if until := now.Add(min(left, SuspensionTime)); ok && until.After(entry.suspendedUntil) {
		entry.suspendedUntil = until
	}
}

// Replace applies the complete list as of a revision.
func (d *Directory) Replace(list []Target, revision uint64, now time.Time) {
	present := make(map[names.Target]bool, len(list))
	for _, t := range list {
		present[t.ID] = true
		d.Put(t, now)
	}
	for id := range d.entries {
		if !present[id] {
			d.Remove(id, revision, now)
		}
	}
}

// MarkUnavailable records that the publisher does not answer.
func (d *Directory) MarkUnavailable() { d.unavailable = true }

// MarkAvailable records that the publisher answers.
func (d *Directory) MarkAvailable(now time.Time) {
	if d.firstAvailable.IsZero() {
		d.firstAvailable = now
	}
	if d.unavailable {
		d.unavailable = false
		d.graceUntil = later(d.graceUntil, now.Add(RepublishGrace))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Expire drops the entries that were not published again after an outage or a
// restoration, and ends suspensions. It reports whether the usable targets changed.
func (d *Directory) Expire(now time.Time) bool {
	maps.DeleteFunc(d.removed, func(_ names.Target, gone tombstone) bool { return now.Sub(gone.at) > tombstoneTime })
	changed := false
	for _, entry := range d.entries {
		if !entry.suspendedUntil.IsZero() && !now.Before(entry.suspendedUntil) {
			entry.suspendedUntil = time.Time{}
			changed = true
		}
	}
	dropped := d.dropMissing(now, func(entry *directoryEntry) bool { return !d.mayBeAlive(entry, now) })
	return dropped || changed
}

// Settled reports whether all targets that are not listed are gone. It returns
// false during an outage and until RepublishGrace after it. It also returns false
// until RepublishGrace after the first answer of the publisher, since there may
// have been an outage just before the directory was created.
func (d *Directory) Settled(now time.Time) bool {
	return !d.absenceUncertain(now) && !now.Before(d.restoreUntil) && !d.firstAvailable.IsZero() && now.Sub(d.firstAvailable) >= RepublishGrace
}

// DropMissing drops the missing entries, and reports whether it dropped any. Other
// packages call it when another directory at the same or a newer position is
// settled.
func (d *Directory) DropMissing(now time.Time) bool {
	return d.dropMissing(now, func(*directoryEntry) bool { return true })
}

func (d *Directory) dropMissing(now time.Time, gone func(*directoryEntry) bool) bool {
	before := len(d.entries)
	for id, entry := range d.entries {
		if entry.missing && gone(entry) {
			d.drop(id, entry.removedAt, now)
		}
	}
	return len(d.entries) < before
}

// mayBeAlive reports whether a target may be alive although the list lacks its entry. An
// entry that was listed since the last restoration is as certain as without one.
func (d *Directory) mayBeAlive(entry *directoryEntry, now time.Time) bool {
	return d.absenceUncertain(now) || entry.unlisted && now.Before(d.restoreUntil)
}

// absenceUncertain reports whether the entry of a live target may have been removed:
// during an outage and until graceUntil.
func (d *Directory) absenceUncertain(now time.Time) bool {
	return d.unavailable || now.Before(d.graceUntil)
}

// List returns the usable targets, sorted by ID. Draining and suspended targets are
// omitted.
func (d *Directory) List(now time.Time) []Target {
	list := make([]Target, 0, len(d.entries))
	for _, entry := range d.entries {
		if entry.usable(now) {
			list = append(list, entry.target)
		}
	}
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
