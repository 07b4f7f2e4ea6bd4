// Package answer gives a caller one whole answer to a generation, however many
// attempts it takes.
//
// When an engine's answer breaks off, Run first resumes the stream at the same
// engine from the token that is wanted next. If the engine no longer holds it,
// Run submits the prompt to another engine, from that token on. Each attempt
// has a number and the frames are checked against it, so that no token is lost,
// repeated or taken from another answer, and an answer without its end is an
// error.
//
// An engine that refuses connections, or does not know the stream that it was
// running, has died: the prompt is then suspect and runs on alone, as
// core/process/crash says. A connection that only times out proves no crash.
package answer

import (
	"context"
	"time"

	"carobspoke.example/core/connection/attempt"
	"carobspoke.example/core/names"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/retries"
)

// Want says what a placement is for.
type Want struct {
	// From is the offset of the first token wanted.
	From int
	// Avoid are the targets that failed this request, oldest first.
	Avoid []names.Target
	// Scope and Deadline are those of the request.
	Scope    string
	Deadline time.Time
	// Isolate asks for an isolation target with nothing else on it. Place
	// waits until there is one.
	Isolate bool
}

// Placement is an engine to run an attempt at.
type Placement struct {
	Target names.Target
	Engine targetapi.Engine
	// Release is called once when the placement is no longer used.
	Release func()
}

// Targets places attempts. Its errors are *verdict.Error with NotRun.
type Targets interface {
	Place(ctx context.Context, want Want) (Placement, error)
}

// Prompt is what is held against the request's prompt. See crash.Table.
type Prompt interface {
	Standing() crash.Status
	Crashed(alone bool) crash.Status
	Ended()
	Refusal() *verdict.Error
}

// Sink takes the answer's tokens in order, and at last the end frame. An error
// means that the caller is gone; the stream then stays at the engine until its
// deadline, for the caller to resume it.
type Sink func(target.Frame) error

// Deps is what Run needs.
type Deps struct {
	Targets Targets
	Prompt  Prompt
	Retries *retries.Retries
	// Stall is how long an engine that has begun its answer may be silent.
	Stall time.Duration
	// Abandon is told of streams that are no longer wanted at a target, which
	// should be cancelled there. It does not block.
	Abandon func(names.Target, targetapi.Engine, target.StreamID)
	// Started is told of each target that begins to run the stream.
	Started func(names.Target)
}

// Run submits a generation and passes its tokens from submit.From on to sink.
// The deadline is submit.Deadline. The error is a *verdict.Error whose verdict
// covers all attempts.
func Run(ctx context.Context, deps Deps, submit target.Submit, sink Sink) error {
	return newRun(deps, submit, sink).finish(ctx)
}

// Resume continues a stream that a target is thought to hold, on behalf of a
// caller that was served by another daemon. If the target has lost the stream
// and submit has a prompt, the prompt is run anew from submit.From; without a
// prompt the error is StreamUnknown.
func Resume(ctx context.Context, deps Deps, at Placement, submit target.Submit, sink Sink) error {
	r := newRun(deps, submit, sink)
	r.placement, r.placed, r.resume = at, true, true
	r.worst = verdict.Ran
	return r.finish(ctx)
}

func newRun(deps Deps, submit target.Submit, sink Sink) *run {
	return &run{deps: deps, submit: submit, sink: sink, checker: attempt.New(submit.StartOffset)}
}
