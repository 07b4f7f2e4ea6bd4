// Package dispatch runs generations: at a target that this daemon keeps, or,
// if it keeps none of the model's, through one relay daemon that does.
//
// A generation holds the manifest version under which it was admitted from
// its first attempt to its last. Attempts at targets are repeated in package
// answer only, and forwarding is repeated here only, for failures between
// daemons; both draw on one budget.
package dispatch

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/process/keeping"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/request/ticket"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/answer"
	"carobspoke.example/serving/request/forward"
	"carobspoke.example/serving/request/gateway"
	"carobspoke.example/serving/request/retries"
	"carobspoke.example/serving/version"
)

// StallLimit is how long an engine that has begun its answer may be silent
// before its stream is taken up anew.
const StallLimit = 5 * time.Second

// View is the manifest version that a request was admitted under.
type View = version.Snapshot

// Engines gives access to targets by their entries in a manifest.
type Engines interface {
	Engine(address string) targetapi.Engine
}

// Quota admits a customer's tokens.
type Quota interface {
	// Admit takes tokens from the customer's quota, or returns a
	// *verdict.Error with NotRun and the time to come back.
	Admit(ctx context.Context, customer names.Customer, tokens int) error
}

// Relays names daemons that keep targets of a model.
type Relays interface {
	// Keeps reports whether this daemon keeps a target of the model.
	Keeps(model names.Model) bool
	// Pick returns a daemon that keeps one, none of those in avoid.
	Pick(model names.Model, avoid []names.Host) (names.Host, bool)
	// Failed says that a daemon did not serve as a relay, so that others are
	// preferred for a while.
	Failed(host names.Host)
}

// Dispatcher runs generations. Its methods are safe for concurrent use.
type Dispatcher struct {
	Host        names.Host
	Incarnation names.Incarnation
	Versions    *version.Holder
	Admitter    *Admitter
	Engines     Engines
	Quota       Quota
	Relays      Relays
	Forward     *forward.Client
	Retries     *retries.Retries
	Crashes     *answer.Crashes
	// Alone keeps suspects apart at isolation targets.
	Alone     *answer.Alone
	Tickets   *ticket.Keyring
	Abandoned *Abandoned
	// Spans says how prompts over one engine's memory are run.
	Spans Spans
	// Ready returns nil if the daemon takes new requests.
	Ready func() error

	active active
}

var (
	_ gateway.Runner = (*Dispatcher)(nil)
	_ forward.Runner = (*Dispatcher)(nil)
)

// Run implements gateway.Runner.
func (d *Dispatcher) Run(ctx context.Context, g gateway.Generation, sink gateway.Sink) error {
	view := d.Versions.Current()
	if view == nil {
		return notReady
	}
	if g.Ticket != "" {
		return d.resume(ctx, view, g, sink)
	}
	return d.start(ctx, view, g, sink)
}

var notReady = verdict.New(verdict.NotRun, verdict.NotReady, "no manifest is in force yet").WithRetryAfter(time.Second)

// start runs a new generation.
func (d *Dispatcher) start(ctx context.Context, view *View, g gateway.Generation, sink gateway.Sink) error {
	if err := d.Ready(); err != nil {
		return err
	}
	if err := d.Quota.Admit(ctx, g.Facts.Customer, g.Facts.PromptTokens+g.Facts.MaxTokens); err != nil {
		return err
	}
	d.Retries.RecordFirstAttempt()
	name := d.newStream(g.Facts.Customer, g.Facts.Deadline)
	out := &ticketSink{d: d, sink: sink, request: g.Facts, stream: name}
	r := forward.Request{
		Facts: g.Facts, Prompt: g.Prompt, Stream: name, Version: view.Version(),
		Digest: crash.DigestOf(g.Facts.Customer, g.Facts.Model, g.Facts.Adapter, g.Prompt),
	}
	out.digest = r.Digest
	if !d.Relays.Keeps(g.Facts.Model) {
		return d.relay(ctx, r, out)
	}
	return d.local(ctx, view, r, out)
}

// resume continues a stream that a caller has a ticket for. The target is
// reached directly, whoever keeps it.
func (d *Dispatcher) resume(ctx context.Context, view *View, g gateway.Generation, sink gateway.Sink) error {
	held, err := d.Tickets.OpenStream(g.Ticket, g.Facts.Customer, time.Now())
	if err != nil {
		return err
	}
	request := g.Facts
	request.Model = held.Model
	if held.Deadline.Before(request.Deadline) {
		request.Deadline = held.Deadline
	}
	digest, err := crash.ParseDigest(string(held.Prompt))
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.TicketInvalid, "the ticket is not valid")
	}
	out := &ticketSink{d: d, sink: sink, request: request, stream: held.Stream, digest: digest}
	placement, err := d.held(view, held.Target)
	if err != nil {
		return err
	}
	r := forward.Request{Facts: request, Stream: held.Stream, Target: held.Target, Digest: digest}
	out.SetTarget(held.Target)
	return answer.Resume(ctx, d.deps(d.placing(view, r), r, out), placement, d.submit(r), frames(out))
}

// Cancel implements gateway.Runner.
func (d *Dispatcher) Cancel(ctx context.Context, customer names.Customer, text string) error {
	held, err := d.Tickets.OpenStream(text, customer, time.Now())
	if err != nil {
		return err
	}
	view := d.Versions.Current()
	if view == nil {
		return notReady
	}
	engine, err := d.engine(view, held.Target)
	if err != nil {
		return err
	}
	return engine.Cancel(ctx, held.Stream)
}

// RunForwarded implements forward.Runner.
func (d *Dispatcher) RunForwarded(ctx context.Context, r forward.Request, sink forward.Sink) error {
	view := d.Versions.Current()
	if view == nil {
		return notReady
	}
	if err := d.Ready(); err != nil {
		return err
	}
	if !r.Resume {
		return d.local(ctx, view, r, sink)
	}
	placement, err := d.held(view, r.Target)
	if err != nil {
		return err
	}
	return answer.Resume(ctx, d.deps(d.placing(view, r), r, sink), placement, d.submit(r), frames(sink))
}

// local runs a generation at targets that this daemon keeps.
func (d *Dispatcher) local(ctx context.Context, view *View, r forward.Request, sink forward.Sink) error {
	placing := d.placing(view, r)
	err := answer.Run(ctx, d.deps(placing, r, sink), d.submit(r), frames(sink))
	if placing.spanning {
		return d.span(ctx, view, r, sink)
	}
	return err
}

// newStream names a stream that is wanted until a deadline.
func (d *Dispatcher) newStream(c names.Customer, deadline time.Time) target.StreamID {
	return keeping.NewStreamID(string(c), d.Host, d.Incarnation, deadline, mathrand.Uint64())
}

func (d *Dispatcher) placing(view *View, r forward.Request) *placing {
	return &placing{d: d, view: view, request: r.Facts, bytes: len(r.Prompt), share: share(view, r.Facts.Customer)}
}

func (d *Dispatcher) deps(targets answer.Targets, r forward.Request, sink forward.Sink) answer.Deps {
	return answer.Deps{
		Targets: d.Alone.Wrap(targets),
		Prompt:  d.Crashes.Prompt(r.Digest),
		Retries: d.Retries,
		Stall:   StallLimit,
		Abandon: d.Abandoned.Add,
		Started: sink.SetTarget,
	}
}

func (d *Dispatcher) submit(r forward.Request) target.Submit {
	return target.Submit{
		Stream:       r.Stream,
		Scope:        string(r.Facts.Customer),
		Model:        r.Facts.Model,
		Adapter:      r.Facts.Adapter,
		PromptTokens: r.Facts.PromptTokens,
		Prompt:       r.Prompt,
		Prefixes:     r.Facts.Prefixes,
		MaxTokens:    r.Facts.MaxTokens,
		Deadline:     r.Facts.Deadline,
		StartOffset:  r.Facts.DeliveredTokens,
	}
}

// engine returns a target by its entry in a version. A target that the
// version no longer names cannot be reached through it.
func (d *Dispatcher) engine(view *View, name names.Target) (targetapi.Engine, error) {
	entry, ok := view.Index.Target(name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.NoTarget, "the target has left the fleet")
	}
	return d.Engines.Engine(entry.Address), nil
}

func share(view *View, customer names.Customer) float64 {
	if entry, ok := view.Index.Customer(customer); ok {
		return entry.Share
	}
	return 1
}

// frames passes an answer's frames to a sink.
func frames(sink forward.Sink) answer.Sink {
	return func(f target.Frame) error {
		if f.End {
			return nil
		}
		return sink.Token(f.Offset, f.Text)
	}
}

// ticketSink gives the caller a new ticket whenever its stream moves.
type ticketSink struct {
	d       *Dispatcher
	sink    gateway.Sink
	request facts.Request
	stream  target.StreamID
	digest  crash.Digest
	// next is the number of the next token, and at the newest target.
	next int
	at   names.Target
}

// SetTarget implements forward.Sink.
func (s *ticketSink) SetTarget(t names.Target) {
	s.at = t
	sealed, err := s.d.Tickets.SealStream(ticket.Stream{
		Customer: s.request.Customer,
		Model:    s.request.Model,
		Target:   t,
		Stream:   s.stream,
		Deadline: s.request.Deadline,
		Prompt:   names.Digest(s.digest.String()),
	}, rand.Reader)
	if err == nil {
		s.sink.SetTicket(sealed)
	}
}

// moved implements streamMover.
func (s *ticketSink) moved(id target.StreamID) { s.stream = id }

// Token implements forward.Sink.
func (s *ticketSink) Token(offset int, text string) error {
	s.next = offset + 1
	return s.sink.Token(offset, text)
}
