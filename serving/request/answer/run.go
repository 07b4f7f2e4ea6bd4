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

// step is how far an attempt came.
type step uint8

const (
	placing step = iota
	submitting
	resuming
	reading
	progressing
)

// run is one answer being produced.
type run struct {
	deps    Deps
	submit  target.Submit
	sink    Sink
	checker *attempt.Checker
	avoid   []names.Target
	// made counts attempts since the last token.
	made  int
	worst verdict.Verdict
	// step is how far the newest attempt came.
	step step

	placement Placement
	placed    bool
	// alone says that the placement has nothing else on it.
	alone bool
	// resume says that the placement's engine is thought to hold the stream.
	resume bool
}

// finish makes attempts until the answer is whole or an error ends it.
func (r *run) finish(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, r.submit.Deadline)
	defer cancel()
	defer r.release()
	for {
		err := r.attempt(ctx)
		if err == nil {
			r.ended()
			return nil
		}
		failure := r.judge(verdict.From(err))
		if ctx.Err() != nil {
			return gone(ctx, failure, r.worst)
		}
		if !r.placed && r.submit.Prompt == "" {
			return failure.WithVerdict(r.worst)
		}
		if err := r.deps.Retries.WaitForRetry(ctx, r.asAttempt(failure)); err != nil {
			return verdict.From(err).WithVerdict(r.worst)
		}
	}
}

// ended clears a suspect that ran to its end alone.
func (r *run) ended() {
	if r.alone {
		r.deps.Prompt.Ended()
	}
}

func (r *run) asAttempt(failure *verdict.Error) retry.Attempt {
	return retry.Attempt{
		Count:      r.made,
		Started:    r.worst != verdict.NotRun,
		Failure:    failure,
		Idempotent: true,
		Deadline:   r.submit.Deadline,
	}
}

// attempt makes one attempt: it places the request if need be, and reads.
func (r *run) attempt(ctx context.Context) error {
	r.step = placing
	if err := r.place(ctx); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := time.AfterFunc(r.deps.Stall, cancel)
	defer watch.Stop()
	if r.checker.Next() == r.submit.StartOffset {
		watch.Stop()
	}
	stream, err := r.open(ctx)
	if err != nil {
		return err
	}
	r.step = reading
	r.worst = max(r.worst, verdict.Ran)
	defer stream.Close() //nolint:errcheck // the answer is checked by its end frame
	return r.read(stream, watch)
}

func (r *run) place(ctx context.Context) error {
	if r.placed {
		return nil
	}
	standing := r.deps.Prompt.Standing()
	if standing == crash.Refused {
		return r.deps.Prompt.Refusal()
	}
	isolate := standing == crash.Suspect
	want := Want{
		From: r.checker.Next(), Avoid: r.avoid, Isolate: isolate,
		Scope: r.submit.Scope, Deadline: r.submit.Deadline,
	}
	placement, err := r.deps.Targets.Place(ctx, want)
	if err != nil && isolate && inUse(err) {
		return busy(err)
	}
	if err != nil {
		return err
	}
	if isolate && r.deps.Prompt.Standing() == crash.Refused {
		placement.Release() // the wait for it has told more
		return r.deps.Prompt.Refusal()
	}
	r.placement, r.placed, r.alone, r.resume = placement, true, isolate, false
	return nil
}

func (r *run) open(ctx context.Context) (targetapi.Stream, error) {
	number, from := r.checker.Begin()
	if r.resume {
		r.step = resuming
		return r.placement.Engine.Resume(ctx, r.submit.Stream, number, from)
	}
	r.step = submitting
	submit := r.submit
	submit.Attempt, submit.StartOffset = number, from
	stream, err := r.placement.Engine.Submit(ctx, submit)
	if err == nil {
		r.deps.Started(r.placement.Target)
	}
	return stream, err
}

// read passes on the frames of one attempt. The watch gives the attempt up if
// an engine that has sent a token is silent for the stall time; while the
// caller takes a token, it rests.
func (r *run) read(stream targetapi.Stream, watch *time.Timer) error {
	for {
		frame, err := stream.Next()
		if err != nil {
			return err
		}
		watch.Stop()
		action, err := r.checker.Accept(frame)
		if err != nil {
			return err
		}
		if action != attempt.Discard {
			if err := r.pass(frame); err != nil {
				return err
			}
		}
		if action == attempt.Finish {
			return nil
		}
		watch.Reset(r.deps.Stall)
	}
}

// pass gives the caller a frame.
func (r *run) pass(frame target.Frame) error {
	r.step = progressing
	r.made = 0
	if err := r.sink(frame); err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.CallerGone, "the caller is gone")
	}
	return nil
}
