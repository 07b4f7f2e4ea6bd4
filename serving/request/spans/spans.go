// Package spans executes the actions of the state machine in core/request/span:
// it reserves memory at several engines, prefills the parts of a prompt on them
// sequentially, and relays the answer from the last.
//
// One goroutine steps the state machine. Each engine has a worker goroutine
// that makes the calls to it in the order of the actions and posts their
// results as events. The stream of a part or of the answer is read in a
// separate goroutine and does not block later actions, so that Free can cancel
// it.
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

// FreeTimeout bounds the time taken to free a part. It applies instead of the
// deadline of the request, which may have ended already.
const FreeTimeout = 2 * time.Second

// Deps holds the dependencies of a span.
type Deps struct {
	// Engine returns a client of an engine.
	Engine func(t names.Target) (targetapi.Engine, error)
	// HandleID returns the handle ID for a generation of a part, StreamID
	// the stream ID.
	HandleID span.Namer
	StreamID func(part, generation int) target.StreamID
	// AnswerStarted is called with the engine and stream that begin the
	// answer, and again if another engine continues it.
	AnswerStarted func(names.Target, target.StreamID)
	// Token delivers the tokens of the answer in order. An error means that
	// the caller has disconnected.
	Token func(offset int, text string) error
}

// Run runs a planned span; spares are the engines that may replace a failed
// one. submit is the request as it would be sent to a single engine; its stream
// ID, prompt length, parts and handles are set for each engine. The error is a
// *verdict.Error.
func Run(ctx context.Context, deps Deps, plan span.Plan, spares []span.Engine, submit target.Submit) error {
	ctx, cancel := context.WithDeadline(ctx, submit.Deadline)
	defer cancel()
	r := &run{
		deps:    deps,
		submit:  submit,
		checker: attempt.New(submit.StartOffset),
		events:  make(chan span.Event, queueCapacity),
		queues:  make(map[names.Target]chan func()),
		calls:   make(map[partID]*partCall),
		ctx:     ctx,
	}
	defer r.close()
	return r.loop(plan, spares)
}

// queueCapacity is the capacity of the queue of events for the state machine,
// and of the queue of calls to each engine.
const queueCapacity = 64

// partID identifies a generation of a part.
type partID struct {
	number     int
	generation int
}

// partCall is the call in flight for a part.
type partCall struct {
	cancel context.CancelFunc
	// done is closed when the stream is no longer being read.
	done chan struct{}
}

type run struct {
	deps    Deps
	submit  target.Submit
	checker *attempt.Checker
	events  chan span.Event
	ctx     context.Context //nolint:containedctx // a run lives exactly as long as its request

	machine *span.Run
	queues  map[names.Target]chan func()
	workers sync.WaitGroup

	mu          sync.Mutex
	calls       map[partID]*partCall
	callerError *verdict.Error
	// finalMu is held from the start of a final call to the end of its
	// stream.
	finalMu sync.Mutex
}

func (r *run) loop(plan span.Plan, spares []span.Engine) error {
	ticker := time.NewTicker(span.TickInterval)
	defer ticker.Stop()
	machine, actions := span.Start(plan, spares, r.deps.HandleID, r.submit.Deadline, time.Now())
	r.machine = machine
	caller := r.ctx.Done()
	for {
		ended, err := r.execute(actions)
		if ended {
			return r.result(err)
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

// result returns the error of the run. An error of the delivery to the caller
// takes precedence over the refusal of the state machine.
func (r *run) result(refusal *verdict.Error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.callerError != nil {
		return r.callerError
	}
	if refusal == nil {
		return nil
	}
	return refusal
}

// execute starts the actions and reports whether the run has ended, and with
// which refusal.
func (r *run) execute(actions []span.Action) (bool, *verdict.Error) {
	for _, a := range actions {
		switch a.Kind {
		case span.Reserve:
			r.enqueue(a.Target, func() { r.reserve(a) })
		case span.SubmitPart:
			r.enqueue(a.Target, func() { r.openStream(a, r.partRequest(a), r.awaitPart) })
		case span.SubmitFinal:
			r.enqueue(a.Target, func() { r.openStream(a, r.finalRequest(a), r.relayAnswer) })
		case span.Free:
			r.enqueue(a.Target, func() { r.free(a) })
		case span.End:
			return true, a.Refusal
		}
	}
	return false, nil
}

// enqueue queues a call to an engine; the calls to one engine run sequentially.
func (r *run) enqueue(t names.Target, do func()) {
	queue, ok := r.queues[t]
	if !ok {
		queue = make(chan func(), queueCapacity)
		r.queues[t] = queue
		r.workers.Go(func() {
			for next := range queue {
				next()
			}
		})
	}
	queue <- do
}

// close waits until all queued calls, such as those that free handles, and all
// readers of streams have ended.
func (r *run) close() {
	for _, queue := range r.queues {
		close(queue)
	}
	go r.drainEvents()
	r.workers.Wait()
	close(r.events)
}

// drainEvents discards the events that are posted after the last step, so that
// no call blocks.
func (r *run) drainEvents() {
	for e := range r.events {
		_ = e // the run has ended and needs no more events
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

// partRequest returns the request that prefills a part and pins its KV blocks.
func (r *run) partRequest(a span.Action) target.Submit {
	s := r.finalRequest(a)
	s.PinHandle = a.Handle
	s.MaxTokens = 0
	s.Attempt = 1
	s.StartOffset = 0
	return s
}

// finalRequest returns the request for the last part, which generates the
// answer.
func (r *run) finalRequest(a span.Action) target.Submit {
	s := r.submit
	s.Stream = r.deps.StreamID(a.Part, a.Generation)
	s.PromptTokens = a.From + a.Tokens
	s.Parts = a.Parts
	s.Prefixes = nil
	s.Reservation = a.Handle
	return s
}

// openStream submits a part and starts read on its stream in a goroutine.
func (r *run) openStream(a span.Action, submit target.Submit, read func(span.Action, targetapi.Stream, *partCall)) {
	engine, err := r.deps.Engine(a.Target)
	if err != nil {
		r.post(span.Failed, a)
		return
	}
	ctx, cancel := context.WithCancel(r.ctx)
	c := &partCall{cancel: cancel, done: make(chan struct{})}
	r.mu.Lock()
	r.calls[partID{a.Part, a.Generation}] = c
	r.mu.Unlock()
	if submit.PinHandle == "" {
		r.finalMu.Lock()
		submit.Attempt, submit.StartOffset = r.checker.Begin()
	}
	stream, err := engine.Submit(ctx, submit)
	if err != nil {
		r.endCall(c, submit.PinHandle == "")
		r.post(span.Failed, a)
		return
	}
	r.workers.Go(func() {
		defer stream.Close() //nolint:errcheck // the frames already state how the stream ended
		read(a, stream, c)
	})
}

// endCall marks a call as ended. After a final call it lets the next one start,
// as only one final call may run at a time.
func (r *run) endCall(c *partCall, final bool) {
	close(c.done)
	if final {
		r.finalMu.Unlock()
	}
}

// awaitPart waits until a part is prefilled and pinned.
func (r *run) awaitPart(a span.Action, stream targetapi.Stream, c *partCall) {
	frame, err := stream.Next()
	r.endCall(c, false)
	if err != nil || !frame.End || frame.Failure != "" {
		r.post(span.Failed, a)
		return
	}
	r.post(span.PartDone, a)
}

// relayAnswer relays the answer to the caller.
func (r *run) relayAnswer(a span.Action, stream targetapi.Stream, c *partCall) {
	kind := r.deliver(a, stream)
	r.endCall(c, true)
	r.post(kind, a)
}

// deliver passes the tokens of a stream to the caller until the stream ends,
// and returns the resulting event.
func (r *run) deliver(a span.Action, stream targetapi.Stream) span.EventKind {
	r.deps.AnswerStarted(a.Target, r.deps.StreamID(a.Part, a.Generation))
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
			r.setCallerError(err)
			return span.Cancelled
		}
	}
}

func (r *run) setCallerError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.callerError = verdict.From(err).WithVerdict(verdict.Ran)
}

// free cancels the stream of a part and frees its handle. It may run for up to
// FreeTimeout after the request has ended.
func (r *run) free(a span.Action) {
	engine, err := r.deps.Engine(a.Target)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), FreeTimeout)
	defer cancel()
	if r.stopReading(a) {
		_ = engine.Cancel(ctx, r.deps.StreamID(a.Part, a.Generation)) // if it fails, the sweep of the keeper cancels the stream
	}
	_ = engine.Free(ctx, a.Handle) // if it fails, the sweep of the keeper frees the handle
}

// stopReading ends the reading of the stream of a part, and reports whether a
// stream was submitted.
func (r *run) stopReading(a span.Action) bool {
	r.mu.Lock()
	c, ok := r.calls[partID{a.Part, a.Generation}]
	r.mu.Unlock()
	if !ok {
		return false
	}
	c.cancel()
	<-c.done
	return true
}
