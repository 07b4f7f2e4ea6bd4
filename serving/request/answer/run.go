package answer

import (
	"context"
	"time"

	"carobspoke.example/core/connection/attempt"
	"carobspoke.example/core/names"
	"carobspoke.example/core/process/crash"
	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
)

// phase is the progress of an attempt.
type phase uint8

const (
	placing    phase = iota // waiting for a placement
	submitting              // sending the prompt to the engine
	resuming                // asking the engine for a stream that it holds
	opened                  // reading the stream, no frame delivered yet
	delivering              // at least one frame delivered
)

// run is the state of one call of Run or Resume.
type run struct {
	deps    Deps
	submit  target.Submit
	sink    Sink
	checker *attempt.Checker
	avoid   []names.Target
	// attempts is the number of failed attempts since the last token.
	attempts     int
	worstVerdict verdict.Verdict
	// phase is the progress of the current attempt.
	phase phase

	placement Placement
	placed    bool
	// isolated is set if the placement runs nothing else.
	isolated bool
	// resume is set if the placement's engine is expected to hold the stream,
	// so that an attempt resumes it there.
	resume bool
}

// runAttempts makes attempts until the answer is complete or an error ends the
// request.
func (r *run) runAttempts(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, r.submit.Deadline)
	defer cancel()
	defer r.release()
	for {
		err := r.attempt(ctx)
		if err == nil {
			r.clearIfIsolated()
			return nil
		}
		failure := r.handleFailure(verdict.From(err))
		if ctx.Err() != nil {
			return endError(ctx, failure, r.worstVerdict)
		}
		if !r.placed && r.submit.Prompt == "" {
			return failure.WithVerdict(r.worstVerdict)
		}
		if err := r.deps.Retries.WaitForRetry(ctx, r.retryAttempt(failure)); err != nil {
			return verdict.From(err).WithVerdict(r.worstVerdict)
		}
	}
}

// clearIfIsolated clears a suspect prompt that completed in isolation.
func (r *run) clearIfIsolated() {
	if r.isolated {
		r.deps.CrashRecord.Ended()
	}
}

func (r *run) retryAttempt(failure *verdict.Error) retry.Attempt {
	return retry.Attempt{
		Count:      r.attempts,
		Started:    r.worstVerdict != verdict.NotRun,
		Failure:    failure,
		Idempotent: true,
		Deadline:   r.submit.Deadline,
	}
}

// attempt makes one attempt: it places the request if it has no placement, opens
// the stream and reads it. Once a token has been delivered, the stall timeout
// also bounds the time from opening the stream to its first frame.
func (r *run) attempt(ctx context.Context) error {
	r.phase = placing
	if err := r.place(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stallTimer := time.AfterFunc(r.deps.StallTimeout, cancel)
	defer stallTimer.Stop()
	if r.checker.Next() == r.submit.StartOffset {
		stallTimer.Stop()
	}
	stream, err := r.open(ctx)
	if err != nil {
		return err
	}
	r.phase = opened
	r.worstVerdict = max(r.worstVerdict, verdict.Ran)
	defer stream.Close() //nolint:errcheck // the answer is checked by its end frame
	return r.readFrames(stream, stallTimer)
}

func (r *run) place(ctx context.Context) error {
	if r.placed {
		return nil
	}
	status := r.deps.CrashRecord.Status()
	if status == crash.Refused {
		return r.deps.CrashRecord.Refusal()
	}
	isolate := status == crash.Suspect
	want := PlacementRequest{
		From: r.checker.Next(), Avoid: r.avoid, Isolate: isolate,
		Scope: r.submit.Scope, Deadline: r.submit.Deadline,
	}
	placement, err := r.deps.Targets.Place(ctx, want)
	if err != nil && isolate && isBusy(err) {
		return busyError(err)
	}
	if err != nil {
		return err
	}
	if isolate && r.deps.CrashRecord.Status() == crash.Refused {
		placement.Release() // the prompt was refused during the wait for a target
		return r.deps.CrashRecord.Refusal()
	}
	r.placement, r.placed, r.isolated, r.resume = placement, true, isolate, false
	return nil
}

func (r *run) open(ctx context.Context) (targetapi.Stream, error) {
	number, from := r.checker.Begin()
	if r.resume {
		r.phase = resuming
		return r.placement.Engine.Resume(ctx, r.submit.Stream, number, from)
	}
	r.phase = submitting
	submit := r.submit
	submit.Attempt, submit.StartOffset = number, from
	stream, err := r.placement.Engine.Submit(ctx, submit)
	if err == nil {
		r.deps.Started(r.placement.Target)
	}
	return stream, err
}

// readFrames delivers the frames of one attempt. The stall timer cancels the
// attempt if an engine that has sent a frame sends none for the stall timeout.
// It is stopped while a frame is passed to the caller.
func (r *run) readFrames(stream targetapi.Stream, stallTimer *time.Timer) error {
	for {
		frame, err := stream.Next()
		if err != nil {
			return err
		}
		stallTimer.Stop()
		action, err := r.checker.Accept(frame)
		if err != nil {
			return err
		}
		if action != attempt.Discard {
			if err := r.deliver(frame); err != nil {
				return err
			}
		}
		if action == attempt.Finish {
			return nil
		}
		stallTimer.Reset(r.deps.StallTimeout)
	}
}

// deliver passes a frame to the caller.
func (r *run) deliver(frame target.Frame) error {
	r.phase = delivering
	r.attempts = 0
	if err := r.sink(frame); err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.CallerGone, "the caller is gone")
	}
	return nil
}
