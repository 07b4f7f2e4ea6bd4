// Package spans carries out core/request/span: it reserves memory at several
// engines, prefills a prompt's parts on them one after the other, and reads
// the answer from the last.
//
// One goroutine steps the machine; each call to an engine runs in a goroutine
// of its own and posts what became of it. Calls to one engine are made in the
// order of the actions. Reading a part's or the answer's stream does not hold
// up later actions, so that Free can cancel it.
package spans

import (
	"context"
	"sync"
	"time"

	"carobspoke.example/core/connection/attempt"
	"carobspoke.example/core/names"
	"carobspoke.example/core/request/span"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
)

// FreeTimeout bounds the freeing of a part after the request has ended.
const FreeTimeout = 2 * time.Second

// Deps is what a span needs.
type Deps struct {
	// Engine returns a client of an engine.
	Engine func(t names.Target) (targetapi.Engine, error)
	// Handle names the handle of a part's generation, Stream its stream.
	Handle span.Namer
	Stream func(part, generation int) target.StreamID
	// Started is told of the engine that begins the answer.
	Started func(names.Target, target.StreamID)
	// Token takes the answer's tokens in order. An error means that the
	// caller is gone.
	Token func(offset int, text string) error
}

// Run runs a planned span. submit is the request as for a single engine; its
// stream, prompt length, parts and handles are filled in for each engine. The
// error is a *verdict.Error.
func Run(ctx context.Context, deps Deps, plan span.Plan, spares []span.Engine, submit target.Submit) error {
	ctx, cancel := context.WithDeadline(ctx, submit.Deadline)
	defer cancel()
	r := &run{
		deps:    deps,
		submit:  submit,
		checker: attempt.New(submit.StartOffset),
		events:  make(chan span.Event, eventRoom),
		queues:  make(map[names.Target]chan func()),
		calls:   make(map[part]*call),
		ctx:     ctx,
	}
	defer r.close()
	return r.drive(plan, spares)
}

// eventRoom is how many events may wait for the machine.
const eventRoom = 64

// part is one generation of a part.
type part struct {
	number     int
	generation int
}

// call is what runs for a part.
type call struct {
	cancel context.CancelFunc
	// done is closed when the stream is no longer read.
	done chan struct{}
}

type run struct {
	deps    Deps
	submit  target.Submit
	checker *attempt.Checker
	events  chan span.Event
	ctx     context.Context //nolint:containedctx // a run lasts as long as its request

	machine *span.Run
	queues  map[names.Target]chan func()
	working sync.WaitGroup

	mu    sync.Mutex
	calls map[part]*call
	gone  *verdict.Error
	final sync.Mutex
}

func (r *run) drive(plan span.Plan, spares []span.Engine) error {
	ticker := time.NewTicker(span.TickInterval)
	defer ticker.Stop()
	machine, actions := span.Start(plan, spares, r.deps.Handle, r.submit.Deadline, time.Now())
	r.machine = machine
	caller := r.ctx.Done()
	for {
		ended, err := r.perform(actions)
		if ended {
			return r.verdictOf(err)
		}
		select {
		case e := <-r.events:
			actions = r.machine.Step(time.Now(), e)
		case <-ticker.C:
			actions = r.machine.Step(time.Now(), span.Event{Kind: span.Tick})
		case <-caller:
			caller = nil
			actions = r.machine.Step(time.Now(), span.Event{Kind: span.Cancelled})
		}
	}
}

// verdictOf prefers what the caller's side said over the machine's refusal.
func (r *run) verdictOf(refusal *verdict.Error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gone != nil {
		return r.gone
	}
	if refusal == nil {
		return nil
	}
	return refusal
}

// perform carries out actions, and reports whether the run has ended.
func (r *run) perform(actions []span.Action) (bool, *verdict.Error) {
	for _, a := range actions {
		switch a.Kind {
		case span.Reserve:
			r.enqueue(a.Target, func() { r.reserve(a) })
		case span.SubmitPart:
			r.enqueue(a.Target, func() { r.open(a, r.partSubmit(a), r.readPart) })
		case span.SubmitFinal:
			r.enqueue(a.Target, func() { r.open(a, r.finalSubmit(a), r.readAnswer) })
		case span.Free:
			r.enqueue(a.Target, func() { r.free(a) })
		case span.End:
			return true, a.Refusal
		}
	}
	return false, nil
}

// enqueue makes calls to one engine follow each other.
func (r *run) enqueue(t names.Target, do func()) {
	queue, ok := r.queues[t]
	if !ok {
		queue = make(chan func(), eventRoom)
		r.queues[t] = queue
		r.working.Go(func() {
			for next := range queue {
				next()
			}
		})
	}
	queue <- do
}

// close waits for the calls that were queued, such as those that free, and
// ends the reading of streams.
func (r *run) close() {
	for _, queue := range r.queues {
		close(queue)
	}
	go r.discard()
	r.working.Wait()
	close(r.events)
}

// discard takes events that nobody steps any more.
func (r *run) discard() {
	for e := range r.events {
		_ = e // the run has ended
	}
}

func (r *run) post(kind span.EventKind, a span.Action) {
	r.events <- span.Event{Kind: kind, Part: a.Part, Generation: a.Generation}
}

func (r *run) reserve(a span.Action) {
	engine, err := r.deps.Engine(a.Target)
	if err != nil {
		r.post(span.Failed, a)
		return
	}
	err = engine.Reserve(r.ctx, target.Reservation{Handle: a.Handle, Scope: r.submit.Scope, Tokens: a.Tokens})
	switch {
	case err == nil:
		r.post(span.Reserved, a)
	case verdict.From(err).Reason == verdict.TargetRefused:
		r.post(span.Busy, a)
	default:
		r.post(span.Failed, a)
	}
}

// partSubmit is the request for a part that is prefilled and held.
func (r *run) partSubmit(a span.Action) target.Submit {
	s := r.finalSubmit(a)
	s.PinHandle = a.Handle
	s.MaxTokens = 0
	s.Attempt = 1
	s.StartOffset = 0
	return s
}

// finalSubmit is the request for the last part, which generates.
func (r *run) finalSubmit(a span.Action) target.Submit {
	s := r.submit
	s.Stream = r.deps.Stream(a.Part, a.Generation)
	s.PromptTokens = a.From + a.Tokens
	s.Parts = a.Parts
	s.Prefixes = nil
	s.Reservation = a.Handle
	return s
}

// open submits a part and lets read take its stream.
func (r *run) open(a span.Action, submit target.Submit, read func(span.Action, targetapi.Stream, *call)) {
	engine, err := r.deps.Engine(a.Target)
	if err != nil {
		r.post(span.Failed, a)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	c := &call{cancel: cancel, done: make(chan struct{})}
	r.mu.Lock()
	r.calls[part{a.Part, a.Generation}] = c
	r.mu.Unlock()
	if submit.PinHandle == "" {
		r.final.Lock()
		submit.Attempt, submit.StartOffset = r.checker.Begin()
	}
	stream, err := engine.Submit(ctx, submit)
	if err != nil {
		r.endCall(c, submit.PinHandle == "")
		r.post(span.Failed, a)
		return
	}
	r.working.Go(func() {
		defer stream.Close() //nolint:errcheck // the frames say how it ended
		read(a, stream, c)
	})
}

// endCall marks a call as over; final calls take turns.
func (r *run) endCall(c *call, final bool) {
	close(c.done)
	if final {
		r.final.Unlock()
	}
}

// readPart waits until a part is held.
func (r *run) readPart(a span.Action, stream targetapi.Stream, c *call) {
	frame, err := stream.Next()
	r.endCall(c, false)
	if err != nil || !frame.End || frame.Failure != "" {
		r.post(span.Failed, a)
		return
	}
	r.post(span.PartDone, a)
}

// readAnswer passes the answer on.
func (r *run) readAnswer(a span.Action, stream targetapi.Stream, c *call) {
	kind := r.relay(a, stream)
	r.endCall(c, true)
	r.post(kind, a)
}

func (r *run) relay(a span.Action, stream targetapi.Stream) span.EventKind {
	r.deps.Started(a.Target, r.deps.Stream(a.Part, a.Generation))
	for {
		frame, err := stream.Next()
		if err != nil {
			return span.Failed
		}
		action, err := r.checker.Accept(frame)
		if err != nil {
			return span.Failed
		}
		if action == attempt.Finish {
			return span.Answered
		}
		if action == attempt.Discard {
			continue
		}
		if err := r.deps.Token(frame.Offset, frame.Text); err != nil {
			r.callerGone(err)
			return span.Cancelled
		}
	}
}

func (r *run) callerGone(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gone = verdict.From(err).WithVerdict(verdict.Ran)
}

// free cancels a part's stream and frees its handle. It goes on after the
// request has ended, for a while.
func (r *run) free(a span.Action) {
	engine, err := r.deps.Engine(a.Target)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), FreeTimeout)
	defer cancel()
	if r.stopCall(a) {
		_ = engine.Cancel(ctx, r.deps.Stream(a.Part, a.Generation)) // the sweep frees what is left
	}
	_ = engine.Free(ctx, a.Handle) // the same
}

// stopCall ends the reading of a part's stream, and reports whether there was
// one.
func (r *run) stopCall(a span.Action) bool {
	r.mu.Lock()
	c, ok := r.calls[part{a.Part, a.Generation}]
	r.mu.Unlock()
	if !ok {
		return false
	}
	c.cancel()
	<-c.done
	return true
}
