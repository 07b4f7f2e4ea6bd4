// Package replicas keeps the directory of targets that a published list names.
//
// The list is a sequence of changes with growing revisions, and it has two
// flaws that the directory answers. Entries lapse while the publisher is away,
// although their targets live: an entry that vanishes during an outage, or just
// after it, stays usable until Return after the outage has ended. And an
// address is given to another target once its owner is gone: a target is known
// by its ID and start, never by its address.
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

// Return is how long after an outage entries that lapsed meanwhile may take to
// be published again.
const Return = 2200 * time.Millisecond

// Target is one published entry.
type Target struct {
	ID         names.Target
	Service    names.Service
	Address    string
	DataCentre names.DataCentre
	Slots      int
	// Draining targets take no new work.
	Draining bool
	// Started is the target's start in Unix milliseconds; zero if not told.
	Started int64
	// Revision is that of the entry's last change.
	Revision uint64
}

// Directory holds the targets that may be used.
type Directory struct {
	entries map[names.Target]*held
	// away is true during an outage of the publisher; until it is false the
	// list cannot be trusted to miss only what is gone.
	away  bool
	until time.Time
	// since is when the publisher first answered.
	since time.Time
}

type held struct {
	target Target
	// missing is true for an entry that vanished around an outage.
	missing bool
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{entries: make(map[names.Target]*held)}
}

// Put takes in a published entry. An older revision changes nothing.
func (d *Directory) Put(t Target) {
	if old, ok := d.entries[t.ID]; ok && old.target.Revision > t.Revision {
		return
	}
	d.entries[t.ID] = &held{target: t}
}

// Remove takes in that an entry has vanished.
func (d *Directory) Remove(id names.Target, revision uint64, now time.Time) {
	entry, ok := d.entries[id]
	if !ok || entry.target.Revision > revision {
		return
	}
	if d.doubtful(now) && !entry.target.Draining {
		entry.missing = true
		return
	}
	delete(d.entries, id)
}

// Replace takes in the whole list as of a revision.
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

// Away tells that the publisher does not answer.
func (d *Directory) Away() { d.away = true }

// Back tells that the publisher answers again.
func (d *Directory) Back(now time.Time) {
	if d.since.IsZero() {
		d.since = now
	}
	if d.away {
		d.away = false
		d.until = now.Add(Return)
	}
}

// Expire drops entries that are still missing when the time for their return
// is over, and reports whether any was dropped.
func (d *Directory) Expire(now time.Time) bool {
	if d.doubtful(now) {
		return false
	}
	return d.Settle()
}

// Settled reports whether the targets that are not listed are gone. A directory
// that has just been started cannot say so: there may have been an outage that
// it does not know of.
func (d *Directory) Settled(now time.Time) bool {
	return !d.doubtful(now) && !d.since.IsZero() && now.Sub(d.since) >= Return
}

// Settle drops the entries that are missing, on the word of a directory that is
// settled and knows the same or more, and reports whether any was dropped.
func (d *Directory) Settle() bool {
	before := len(d.entries)
	maps.DeleteFunc(d.entries, func(_ names.Target, entry *held) bool { return entry.missing })
	return len(d.entries) < before
}

func (d *Directory) doubtful(now time.Time) bool {
	return d.away || now.Before(d.until)
}

// List returns the usable targets, ordered by ID. Draining ones are left out.
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
