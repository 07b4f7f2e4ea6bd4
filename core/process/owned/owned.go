// Package owned holds the table of the non-idempotent calls that one incarnation
// of a daemon may run.
//
// A call that is not in the table and has not expired is fresh: this incarnation
// has never run it, because an entry is kept until its call expires, and a full
// table refuses new calls instead of evicting old ones. A fresh call becomes
// running, and then answered, or fresh again if it is proven that it did not run.
// A resend of a running call waits for its answer; a resend of an answered call
// gets the stored answer.
//
// Times are durations since the incarnation's start on its monotonic clock. The
// time of a table never decreases. Commit checks the expiry again immediately
// before a request is written. If the process is paused between Commit and the
// write, the call runs late by the length of the pause. It still cannot run twice,
// because no other process may run it and the entry stays until it is finished.
//
// A Table is not safe for concurrent use.
package owned

import (
	"container/heap"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
)

// Limits are the limits of a table.
type Limits struct {
	// Calls is the maximum number of entries, running and answered together.
	Calls int
	// CallsPerCustomer is the maximum number of entries of one customer.
	CallsPerCustomer int
	// AnswerBytes is the maximum total size of the stored answers, in bytes. An
	// answer that does not fit is not stored; its call is still answered.
	AnswerBytes int
}

// Action is what the daemon does with a send of a call.
type Action uint8

const (
	// Refuse means that this send does not run the call.
	Refuse Action = iota
	// Run means that this send runs the call. No other send may run it.
	Run
	// Join means that the send waits for the run that an earlier send started.
	Join
	// Replay means that the send gets the stored answer.
	Replay
)

// Call is one send of a call.
type Call struct {
	ID       string
	Customer names.Customer
	// BodyDigest is the digest of the call's body.
	BodyDigest names.Digest
	// Expires is the time from which the call may not run. Its entry is then
	// removed.
	Expires time.Duration
}

// Answer is the outcome of a call.
type Answer struct {
	Body []byte
	// Failure is set if the call failed.
	Failure *verdict.Error
}

// Decision is what the table decides about a send.
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

// AnswerBytes returns the total size of the stored answers, in bytes.
func (t *Table) AnswerBytes() int { return t.answerBytes }

// Begin decides about one send of a call. If the call is fresh and the table is not
// full, it adds the call as running and returns Run.
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

// Commit checks, immediately before a request is written, whether it may be
// written. An error proves that this send does not run the call.
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

// Finish ends a run. A failure that proves that the call did not run makes it fresh
// again; any other answer is stored until the call expires.
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
	e.answer = t.store(a)
	t.advance(now)
}

// store reserves memory for an answer and returns it. If the answer does not fit,
// store returns a failure instead.
func (t *Table) store(a Answer) Answer {
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
	t.removePopped(e)
}

// removePopped removes an entry that is no longer in byExpiry.
func (t *Table) removePopped(e *entry) {
	delete(t.entries, e.call.ID)
	t.answerBytes -= len(e.answer.Body)
	t.perCustomer[e.call.Customer]--
	if t.perCustomer[e.call.Customer] == 0 {
		delete(t.perCustomer, e.call.Customer)
	}
}

// advance sets the time and removes answered calls that have expired. A running
// call is kept until it is finished.
func (t *Table) advance(now time.Duration) {
	t.now = max(t.now, now)
	var stillRunning []*entry
	for len(t.byExpiry) > 0 && t.byExpiry[0].call.Expires <= t.now {
		e := heap.Pop(&t.byExpiry).(*entry)
		if e.state == running {
			stillRunning = append(stillRunning, e)
			continue
		}
		t.removePopped(e)
	}
	for _, e := range stillRunning {
		heap.Push(&t.byExpiry, e)
	}
}

func refuse(v verdict.Verdict, r verdict.Reason, message string) Decision {
	return Decision{Action: Refuse, Refusal: verdict.New(v, r, message)}
}
