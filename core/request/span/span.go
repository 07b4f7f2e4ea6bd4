// Package span runs a prompt that exceeds the memory of one engine on several
// engines.
//
// The prompt is split into parts. Each engine prefills its part, reading the
// earlier parts from the engines that hold them, and keeps its KV blocks pinned
// under a handle. The engine of the last part then generates, reading all
// others. Parts are prefilled sequentially, since each depends on those before
// it.
//
// # Reservations
//
// Before the first part starts, memory is reserved either for all parts or for
// none. Engines are asked sequentially in the order of their names, which is
// the same for every span of the fleet. A span that finds an engine busy waits
// for it while holding only engines with lower names. This prevents deadlock: a
// cycle of waiting spans would need one that waits for an engine with a lower
// name than one it holds. The wait is also bounded by ReserveTimeout, after
// which all reservations are freed and the request is refused as not run.
//
// # Failures
//
// When an engine fails, the parts on the other engines are kept, and only the
// failed engine's part is prefilled again, on a spare engine. Spares are tried
// in turn for at most ReplaceTimeout; the bound is needed because they are not
// reserved in the order of names. Late events of an earlier generation of a
// part are discarded. However a run ends, every handle that may exist is freed;
// if the daemon dies, the deadline encoded in the handle IDs lets other daemons
// free them.
//
// # Contract
//
// Run is a pure state machine: the shell executes the actions returned by each
// Step and reports their results as events. Every Reserve is answered by
// Reserved, Busy or Failed, every SubmitPart by PartDone or Failed, and
// SubmitFinal by Answered or Failed. Failed may also be reported for a part
// that is reserved or pinned, when the shell detects that its engine is gone.
// Actions for one engine must be executed in order. When SubmitFinal is
// repeated, the shell requests only the tokens that were not yet delivered. The
// last action of a run is End; later steps return nothing. The shell must call
// Step with Tick at least every TickInterval.
package span

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Limits of a span.
const (
	// ReserveTimeout bounds the time taken to reserve all parts.
	ReserveTimeout = 5 * time.Second
	// ReplaceTimeout bounds the time taken to replace a failed engine by a
	// spare.
	ReplaceTimeout = 10 * time.Second
	// TickInterval is the time between two ticks, and between two attempts
	// to reserve memory at a busy engine.
	TickInterval = 100 * time.Millisecond
	// MaxReplacements is the maximum number of engine failures that one span
	// recovers from.
	MaxReplacements = 3
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter = 10 * time.Second
)

// EventKind identifies the kind of an event.
type EventKind uint8

// Kinds of events.
const (
	// Tick only advances the time.
	Tick EventKind = iota
	// Reserved means that the engine has reserved the memory.
	Reserved
	// Busy means that the engine does not have enough free memory at present.
	Busy
	// PartDone means that a part is prefilled and pinned.
	PartDone
	// Answered means that the complete answer was received.
	Answered
	// Failed means that the engine of the part failed or cannot be reached.
	Failed
	// Cancelled means that the caller disconnected or the daemon is stopping.
	Cancelled
)

// Event is the input of a step.
type Event struct {
	Kind EventKind
	// Part and Generation identify the action that the event answers.
	Part       int
	Generation int
}

// ActionKind identifies the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	// Reserve reserves memory for Tokens under Handle.
	Reserve ActionKind = iota
	// SubmitPart prefills a part into its reservation.
	SubmitPart
	// SubmitFinal prefills the last part into its reservation and generates
	// the answer.
	SubmitFinal
	// Free frees a handle, and cancels the part's stream if there is one.
	Free
	// End ends the run. Refusal is nil after a complete answer.
	End
)

// Action is an instruction to the shell.
type Action struct {
	Kind       ActionKind
	Part       int
	Generation int
	Target     names.Target
	Handle     target.HandleID
	// From and Tokens are the offset and number of the prompt tokens that
	// the action covers. In the Reserve of the last part, Tokens also
	// includes the maximum length of the answer.
	From   int
	Tokens int
	// Parts are the earlier parts of the prompt, for SubmitPart and
	// SubmitFinal.
	Parts   []target.Part
	Refusal *verdict.Error
}

// Namer returns the handle ID of a generation of a part. It must be a pure
// function, and the IDs must be unique across the fleet.
type Namer func(part, generation int) target.HandleID

// state is the progress of a part.
type state uint8

const (
	waiting   state = iota // no reservation requested yet
	reserving              // reservation requested
	reserved               // memory reserved
	running                // submitted
	pinned                 // prefilled, KV blocks pinned
)

// part is one part of the prompt, assigned to an engine.
type part struct {
	engine     Engine
	from       int
	tokens     int
	generation int
	state      state
	retryAt    time.Time
}

// Run is the state machine of one span. It is not safe for concurrent use.
type Run struct {
	plan         Plan
	nameHandle   Namer
	parts        []part
	order        []int // part indices, sorted by engine name
	spares       []Engine
	replacements int
	replaceBy    time.Time
	reserveBy    time.Time
	deadline     time.Time
	submitted    bool
	ended        bool
}

// Start returns a run of a plan and its first actions. Spares are the engines
// that may replace failed ones, in order of preference.
func Start(p Plan, spares []Engine, name Namer, deadline, now time.Time) (*Run, []Action) {
	r := &Run{
		plan:       p,
		nameHandle: name,
		spares:     spares,
		reserveBy:  now.Add(ReserveTimeout),
		deadline:   deadline,
	}
	from := 0
	for _, a := range p.Parts {
		r.parts = append(r.parts, part{engine: a.Engine, from: from, tokens: a.Tokens})
		from += a.Tokens
	}
	r.order = partsByEngineName(r.parts)
	return r, r.advance(now)
}

// Step handles an event and returns the next actions.
func (r *Run) Step(now time.Time, e Event) []Action {
	if r.ended || r.stale(e) {
		return nil
	}
	switch e.Kind {
	case Cancelled:
		return r.end(verdict.New(r.verdict(), verdict.CallerGone, "the request was given up"))
	case Answered:
		return r.end(nil)
	case Reserved:
		r.parts[e.Part].state = reserved
	case PartDone:
		r.parts[e.Part].state = pinned
	case Busy:
		return r.handleBusy(now, e.Part)
	case Failed:
		return r.handleFailed(now, e.Part)
	case Tick:
	}
	if refusal := r.timeoutError(now); refusal != nil {
		return r.end(refusal)
	}
	return r.advance(now)
}

// stale reports whether an event answers an action of an earlier generation of
// its part.
func (r *Run) stale(e Event) bool {
	if e.Kind == Tick || e.Kind == Cancelled {
		return false
	}
	return e.Part < 0 || e.Part >= len(r.parts) || e.Generation != r.parts[e.Part].generation
}

// timeoutError returns a refusal if the deadline or the reservation timeout has
// passed, else nil.
func (r *Run) timeoutError(now time.Time) *verdict.Error {
	if !now.Before(r.deadline) {
		return verdict.New(r.verdict(), verdict.DeadlineExceeded, "the answer came too late")
	}
	if !r.submitted && !now.Before(r.reserveBy) {
		return r.unavailable("the engines for this prompt are not free")
	}
	return nil
}

func (r *Run) unavailable(message string) *verdict.Error {
	return verdict.New(r.verdict(), verdict.SpanUnavailable, message).WithRetryAfter(RetryAfter)
}

// verdict returns NotRun until the first part is submitted, and Ran afterwards.
func (r *Run) verdict() verdict.Verdict {
	if r.submitted {
		return verdict.Ran
	}
	return verdict.NotRun
}

// end ends the run and frees every handle that may exist.
func (r *Run) end(refusal *verdict.Error) []Action {
	r.ended = true
	var actions []Action
	for i := range r.parts {
		if r.parts[i].state != waiting {
			actions = append(actions, r.action(Free, i))
		}
	}
	return append(actions, Action{Kind: End, Refusal: refusal})
}

func (r *Run) action(kind ActionKind, i int) Action {
	p := &r.parts[i]
	return Action{
		Kind:       kind,
		Part:       i,
		Generation: p.generation,
		Target:     p.engine.Target,
		Handle:     r.nameHandle(i, p.generation),
		From:       p.from,
		Tokens:     p.tokens,
	}
}
