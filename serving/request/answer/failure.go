package answer

import (
	"context"
	"syscall"

	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
)

// handleFailure prepares the next attempt after a failed one: it resumes the
// stream at the same engine or leaves the engine. It returns the failure to
// retry or to end the request with.
func (r *run) handleFailure(failure *verdict.Error) *verdict.Error {
	r.attempts++
	r.worstVerdict = max(r.worstVerdict, failure.Verdict)
	if r.phase == placing && failure.Reason == verdict.NoTarget {
		r.avoid = nil // no other target is available, so allow those that failed
	}
	switch {
	case r.phase == placing, failure.Reason == verdict.CallerGone:
		return failure
	case r.engineCrashed(failure):
		return r.recordCrash(failure)
	case r.mayHoldStream(failure):
		r.resume = true
		return failure
	case r.submit.Prompt == "":
		r.leaveTarget() // without a prompt no other engine can continue; the caller may resume the stream again
		return failure
	default:
		r.abandon()
		r.leaveTarget()
		return failure
	}
}

// engineCrashed reports whether the failure proves that the engine crashed: the
// reason is TargetCrashed, or on a resume the engine does not know the stream or
// refuses the connection, which means that no process listens.
func (r *run) engineCrashed(failure *verdict.Error) bool {
	if failure.Reason == verdict.TargetCrashed {
		return true
	}
	if r.phase != resuming {
		return false
	}
	return failure.Reason == verdict.StreamUnknown || errors.Is(failure, syscall.ECONNREFUSED)
}

// mayHoldStream reports whether the engine may still hold the stream, so that
// the next attempt resumes it there: after a submit whose outcome is unknown, and
// after a cut answer, unless the attempt was a resume that delivered no token.
func (r *run) mayHoldStream(failure *verdict.Error) bool {
	switch r.phase {
	case submitting:
		return failure.Verdict != verdict.NotRun && failure.Reason != verdict.NoTarget
	case opened:
		return failure.Reason == verdict.AnswerCut && !r.resume
	case delivering:
		return failure.Reason == verdict.AnswerCut
	default:
		return false
	}
}

// recordCrash records a crash of the engine that ran the prompt. The next
// attempt is isolated, unless the prompt is now refused.
func (r *run) recordCrash(failure *verdict.Error) *verdict.Error {
	isolated := r.isolated
	r.leaveTarget()
	r.worstVerdict = verdict.Ran
	if r.deps.CrashRecord.Crashed(isolated) == crash.Refused {
		return r.deps.CrashRecord.Refusal()
	}
	return verdict.Wrap(failure, verdict.Ran, verdict.TargetCrashed, "the engine crashed")
}

// abandon has the stream cancelled at the current engine if it may still run
// there.
func (r *run) abandon() {
	if r.worstVerdict != verdict.NotRun {
		r.deps.Abandon(r.placement.Target, r.placement.Engine, r.submit.Stream)
	}
}

// leaveTarget releases the placement, so that the next attempt is placed at
// another engine.
func (r *run) leaveTarget() {
	r.avoid = append(r.avoid, r.placement.Target)
	r.release()
	r.resume = false
}

func (r *run) release() {
	if r.placed {
		r.placement.Release()
	}
	r.placed, r.isolated = false, false
}

// endError returns the error of a request whose deadline has passed or whose
// caller has disconnected.
func endError(ctx context.Context, failure *verdict.Error, worst verdict.Verdict) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(failure, worst, verdict.DeadlineExceeded, "the answer was not complete in time")
	}
	return verdict.Wrap(failure, worst, verdict.CallerGone, "the request was given up")
}
