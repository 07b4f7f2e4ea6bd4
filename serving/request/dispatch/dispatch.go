// Package dispatch runs generations: at a target that this daemon keeps or, if it
// keeps no target of the model, through one relay daemon that does.
//
// All attempts of a generation use the manifest version under which it was
// admitted. Attempts at targets are retried only in package answer. Forwarding
// is retried only here, after failures between daemons. Both use the same retry
// budget.
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

// StallTimeout is the maximum time between two frames of an engine that has begun
// its answer. After that the attempt is cancelled and another one continues the
// answer.
const StallTimeout = 5 * time.Second

// ManifestState is the manifest version under which a request was admitted.
type ManifestState = version.Snapshot

// Engines returns clients of engines.
type Engines interface {
	// Engine returns a client of the engine with the given address in the
	// manifest.
	Engine(address string) targetapi.Engine
}

// Quota enforces the token quotas of customers.
type Quota interface {
	// Admit takes tokens from the customer's quota, or returns a
	// *verdict.Error with the verdict NotRun and a retry delay.
	Admit(ctx context.Context, customer names.Customer, tokens int) error
}

// Relays selects daemons that keep targets of a model.
type Relays interface {
	// Keeps reports whether this daemon keeps a target of the model.
	Keeps(model names.Model) bool
	// Pick returns a daemon that keeps a target of the model and is not in
	// avoid.
	Pick(model names.Model, avoid []names.Host) (names.Host, bool)
	// Failed records that a daemon failed as a relay, so that Pick prefers
	// others for a while.
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
	Crashes     *answer.CrashTable
	// Isolator isolates suspect prompts.
	Isolator     *answer.Isolator
	Tickets      *ticket.Keyring
	AbandonQueue *AbandonQueue
	// SpanLimits limits prompts that exceed the memory of one engine.
	SpanLimits SpanLimits
	// Ready returns nil if the daemon accepts new requests.
	Ready func() error

	active activePlacements
}

var (
	_ gateway.Runner = (*Dispatcher)(nil)
	_ forward.Runner = (*Dispatcher)(nil)
)

// Run implements gateway.Runner.
func (d *Dispatcher) Run(ctx context.Context, g gateway.Generation, sink gateway.Sink) error {
	manifest := d.Versions.Current()
	if manifest == nil {
		return errNotReady
	}
	if g.Ticket != "" {
		return d.resume(ctx, manifest, g, sink)
	}
	return d.start(ctx, manifest, g, sink)
}

var errNotReady = verdict.New(verdict.NotRun, verdict.NotReady, "no manifest is in force yet").WithRetryAfter(time.Second)

// start runs a new generation.
func (d *Dispatcher) start(ctx context.Context, manifest *ManifestState, g gateway.Generation, sink gateway.Sink) error {
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
		Facts: g.Facts, Prompt: g.Prompt, Stream: name, Version: manifest.Version(),
		Digest: crash.DigestOf(g.Facts.Customer, g.Facts.Model, g.Facts.Adapter, g.Prompt),
	}
	out.digest = r.Digest
	if !d.Relays.Keeps(g.Facts.Model) {
		return d.relay(ctx, r, out)
	}
	return d.local(ctx, manifest, r, out)
}

// resume continues a stream for which the caller has a ticket. It connects to
// the target directly, even if another daemon keeps it.
func (d *Dispatcher) resume(ctx context.Context, manifest *ManifestState, g gateway.Generation, sink gateway.Sink) error {
	opened, err := d.Tickets.OpenStream(g.Ticket, g.Facts.Customer, time.Now())
	if err != nil {
		return err
	}
	request := g.Facts
	request.Model = opened.Model
	if opened.Deadline.Before(request.Deadline) {
		request.Deadline = opened.Deadline
	}
	digest, err := crash.ParseDigest(string(opened.Prompt))
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.TicketInvalid, "the ticket is not valid")
	}
	out := &ticketSink{d: d, sink: sink, request: request, stream: opened.Stream, digest: digest}
	placement, err := d.heldPlacement(manifest, opened.Target)
	if err != nil {
		return err
	}
	r := forward.Request{Facts: request, Stream: opened.Stream, Target: opened.Target, Digest: digest}
	out.SetTarget(opened.Target)
	return answer.Resume(ctx, d.deps(d.newPlacer(manifest, r), r, out), placement, d.submit(r), frames(out))
}

// Cancel implements gateway.Runner.
func (d *Dispatcher) Cancel(ctx context.Context, customer names.Customer, text string) error {
	opened, err := d.Tickets.OpenStream(text, customer, time.Now())
	if err != nil {
		return err
	}
	manifest := d.Versions.Current()
	if manifest == nil {
		return errNotReady
	}
	engine, err := d.engine(manifest, opened.Target)
	if err != nil {
		return err
	}
	return engine.Cancel(ctx, opened.Stream)
}

// RunForwarded implements forward.Runner.
func (d *Dispatcher) RunForwarded(ctx context.Context, r forward.Request, sink forward.Sink) error {
	manifest := d.Versions.Current()
	if manifest == nil {
		return errNotReady
	}
	if err := d.Ready(); err != nil {
		return err
	}
	if !r.Resume {
		return d.local(ctx, manifest, r, sink)
	}
	placement, err := d.heldPlacement(manifest, r.Target)
	if err != nil {
		return err
	}
	return answer.Resume(ctx, d.deps(d.newPlacer(manifest, r), r, sink), placement, d.submit(r), frames(sink))
}

// local runs a generation at targets that this daemon keeps.
func (d *Dispatcher) local(ctx context.Context, manifest *ManifestState, r forward.Request, sink forward.Sink) error {
	placer := d.newPlacer(manifest, r)
	err := answer.Run(ctx, d.deps(placer, r, sink), d.submit(r), frames(sink))
	if placer.needsSpan {
		return d.runSpan(ctx, manifest, r, sink)
	}
	return err
}

// newStream returns the ID of a new stream that is needed until a deadline.
func (d *Dispatcher) newStream(c names.Customer, deadline time.Time) target.StreamID {
	return keeping.NewStreamID(string(c), d.Host, d.Incarnation, deadline, mathrand.Uint64())
}

func (d *Dispatcher) newPlacer(manifest *ManifestState, r forward.Request) *placer {
	return &placer{d: d, manifest: manifest, request: r.Facts, bytes: len(r.Prompt), share: share(manifest, r.Facts.Customer)}
}

func (d *Dispatcher) deps(targets answer.Targets, r forward.Request, sink forward.Sink) answer.Deps {
	return answer.Deps{
		Targets:      d.Isolator.Wrap(targets),
		CrashRecord:  d.Crashes.Record(r.Digest),
		Retries:      d.Retries,
		StallTimeout: StallTimeout,
		Abandon:      d.AbandonQueue.Add,
		Started:      sink.SetTarget,
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

// engine returns a client of the target, or an error if the manifest no longer
// lists it.
func (d *Dispatcher) engine(manifest *ManifestState, name names.Target) (targetapi.Engine, error) {
	entry, ok := manifest.Index.Target(name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.NoTarget, "the target has left the fleet")
	}
	return d.Engines.Engine(entry.Address), nil
}

func share(manifest *ManifestState, customer names.Customer) float64 {
	if entry, ok := manifest.Index.Customer(customer); ok {
		return entry.Share
	}
	return 1
}

// frames returns an answer.Sink that passes the tokens to sink and drops the end
// frame.
func frames(sink forward.Sink) answer.Sink {
	return func(f target.Frame) error {
		if f.End {
			return nil
		}
		return sink.Token(f.Offset, f.Text)
	}
}

// ticketSink sends the caller a new ticket each time a target starts to run the
// stream.
type ticketSink struct {
	d       *Dispatcher
	sink    gateway.Sink
	request facts.Request
	stream  target.StreamID
	digest  crash.Digest
	// nextOffset is the offset of the next token.
	nextOffset int
	// lastTarget is the target that most recently started to run the stream.
	lastTarget names.Target
}

// SetTarget implements forward.Sink.
func (s *ticketSink) SetTarget(t names.Target) {
	s.lastTarget = t
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

// setStream implements streamSetter.
func (s *ticketSink) setStream(id target.StreamID) { s.stream = id }

// Token implements forward.Sink.
func (s *ticketSink) Token(offset int, text string) error {
	s.nextOffset = offset + 1
	return s.sink.Token(offset, text)
}
