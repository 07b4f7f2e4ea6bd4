// Package span runs a prompt that is over the memory of one engine on several.
//
// The prompt is cut into parts. Each engine prefills its part, reading the
// earlier parts from the engines that hold them, and keeps its KV blocks pinned
// under a handle. The engine of the last part then generates, reading all
// others. Parts are prefilled one after the other, since each depends on those
// before it.
//
// # Reservations
//
// Before the first part starts, memory for all parts is reserved, or none is.
// Engines are asked one after the other in the order of their names, which is
// the same for every span of the fleet. A span that finds an engine busy waits
// there, holding only engines of lower names: a circle of spans that wait for
// each other would need one that waits for a lower name than it holds. The wait
// is bounded by ReserveTimeout besides, after which all is freed and the
// request refused as not run.
//
// # Failures
//
// When an engine fails, the parts of the others are kept, and only its own part
// is prefilled again, on a spare engine. Spares are asked in turn for at most
// ReplaceTimeout, since the order of names does not hold for them. Late answers of an earlier
// generation of a part are discarded. Whatever the end, every handle that may
// exist is freed; if the daemon dies, the deadline in the handles' names lets
// others free them.
//
// # Contract
//
// Run is a pure state machine: the shell carries out the actions of each Step
// and reports what became of them. Every Reserve is answered by Reserved, Busy
// or Failed, every SubmitPart by PartDone or Failed, and SubmitFinal by
// Answered or Failed. Failed may also come for a part that is reserved or
// pinned, when the shell learns that its engine is gone. Actions for one engine
// are carried out in their order. When SubmitFinal comes again, the shell asks
// for the tokens that were not yet delivered. The last action of a run is End;
// steps after it return nothing. A shell must call Step with Tick at least every
// TickInterval.
package span

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Limits of a span.
const (
	// ReserveTimeout bounds the time until all parts are reserved.
	ReserveTimeout = 5 * time.Second
	// ReplaceTimeout bounds the time until a spare has taken the place of a
	// failed engine.
	ReplaceTimeout = 10 * time.Second
	// TickInterval is the time between two ticks, and between two tries of
	// a reservation at a busy engine.
	TickInterval = 100 * time.Millisecond
	// MaxReplacements bounds the engines that one span may lose.
	MaxReplacements = 3
	// RetryAfter is when a refused caller should come back.
	RetryAfter = 10 * time.Second
)

// EventKind says what happened.
type EventKind uint8

// Kinds of events.
const (
	// Tick only tells the time.
	Tick EventKind = iota
	// Reserved means that the engine has set memory aside.
	Reserved
	// Busy means that the engine has no memory now.
	Busy
	// PartDone means that a part is prefilled and pinned.
	PartDone
	// Answered means that the whole answer was received.
	Answered
	// Failed means that the engine of the part failed or cannot be reached.
	Failed
	// Cancelled means that the caller left or the daemon stops.
	Cancelled
)

// Event is what a step takes in.
type Event struct {
	Kind EventKind
	// Part and Generation are those of the action that the event answers.
	Part       int
	Generation int
}

// ActionKind says what the shell must do.
type ActionKind uint8

// Kinds of actions.
const (
	// Reserve sets memory for Tokens aside under Handle.
	Reserve ActionKind = iota
	// SubmitPart prefills a part into its reservation.
	SubmitPart
	// SubmitFinal prefills the last part, in place of its reservation, and
	// generates.
	SubmitFinal
	// Free frees a handle, and cancels the part's stream if there is one.
	Free
	// End ends the run. Refusal is nil after a whole answer.
	End
)

// Action is what the shell must do.
type Action struct {
	Kind       ActionKind
	Part       int
	Generation int
	Target     names.Target
	Handle     target.HandleID
	// From and Tokens say which tokens of the prompt are meant. For the
	// Reserve of the last part, Tokens contains the answer.
	From   int
	Tokens int
	// Parts are the earlier parts, for SubmitPart and SubmitFinal.
	Parts   []target.Part
	Refusal *verdict.Error
}

// Namer names the handle of a part's generation. It must be pure, and its names
// unique across the fleet.
type Namer func(part, generation int) target.HandleID

// state is how far a part is.
type state uint8

const (
	waiting   state = iota // not asked for
	reserving              // asked for
	reserved               // memory is set aside
	running                // submitted
	pinned                 // prefilled and held
)

// part is one part of the prompt at one engine.
type part struct {
	engine     Engine
	from       int
	tokens     int
	generation int
	state      state
	retryAt    time.Time
}

// Run is one span. It is not safe for concurrent use.
type Run struct {
	plan         Plan
	name         Namer
	parts        []part
	order        []int // parts in the order of their engines' names
	spares       []Engine
	replacements int
	replaceBy    time.Time
	reserveBy    time.Time
	deadline     time.Time
	submitted    bool
	ended        bool
}

// Start returns a run of a plan and its first actions. Spares are engines that
// may take over, best first.
func Start(p Plan, spares []Engine, name Namer, deadline, now time.Time) (*Run, []Action) {
	r := &Run{
		plan:      p,
		name:      name,
		spares:    spares,
		reserveBy: now.Add(ReserveTimeout),
		deadline:  deadline,
	}
	from := 0
	for _, a := range p.Parts {
		r.parts = append(r.parts, part{engine: a.Engine, from: from, tokens: a.Tokens})
		from += a.Tokens
	}
	r.order = byName(r.parts)
	return r, r.advance(now)
}

// Step takes in an event and returns what to do next.
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
		return r.busy(now, e.Part)
	case Failed:
		return r.failed(now, e.Part)
	case Tick:
	}
	if refusal := r.overdue(now); refusal != nil {
		return r.end(refusal)
	}
	return r.advance(now)
}

// stale reports whether an event answers an action that was given up.
func (r *Run) stale(e Event) bool {
	if e.Kind == Tick || e.Kind == Cancelled {
		return false
	}
	return e.Part < 0 || e.Part >= len(r.parts) || e.Generation != r.parts[e.Part].generation
}

func (r *Run) overdue(now time.Time) *verdict.Error {
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

// verdict is NotRun until the first part was submitted.
func (r *Run) verdict() verdict.Verdict {
	if r.submitted {
		return verdict.Ran
	}
	return verdict.NotRun
}

// end frees all that may be held.
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
		Handle:     r.name(i, p.generation),
		From:       p.from,
		Tokens:     p.tokens,
	}
}
