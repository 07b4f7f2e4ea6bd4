// Package owned is the table of the non-idempotent calls that one incarnation
// of a daemon may run.
//
// A call that is not in the table and has not expired is fresh: this
// incarnation never ran it, since an entry is kept until its call expires and
// a full table refuses new calls rather than forget old ones. From fresh a
// call goes to running, and from there to answered, or back to fresh if it is
// proven that it did not run. A resend joins a running call, and is given the
// kept answer of an answered one.
//
// Times are durations since the incarnation's start on its monotonic clock.
// The table never lets its time go back. Commit checks the expiry once more
// immediately before a request is written. If the process is paused between
// Commit and the write, the call runs late by the pause; it still cannot run
// twice, since no other process may run it and the entry stays until it is
// finished.
//
// A Table is not safe for concurrent use.
package owned

import (
	"container/heap"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
)

// Limits bound what a table holds.
type Limits struct {
	// Calls is the most entries, running and answered together.
	Calls int
	// CallsPerCustomer is the most entries of one customer.
	CallsPerCustomer int
	// AnswerBytes is the most bytes of kept answers together. An answer that
	// does not fit is dropped; its call stays answered.
	AnswerBytes int
}

// Action says what to do with a send of a call.
type Action uint8

const (
	// Refuse the send; it is not run.
	Refuse Action = iota
	// Run the call: this send is the only one that may.
	Run
	// Join the run that an earlier send started.
	Join
	// Replay the kept answer.
	Replay
)

// Call is one send of a call.
type Call struct {
	ID       string
	Customer names.Customer
	// Body is the digest of the call's body.
	Body names.Digest
	// Expires is when the call may no longer run and is forgotten.
	Expires time.Duration
}

// Answer is the outcome of a call.
type Answer struct {
	Body []byte
	// Failure is set if the call failed.
	Failure *verdict.Error
}

// Decision is the table's answer to a send.
type Decision struct {
	Action Action
	// Refusal is set for Refuse.
	Refusal *verdict.Error
	// Answer is set for Replay.
	Answer Answer
}

// Table holds the calls of one incarnation.
type Table struct {
	limits      Limits
	now         time.Duration
	entries     map[string]*entry
	byExpiry    expiryHeap
	perCustomer map[names.Customer]int
	answerBytes int
}

// New returns an empty table.
func New(limits Limits) *Table {
	return &Table{
		limits:      limits,
		entries:     make(map[string]*entry),
		perCustomer: make(map[names.Customer]int),
	}
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// AnswerBytes returns the size of the kept answers, in bytes.
func (t *Table) AnswerBytes() int { return t.answerBytes }

// Begin decides about one send of a call.
func (t *Table) Begin(c Call, now time.Duration) Decision {
	t.advance(now)
	if t.now >= c.Expires {
		return refuse(verdict.MayHaveRun, verdict.TicketExpired, "the call's time has passed")
	}
	if e := t.entries[c.ID]; e != nil {
		return e.resend(c)
	}
	if len(t.entries) >= t.limits.Calls || t.perCustomer[c.Customer] >= t.limits.CallsPerCustomer {
		return refuse(verdict.NotRun, verdict.QueueFull, "too many calls are being remembered")
	}
	t.add(c)
	return Decision{Action: Run}
}

// Commit says, immediately before a request is written, whether it may be. An
// error is proof that this send does not run the call.
func (t *Table) Commit(id string, now time.Duration) error {
	t.advance(now)
	e := t.entries[id]
	if e == nil || e.state != running {
		return verdict.New(verdict.MayHaveRun, verdict.Internal, "the call is not running")
	}
	if t.now >= e.call.Expires {
		return verdict.New(verdict.NotRun, verdict.TicketExpired, "the call's time passed before it was sent")
	}
	return nil
}

// Finish ends a run. A failure that proves that the call did not run makes it
// fresh again; any other outcome is kept until the call expires.
func (t *Table) Finish(id string, a Answer, now time.Duration) {
	e := t.entries[id]
	if e == nil || e.state != running {
		return
	}
	if a.Failure != nil && a.Failure.Verdict == verdict.NotRun {
		t.remove(e)
		t.advance(now)
		return
	}
	e.state = answered
	e.answer = t.keep(a)
	t.advance(now)
}

// keep returns a, or that it was too large to keep.
func (t *Table) keep(a Answer) Answer {
	if t.answerBytes+len(a.Body) > t.limits.AnswerBytes {
		return Answer{Failure: verdict.New(verdict.Ran, verdict.TicketUsed, "the call ran; its answer was too large to keep")}
	}
	t.answerBytes += len(a.Body)
	return a
}

func (t *Table) add(c Call) {
	e := &entry{call: c, state: running}
	t.entries[c.ID] = e
	t.perCustomer[c.Customer]++
	heap.Push(&t.byExpiry, e)
}

func (t *Table) remove(e *entry) {
	heap.Remove(&t.byExpiry, e.index)
	t.forget(e)
}

func (t *Table) forget(e *entry) {
	delete(t.entries, e.call.ID)
	t.answerBytes -= len(e.answer.Body)
	t.perCustomer[e.call.Customer]--
	if t.perCustomer[e.call.Customer] == 0 {
		delete(t.perCustomer, e.call.Customer)
	}
}

// advance forgets answered calls that have expired. A running call is kept
// until it is finished.
func (t *Table) advance(now time.Duration) {
	t.now = max(t.now, now)
	var late []*entry
	for len(t.byExpiry) > 0 && t.byExpiry[0].call.Expires <= t.now {
		e := heap.Pop(&t.byExpiry).(*entry)
		if e.state == running {
			late = append(late, e)
			continue
		}
		t.forget(e)
	}
	for _, e := range late {
		heap.Push(&t.byExpiry, e)
	}
}

func refuse(v verdict.Verdict, r verdict.Reason, message string) Decision {
	return Decision{Action: Refuse, Refusal: verdict.New(v, r, message)}
}
