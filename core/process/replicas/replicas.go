// Package replicas maintains the directory of targets from a published list.
//
// The list is a sequence of changes with increasing revisions. The directory
// compensates for two of its weaknesses. Entries expire while the publisher is
// unavailable, although their targets are alive: an entry that disappears during
// or just after an outage remains usable until RepublishGrace after the end of
// the outage. Addresses are reused by other targets: a target is identified by
// its ID and start time, never by its address.
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
	// Revision is the revision of the entry's last change.
	Revision uint64
}

// Directory holds the usable targets.
type Directory struct {
	entries map[names.Target]*directoryEntry
	// unavailable is true during an outage of the publisher. During an outage
	// and until graceUntil, the list may lack entries of live targets.
	unavailable bool
	graceUntil  time.Time
	// firstAvailable is when the publisher first answered.
	firstAvailable time.Time
}

type directoryEntry struct {
	target Target
	// missing is true for an entry that disappeared during or just after an
	// outage.
	missing bool
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[names.Target]*directoryEntry)}
}

// Put adds or updates an entry. An entry with an older revision than the known
// one is ignored.
func (d *Directory) Put(t Target) {
	if old, ok := d.entries[t.ID]; ok && old.target.Revision > t.Revision {
		return
	}
	d.entries[t.ID] = &directoryEntry{target: t}
}

// Remove records that an entry was removed from the list at a revision. During and
// just after an outage the entry remains usable, unless it is draining.
func (d *Directory) Remove(id names.Target, revision uint64, now time.Time) {
	entry, ok := d.entries[id]
	if !ok || entry.target.Revision > revision {
		return
	}
	if d.absenceUncertain(now) && !entry.target.Draining {
		entry.missing = true
		return
	}
	delete(d.entries, id)
}

// Replace applies the complete list as of a revision.
func (d *Directory) Replace(list []Target, revision uint64, now time.Time) {
	present := make(map[names.Target]bool, len(list))
	for _, t := range list {
		present[t.ID] = true
		d.Put(t)
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
		d.graceUntil = now.Add(RepublishGrace)
	}
}

// Expire drops the entries that were not published again within RepublishGrace
// after an outage, and reports whether it dropped any.
func (d *Directory) Expire(now time.Time) bool {
	if d.absenceUncertain(now) {
		return false
	}
	return d.DropMissing()
}

// Settled reports whether all targets that are not listed are gone. It returns
// false during an outage and until RepublishGrace after it. It also returns false
// until RepublishGrace after the first answer of the publisher, since there may
// have been an outage just before the directory was created.
func (d *Directory) Settled(now time.Time) bool {
	return !d.absenceUncertain(now) && !d.firstAvailable.IsZero() && now.Sub(d.firstAvailable) >= RepublishGrace
}

// DropMissing drops the missing entries, and reports whether it dropped any. Other
// packages call it when another directory at the same or a newer revision is
// settled.
func (d *Directory) DropMissing() bool {
	before := len(d.entries)
	maps.DeleteFunc(d.entries, func(_ names.Target, entry *directoryEntry) bool { return entry.missing })
	return len(d.entries) < before
}

// absenceUncertain reports whether a target may be alive although the list lacks
// its entry: during an outage and until graceUntil.
func (d *Directory) absenceUncertain(now time.Time) bool {
	return d.unavailable || now.Before(d.graceUntil)
}

// List returns the usable targets, sorted by ID. Draining targets are omitted.
func (d *Directory) List() []Target {
	list := make([]Target, 0, len(d.entries))
	for _, entry := range d.entries {
		if !entry.target.Draining {
			list = append(list, entry.target)
		}
	}
	slices.SortFunc(list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
