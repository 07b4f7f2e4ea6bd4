package dispatch

import (
	"context"

	"carobspoke.example/core/process/load"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/gateway"
)

// observedEngine is an engine that reports the progress of the one request placed
// on it to the admission controller. It also sets the priority that admission
// assigned.
type observedEngine struct {
	targetapi.Engine
	placement    *placementState
	onFirstToken func()
	// onReport is called with a load report that arrived with an answer.
	onReport func(target.Report)
}

// Submit implements targetapi.Engine.
func (o *observedEngine) Submit(ctx context.Context, s target.Submit) (targetapi.Stream, error) {
	s.Priority = o.placement.priority
	stream, err := o.Engine.Submit(o.placement.cancellable(ctx), s)
	return o.observe(ctx, stream, err)
}

// Resume implements targetapi.Engine.
func (o *observedEngine) Resume(ctx context.Context, id target.StreamID, attempt uint32, from int) (targetapi.Stream, error) {
	stream, err := o.Engine.Resume(o.placement.cancellable(ctx), id, attempt, from)
	return o.observe(ctx, stream, err)
}

func (o *observedEngine) observe(ctx context.Context, stream targetapi.Stream, err error) (targetapi.Stream, error) {
	if err != nil {
		o.placement.outcome = outcomeOf(err)
		return nil, o.placement.leavingError(err)
	}
	if teller, ok := stream.(targetapi.LoadReporter); ok {
		if report, ok := teller.LoadReport(); ok {
			o.onReport(report)
		}
	}
	buffering, _ := stream.(targetapi.BufferedStream)
	return &observedStream{
		Stream: stream, placement: o.placement, onFirstToken: o.onFirstToken,
		buffering: buffering, batch: gateway.BatchFromContext(ctx),
	}, nil
}

// observedStream observes the frames of an attempt. It batches the tokens that
// arrived together, so that they are sent to the caller together, and flushes the
// batch before it waits for the next frame.
type observedStream struct {
	targetapi.Stream
	placement    *placementState
	onFirstToken func()
	// buffering is the stream, or nil if it does not implement
	// BufferedStream.
	buffering targetapi.BufferedStream
	batch     *gateway.Batch
}

func (s *observedStream) buffered() bool { return s.buffering != nil && s.buffering.Buffered() }

// Close implements targetapi.Stream.
func (s *observedStream) Close() error {
	s.batch.DeferFlush(false)
	s.batch.Flush()
	return s.Stream.Close()
}

// Next implements targetapi.Stream.
func (s *observedStream) Next() (target.Frame, error) {
	if !s.buffered() {
		s.batch.Flush()
	}
	frame, err := s.Stream.Next()
	s.batch.DeferFlush(err == nil && s.buffered())
	switch {
	case err != nil:
		s.placement.outcome = outcomeOf(err)
		return frame, s.placement.leavingError(err)
	case frame.Failure != "":
		s.placement.outcome = load.Fault
	case frame.End:
		s.placement.outcome = load.Success
		s.placement.answerTokens = frame.Offset
	default:
		s.placement.nextOffset.Store(int64(frame.Offset + 1))
		if s.placement.started.CompareAndSwap(false, true) {
			s.onFirstToken()
		}
	}
	return frame, err
}

// leavingError returns err with the reason TargetLeaving and sets the outcome to
// Neutral if the attempt was ended because its target leaves. Otherwise it
// returns err unchanged.
func (p *placementState) leavingError(err error) error {
	if !p.moving.Load() {
		return err
	}
	p.outcome = load.Neutral
	return verdict.Wrap(err, verdict.From(err).Verdict, verdict.TargetLeaving, "the target leaves")
}

// outcomeOf returns what an error means for the health of the target.
func outcomeOf(err error) load.Outcome {
	switch verdict.From(err).Reason {
	case verdict.CallerGone, verdict.DeadlineExceeded, verdict.TargetRefused, verdict.StreamUnknown:
		return load.Neutral
	default:
		return load.Fault
	}
}
