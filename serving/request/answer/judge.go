package answer

import (
	"context"
	"syscall"

	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
)

// judge says what a failed attempt means for the next one, and returns the
// failure to be retried or to end the request.
func (r *run) judge(failure *verdict.Error) *verdict.Error {
	r.made++
	r.worst = max(r.worst, failure.Verdict)
	if r.step == placing && failure.Reason == verdict.NoTarget {
		r.avoid = nil // better a target that failed than none
	}
	switch {
	case r.step == placing, failure.Reason == verdict.CallerGone:
		return failure
	case r.crashSeen(failure):
		return r.crashed(failure)
	case r.holds(failure):
		r.resume = true
		return failure
	case r.submit.Prompt == "":
		r.moveOn() // no other engine can continue it: the caller may resume it once more
		return failure
	default:
		r.abandon()
		r.moveOn()
		return failure
	}
}

// crashSeen reports whether the engine has certainly died: it says so, does
// not know the stream that it ran, or has no process that listens.
func (r *run) crashSeen(failure *verdict.Error) bool {
	if failure.Reason == verdict.TargetCrashed {
		return true
	}
	if r.step != resuming {
		return false
	}
	return failure.Reason == verdict.StreamUnknown || errors.Is(failure, syscall.ECONNREFUSED)
}

// holds reports whether the engine may still hold the stream, so that it is
// worth resuming there: after a cut answer that had tokens, and after a submit
// whose outcome is unknown.
func (r *run) holds(failure *verdict.Error) bool {
	switch r.step {
	case submitting:
		return failure.Verdict != verdict.NotRun && failure.Reason != verdict.NoTarget
	case reading:
		return failure.Reason == verdict.AnswerCut && !r.resume
	case progressing:
		return failure.Reason == verdict.AnswerCut
	default:
		return false
	}
}

// crashed records the crash. The next attempt runs alone, if there is one.
func (r *run) crashed(failure *verdict.Error) *verdict.Error {
	alone := r.alone
	r.moveOn()
	r.worst = verdict.Ran
	if r.deps.Prompt.Crashed(alone) == crash.Refused {
		return r.deps.Prompt.Refusal()
	}
	return verdict.Wrap(failure, verdict.Ran, verdict.TargetCrashed, "the engine crashed")
}

// abandon gives up the stream at the present engine, which may still run it.
func (r *run) abandon() {
	if r.worst != verdict.NotRun {
		r.deps.Abandon(r.placement.Target, r.placement.Engine, r.submit.Stream)
	}
}

// moveOn leaves the present engine for another.
func (r *run) moveOn() {
	r.avoid = append(r.avoid, r.placement.Target)
	r.release()
	r.resume = false
}

func (r *run) release() {
	if r.placed {
		r.placement.Release()
	}
	r.placed, r.alone = false, false
}

// gone is the error of a request whose time or caller is gone.
func gone(ctx context.Context, failure *verdict.Error, worst verdict.Verdict) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(failure, worst, verdict.DeadlineExceeded, "the answer was not complete in time")
	}
	return verdict.Wrap(failure, worst, verdict.CallerGone, "the request was given up")
}
