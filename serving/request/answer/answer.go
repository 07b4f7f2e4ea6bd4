// Package answer delivers one complete answer to a generation request across
// several attempts.
//
// When an engine's answer is cut, Run first resumes the stream at the same
// engine from the next missing token. If the engine no longer holds the stream,
// Run submits the prompt to another engine, starting at that token. Attempts
// are numbered and each frame is checked against its attempt's number, so that
// no token is lost, repeated or taken from another answer. An answer without an
// end frame is an error.
//
// An engine that refuses connections, or does not know the stream that it was
// running, has crashed. The prompt is then suspect and is isolated by the rules
// of core/process/crash. A connection timeout alone is no evidence of a crash.
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

// PlacementRequest describes the placement that an attempt needs.
type PlacementRequest struct {
	// From is the offset of the first token to generate.
	From int
	// Avoid lists the targets that failed this request, oldest failure first.
	Avoid []names.Target
	// Scope and Deadline are those of the request.
	Scope    string
	Deadline time.Time
	// Isolate requests an isolation target that runs nothing else. Place waits
	// until one is free.
	Isolate bool
}

// Placement is an engine on which an attempt may run.
type Placement struct {
	Target names.Target
	Engine targetapi.Engine
	// Release must be called once, when the placement is no longer used.
	Release func()
}

// Targets places attempts. Its errors are of type *verdict.Error with the
// verdict NotRun.
type Targets interface {
	Place(ctx context.Context, want PlacementRequest) (Placement, error)
}

// CrashRecord is the crash record of the request's prompt. Its methods are those
// of crash.Table for one digest; Status is Table.Check.
type CrashRecord interface {
	Status() crash.Status
	Crashed(alone bool) crash.Status
	Ended()
	Refusal() *verdict.Error
}

// Sink receives the answer's tokens in order, followed by the end frame. An
// error means that the caller has disconnected; the stream then stays at the
// engine until its deadline, so that the caller can resume it.
type Sink func(target.Frame) error

// Deps holds the dependencies of Run and Resume.
type Deps struct {
	Targets     Targets
	CrashRecord CrashRecord
	Retries     *retries.Retries
	// StallTimeout is the maximum time between two frames of an engine that
	// has begun its answer.
	StallTimeout time.Duration
	// Abandon schedules the cancellation of a stream that is no longer needed
	// at a target. It must not block.
	Abandon func(names.Target, targetapi.Engine, target.StreamID)
	// Started is called with each target that accepts the stream.
	Started func(names.Target)
}

// Run submits a generation and passes its tokens from submit.StartOffset on to
// sink. The deadline is submit.Deadline. Errors are of type *verdict.Error, with
// a verdict that covers all attempts.
func Run(ctx context.Context, deps Deps, submit target.Submit, sink Sink) error {
	return newRun(deps, submit, sink).runAttempts(ctx)
}

// Resume continues a stream that a target is expected to hold, for a caller
// that was served by another daemon or whose answer was cut. If the target has
// lost the stream and submit has a prompt, Resume submits the prompt to another
// target, from submit.StartOffset on. Without a prompt it returns an error; its
// reason is TargetCrashed if the target does not know the stream, or CrashSuspect
// if the prompt is refused.
func Resume(ctx context.Context, deps Deps, at Placement, submit target.Submit, sink Sink) error {
	r := newRun(deps, submit, sink)
	r.placement, r.placed, r.resume = at, true, true
	r.worstVerdict = verdict.Ran
	return r.runAttempts(ctx)
}

func newRun(deps Deps, submit target.Submit, sink Sink) *run {
	return &run{deps: deps, submit: submit, sink: sink, checker: attempt.New(submit.StartOffset)}
}
