// Package inflight tracks the work that daemons of the fleet have in flight at each
// target.
//
// A daemon sends the homes of a target a message when it dispatches work, when the
// first event arrives and when the dispatch ends, and repeats the first one while the
// dispatch lasts. From these messages a home estimates, for each target, the prefill
// work ahead of a new prompt, the answers that are being decoded and the memory that
// they use. Messages may be lost, late or repeated: an entry is removed at its expiry
// at the latest, and a message about the end of an unknown entry is ignored.
//
// A Table is not safe for concurrent use.
package inflight

import (
	"time"

	"carobspoke.example/core/names"
)

// Key identifies one dispatch in the fleet.
type Key struct {
	Host        names.Host
	Incarnation names.Incarnation
	Number      uint64
}

// Part is the load that a dispatch puts on one target.
type Part struct {
	Target names.Target
	// Prefill is the predicted time to prefill the target's part of the prompt.
	Prefill time.Duration
	// Tokens is the memory that the part uses, in tokens.
	Tokens int
	// Decodes is set for the target that decodes the answer.
	Decodes bool
	// Size is the cost of delaying the answer: the size of the request, see
	// placement.Size, times the weight of its rank, see overload.Weight. GapTarget
	// is the longest pause between tokens that the caller accepts. Both are set
	// only for the target that decodes the answer.
	Size      int
	GapTarget time.Duration
	// Deferred parts have lower priority than all others until their prefill
	// is done.
	Deferred bool
}

// Dispatch is a unit of work that one daemon has sent.
type Dispatch struct {
	Key   Key
	Parts []Part
	// MaxDuration is the longest time from now to the end of the dispatch, or to
	// the next message that repeats it. An entry without either is removed after
	// that.
	MaxDuration time.Duration
	// Prefilled is true for a repeated message after the first event.
	Prefilled bool
}

// GapClassBounds are the upper bounds of the classes of answers by the longest
// pause that their callers accept. An answer belongs to the first class whose
// bound it does not exceed, or else to the last class.
var GapClassBounds = [...]time.Duration{250 * time.Millisecond, 600 * time.Millisecond, time.Second}

// gapClass returns the index of the class in GapClassBounds for a gap.
func gapClass(gap time.Duration) int {
	for i, bound := range GapClassBounds {
		if gap <= bound {
			return i
		}
	}
	return len(GapClassBounds) - 1
}

// Load is the load of one target.
type Load struct {
	// Backlog is the prefill time ahead of a new prompt.
	Backlog time.Duration
	// Requests counts all parts at the target, Answers the answers that it
	// decodes now or will decode.
	Requests int
	Answers  int
	// Pending counts the dispatches that the target has to answer. Helpers of a
	// prompt send nothing to the daemon.
	Pending int
	// Deferred counts the deferred parts whose prefill is not done. Backlog does
	// not include them.
	Deferred int
	// SizeByGapClass is the total size of the answers at the target by class, see
	// GapClassBounds.
	SizeByGapClass [len(GapClassBounds)]int
	// Tokens is the memory in use or reserved, in tokens.
	Tokens int
	// ReadAt is the time for which the load was computed; zero if there is none.
	ReadAt time.Time
}

// Table holds the dispatches of the fleet.
type Table struct {
	entries map[Key]*entry
	targets map[names.Target]*targetState
}

type entry struct {
	dispatch  Dispatch
	prefilled bool
	expires   time.Time
}

// targetState is the sum over the dispatches at one target.
type targetState struct {
	load Load
	// pendingPrefill is the prefill time of the parts without a first event.
	pendingPrefill time.Duration
	// backlog is the estimated prefill backlog at updatedAt.
	backlog   time.Duration
	updatedAt time.Time
	// unaccounted is the number of requests that the target reported at
	// reportedAt beyond those in the table.
	unaccounted int
	reportedAt  time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[Key]*entry), targets: make(map[names.Target]*targetState)}
}

// endMessageGrace is how long after the bound of a dispatch its end message may
// still arrive.
const endMessageGrace = time.Second

// Begin adds a dispatch, or extends the time of one that is already in the table.
func (t *Table) Begin(d Dispatch, now time.Time) {
	expires := now.Add(d.MaxDuration + endMessageGrace)
	if known, ok := t.entries[d.Key]; ok {
		known.expires = expires
		if d.Prefilled {
			t.FirstEvent(d.Key, now)
		}
		return
	}
	t.entries[d.Key] = &entry{dispatch: d, expires: expires, prefilled: d.Prefilled}
	for i := range d.Parts {
		p := &d.Parts[i]
		s := t.advance(p.Target, now)
		s.add(p, 1)
		if i == 0 {
			s.load.Pending++
		}
		if d.Prefilled {
			continue
		}
		if p.Deferred {
			s.load.Deferred++
			continue
		}
		s.pendingPrefill += p.Prefill
		s.backlog += p.Prefill
	}
}

// add adds the part to the load n times; -1 removes it.
func (s *targetState) add(p *Part, n int) {
	s.load.Requests += n
	s.load.Tokens += n * p.Tokens
	if p.Decodes {
		s.load.Answers += n
		s.load.SizeByGapClass[gapClass(p.GapTarget)] += n * p.Size
	}
}

// FirstEvent records that the prefill of a dispatch is done. It reports whether
// the entry exists and this was not recorded before.
func (t *Table) FirstEvent(k Key, now time.Time) bool {
	e, ok := t.entries[k]
	if !ok || e.prefilled {
		return false
	}
	e.prefilled = true
	t.removePrefill(e, now)
	return true
}

// removePrefill removes the prefill of an entry from the load of its targets.
func (t *Table) removePrefill(e *entry, now time.Time) {
	for i := range e.dispatch.Parts {
		p := &e.dispatch.Parts[i]
		s := t.advance(p.Target, now)
		if p.Deferred {
			s.load.Deferred--
			continue
		}
		s.pendingPrefill -= p.Prefill
		s.backlog = min(s.backlog, s.pendingPrefill)
	}
}

// End removes a dispatch. An unknown key is ignored.
func (t *Table) End(k Key, now time.Time) {
	e, ok := t.entries[k]
	if !ok {
		return
	}
	if !e.prefilled {
		t.removePrefill(e, now)
	}
	delete(t.entries, k)
	for i := range e.dispatch.Parts {
		p := &e.dispatch.Parts[i]
		s := t.advance(p.Target, now)
		s.add(p, -1)
		if i == 0 {
			s.load.Pending--
		}
	}
}

// Expire removes the entries that have expired without an end message.
func (t *Table) Expire(now time.Time) {
	for k, e := range t.entries {
		if now.After(e.expires) {
			t.End(k, now)
		}
	}
}

// RemoveIncarnations removes the dispatches of a daemon's incarnations earlier than
// before. These incarnations have died, so their connections to the targets are
// closed.
func (t *Table) RemoveIncarnations(h names.Host, before names.Incarnation, now time.Time) {
	for k := range t.entries {
		if k.Host == h && k.Incarnation < before {
			t.End(k, now)
		}
	}
}

// minPendingBacklog is the backlog assumed for prompts whose prefill takes longer
// than predicted.
const minPendingBacklog = 3 * time.Millisecond

// advance returns the state of a target, with its backlog advanced to now. It adds
// an unknown target.
func (t *Table) advance(id names.Target, now time.Time) *targetState {
	s, ok := t.targets[id]
	if !ok {
		s = &targetState{updatedAt: now}
		t.targets[id] = s
		return s
	}
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 {
		s.backlog = max(s.backlog-elapsed, 0)
		s.updatedAt = now
	}
	if s.pendingPrefill > 0 {
		s.backlog = max(s.backlog, minPendingBacklog)
	}
	return s
}

// reportValidity is how long the requests that a target reports beyond those in
// the table count as load. After a restart or in a partition, the dispatches of
// other daemons are not in the table.
const reportValidity = 1500 * time.Millisecond

// SetReportedRequests records how many requests, running and waiting, a target
// reported.
func (t *Table) SetReportedRequests(id names.Target, requests int, now time.Time) {
	s := t.advance(id, now)
	s.unaccounted = max(requests-s.load.Answers, 0)
	s.reportedAt = now
}

// Load returns the load of a target at now.
func (t *Table) Load(id names.Target, now time.Time) Load {
	if _, ok := t.targets[id]; !ok {
		return Load{}
	}
	s := t.advance(id, now)
	load := s.load
	load.Backlog = s.backlog
	if now.Sub(s.reportedAt) < reportValidity {
		load.Requests += s.unaccounted
		load.Answers += s.unaccounted
	}
	if load.Requests > 0 {
		load.ReadAt = now
	}
	return load
}

// FirstTarget returns the target that answers a dispatch, and whether the dispatch is
// in the table.
func (t *Table) FirstTarget(k Key) (names.Target, bool) {
	e, ok := t.entries[k]
	if !ok || len(e.dispatch.Parts) == 0 {
		return "", false
	}
	return e.dispatch.Parts[0].Target, true
}

// Has reports whether a dispatch is in the table.
func (t *Table) Has(k Key) bool {
	_, ok := t.entries[k]
	return ok
}

// Prune removes the targets without requests for which keep returns false.
func (t *Table) Prune(keep func(names.Target) bool) {
	for id, s := range t.targets {
		if s.load.Requests == 0 && !keep(id) {
			delete(t.targets, id)
		}
	}
}

// Size returns the number of dispatches in the table.
func (t *Table) Size() int { return len(t.entries) }
