// Package evacuation holds the data centres that operators want evacuated.
//
// Operators ask for an evacuation with a key in the store, and end it by removing the key.
// Unlike the entries of targets, these keys do not expire: what a list lacks was removed,
// also after an outage of the store. The exception is a store that was restored from a copy.
// The copy may be older than the key, so that an evacuation that is known and that the copy
// lacks stays in force for RestoreGrace. It may also be older than the removal of the key,
// which is then in force again. In doubt a data centre is evacuated: the cost is that the
// other data centres carry its load for some seconds.
//
// # Load patterns
//
// Operators evacuate a data centre before they switch it off, so that a request that is sent
// there late is lost. They do so under any load, and take it back when the load needs it.
//
// A Table is not safe for concurrent use.
package evacuation

import (
	"maps"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
)

// retention is how long the end of an evacuation is remembered. It exceeds the age of any copy
// from which a store is restored, and the time for which targets are cold.
const retention = 10 * time.Minute

// Table holds the evacuations that are known.
type Table struct {
	inForce map[names.DataCentre]*evacuation
	ended   map[names.DataCentre]end
}

// evacuation is one that is in force.
type evacuation struct {
	// since is when this table learnt of it.
	since time.Time
	// revision is that of the key in the present era of the store.
	revision uint64
	// unlisted is true while the key is not known to have been in the store since it was
	// restored. The evacuation then ends at until.
	unlisted bool
	until    time.Time
}

// end is the end of an evacuation.
type end struct {
	at time.Time
	// revision is that of the removal of the key. earlier is true if the store has been
	// restored since, so that the key may be listed again.
	revision uint64
	earlier  bool
}

// New returns a table without evacuations.
func New() *Table {
	return &Table{inForce: make(map[names.DataCentre]*evacuation), ended: make(map[names.DataCentre]end)}
}

// Put records that the store holds the key of a data centre, as of a revision of the present
// era. It reports whether the data centre was not evacuated before. A key that was removed
// at a later revision is ignored.
func (t *Table) Put(dc names.DataCentre, revision uint64, now time.Time) bool {
	if gone, ok := t.ended[dc]; ok && !gone.earlier && gone.revision > revision {
		return false
	}
	if known, ok := t.inForce[dc]; ok {
		known.revision, known.unlisted = max(known.revision, revision), false
		return false
	}
	t.inForce[dc] = &evacuation{since: now, revision: revision}
	return true
}

// Hold records that a peer keeps a data centre evacuated although the restored store lacks its
// key. It stays in force for RestoreGrace at most. Hold reports whether the data centre was
// not evacuated before. It does nothing if the evacuation has ended in the present era.
func (t *Table) Hold(dc names.DataCentre, now time.Time) bool {
	gone, hasEnded := t.ended[dc]
	if _, known := t.inForce[dc]; known || hasEnded && !gone.earlier {
		return false
	}
	t.inForce[dc] = &evacuation{since: now, unlisted: true, until: now.Add(replicas.RestoreGrace)}
	return true
}

// Remove records that the key of a data centre was removed at a revision of the present era.
// It reports whether the data centre was evacuated before and is not any more.
func (t *Table) Remove(dc names.DataCentre, revision uint64, now time.Time) bool {
	known, ok := t.inForce[dc]
	switch gone, hasEnded := t.ended[dc]; {
	case ok && known.revision > revision:
		return false
	case ok:
		delete(t.inForce, dc)
		t.ended[dc] = end{at: now, revision: revision}
	case hasEnded:
		t.ended[dc] = end{at: gone.at, revision: max(gone.revision, revision)}
	}
	return ok
}

// Absent records that the complete list of a revision lacks the key of a data centre. It
// reports whether the data centre was evacuated before and is not any more. An evacuation
// that was not listed since the store was restored stays in force until Expire ends it.
func (t *Table) Absent(dc names.DataCentre, revision uint64, now time.Time) bool {
	if known, ok := t.inForce[dc]; ok && known.unlisted && now.Before(known.until) {
		return false
	}
	return t.Remove(dc, revision, now)
}

// Restore records that the store was restored from a copy. Its revisions cannot be compared
// with those that are known.
func (t *Table) Restore(now time.Time) {
	for _, known := range t.inForce {
		known.revision, known.unlisted, known.until = 0, true, now.Add(replicas.RestoreGrace)
	}
	for dc, gone := range t.ended {
		gone.revision, gone.earlier = 0, true
		t.ended[dc] = gone
	}
}

// Expire ends the evacuations that the restored store has lacked for RestoreGrace, and returns
// their data centres. It forgets ends that are older than retention.
func (t *Table) Expire(now time.Time) []names.DataCentre {
	maps.DeleteFunc(t.ended, func(_ names.DataCentre, gone end) bool { return now.Sub(gone.at) > retention })
	var list []names.DataCentre
	for dc, known := range t.inForce {
		if known.unlisted && !now.Before(known.until) {
			t.ended[dc] = end{at: now}
			delete(t.inForce, dc)
			list = append(list, dc)
		}
	}
	return list
}

// InForce returns the evacuated data centres and when this table learnt of each.
func (t *Table) InForce() map[names.DataCentre]time.Time {
	out := make(map[names.DataCentre]time.Time, len(t.inForce))
	for dc, known := range t.inForce {
		out[dc] = known.since
	}
	return out
}

// TakenBack returns when this table learnt that data centres which are not evacuated were
// taken back, for those of which it still knows.
func (t *Table) TakenBack() map[names.DataCentre]time.Time {
	out := make(map[names.DataCentre]time.Time, len(t.ended))
	for dc, gone := range t.ended {
		if _, again := t.inForce[dc]; !again {
			out[dc] = gone.at
		}
	}
	return out
}
