// Package inflight knows which work the whole fleet has sent to each target.
//
// Every daemon tells the others what it dispatched, when the first event came
// and when it ended. From that each daemon estimates, for each target, the
// prefill work ahead of a new prompt, the answers that are being written and
// the memory that they hold. Messages may be lost, late or repeated: an entry
// ends at the latest at its expiry, and a message about an unknown entry
// changes nothing.
//
// A Table is not safe for concurrent use.
package inflight

import (
	"time"

	"carobspoke.example/core/names"
)

// Key names one dispatch in the fleet.
type Key struct {
	Host        names.Host
	Incarnation names.Incarnation
	Number      uint64
}

// Part is what a dispatch puts on one target.
type Part struct {
	Target names.Target
	// Prefill is the predicted time to read the target's part of the prompt.
	Prefill time.Duration
	// Tokens is the memory that the part takes.
	Tokens int
	// Writes says that the target writes the answer.
	Writes bool
	// Size is what the answer counts, see placement.Size, and Gap the
	// longest pause that its caller accepts. Both are of the target that
	// writes.
	Size int
	Gap  time.Duration
	// Deferred parts let all others go first until they are read.
	Deferred bool
}

// Dispatch is work that one daemon has sent.
type Dispatch struct {
	Key   Key
	Parts []Part
	// Lasts bounds the time from now to the end; an entry that was never
	// ended is dropped after that.
	Lasts time.Duration
}

// Pauses divide answers by the longest pause that their callers accept: an
// answer is in the first class whose bound it does not exceed, or the last.
var Pauses = [...]time.Duration{250 * time.Millisecond, 600 * time.Millisecond, time.Second}

func pauseClass(gap time.Duration) int {
	for i, bound := range Pauses {
		if gap <= bound {
			return i
		}
	}
	return len(Pauses) - 1
}

// Load is what is known of one target.
type Load struct {
	// Backlog is the prefill time ahead of a new prompt.
	Backlog time.Duration
	// Requests counts all that is there, Writers the answers that are being
	// or will be written.
	Requests int
	Writers  int
	// Deferred counts the writers that let others go first and are not read
	// yet. Backlog leaves them out.
	Deferred int
	// Exposed is the size of the answers there by the pause that harms them.
	Exposed [len(Pauses)]int
	// Tokens is the memory in use or promised.
	Tokens int
}

// Table holds the dispatches of the fleet.
type Table struct {
	entries map[Key]*entry
	targets map[names.Target]*state
}

type entry struct {
	dispatch Dispatch
	read     bool
	expires  time.Time
}

// state is the sum over the dispatches at one target.
type state struct {
	load Load
	// unread is the prefill time of the parts whose first event is not known.
	unread  time.Duration
	backlog time.Duration
	at      time.Time
	// unknown is how many requests the target said it had beyond those known
	// here, and told when it said so.
	unknown int
	told    time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: make(map[Key]*entry), targets: make(map[names.Target]*state)}
}

// lateEnd is how much later than its bound the end of a dispatch may be told.
const lateEnd = time.Second

// Begin adds a dispatch. A repeated one changes nothing.
func (t *Table) Begin(d Dispatch, now time.Time) {
	if _, ok := t.entries[d.Key]; ok {
		return
	}
	t.entries[d.Key] = &entry{dispatch: d, expires: now.Add(d.Lasts + lateEnd)}
	for i := range d.Parts {
		p := &d.Parts[i]
		s := t.settle(p.Target, now)
		s.count(p, 1)
		if p.Deferred {
			s.load.Deferred++
			continue
		}
		s.unread += p.Prefill
		s.backlog += p.Prefill
	}
}

func (s *state) count(p *Part, n int) {
	s.load.Requests += n
	s.load.Tokens += n * p.Tokens
	if p.Writes {
		s.load.Writers += n
		s.load.Exposed[pauseClass(p.Gap)] += n * p.Size
	}
}

// FirstEvent tells that a prompt has been read, and reports whether that is
// news.
func (t *Table) FirstEvent(k Key, now time.Time) bool {
	e, ok := t.entries[k]
	if !ok || e.read {
		return false
	}
	e.read = true
	t.unread(e, now)
	return true
}

func (t *Table) unread(e *entry, now time.Time) {
	for i := range e.dispatch.Parts {
		p := &e.dispatch.Parts[i]
		s := t.settle(p.Target, now)
		if p.Deferred {
			s.load.Deferred--
			continue
		}
		s.unread -= p.Prefill
		s.backlog = min(s.backlog, s.unread)
	}
}

// End removes a dispatch.
func (t *Table) End(k Key, now time.Time) {
	e, ok := t.entries[k]
	if !ok {
		return
	}
	if !e.read {
		t.unread(e, now)
	}
	delete(t.entries, k)
	for i := range e.dispatch.Parts {
		p := &e.dispatch.Parts[i]
		s := t.settle(p.Target, now)
		s.count(p, -1)
	}
}

// Expire drops entries whose end was never told.
func (t *Table) Expire(now time.Time) {
	for k, e := range t.entries {
		if now.After(e.expires) {
			t.End(k, now)
		}
	}
}

// Gone drops what a daemon that has died, or an earlier incarnation of it, had
// sent: its connections to the targets are closed.
func (t *Table) Gone(h names.Host, before names.Incarnation, now time.Time) {
	for k := range t.entries {
		if k.Host == h && k.Incarnation < before {
			t.End(k, now)
		}
	}
}

// leastUnread stands for the rest of a prompt that should have been read.
const leastUnread = 3 * time.Millisecond

func (t *Table) settle(id names.Target, now time.Time) *state {
	s, ok := t.targets[id]
	if !ok {
		s = &state{at: now}
		t.targets[id] = s
		return s
	}
	if elapsed := now.Sub(s.at); elapsed > 0 {
		s.backlog = max(s.backlog-elapsed, 0)
		s.at = now
	}
	if s.unread > 0 {
		s.backlog = max(s.backlog, leastUnread)
	}
	return s
}

// toldFor is how long the difference to what a target tells counts: after a
// restart or in a partition, others' dispatches are not known here.
const toldFor = 1500 * time.Millisecond

// Told takes in how many requests a target said it had, running and waiting.
func (t *Table) Told(id names.Target, requests int, now time.Time) {
	s := t.settle(id, now)
	s.unknown = max(requests-s.load.Writers, 0)
	s.told = now
}

// At returns the load of a target.
func (t *Table) At(id names.Target, now time.Time) Load {
	if _, ok := t.targets[id]; !ok {
		return Load{}
	}
	s := t.settle(id, now)
	load := s.load
	load.Backlog = s.backlog
	if now.Sub(s.told) < toldFor {
		load.Requests += s.unknown
		load.Writers += s.unknown
	}
	return load
}

// Forget drops targets without work that are no longer listed.
func (t *Table) Forget(keep func(names.Target) bool) {
	for id, s := range t.targets {
		if s.load.Requests == 0 && !keep(id) {
			delete(t.targets, id)
		}
	}
}

// Size returns the number of dispatches known.
func (t *Table) Size() int { return len(t.entries) }
