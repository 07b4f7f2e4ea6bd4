package dispatch

import (
	"context"

	"carobspoke.example/core/process/load"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/targetapi"
	"carobspoke.example/serving/request/gateway"
)

// observed is an engine that tells the admission controller how the one
// request placed on it fares. It also fills in what the placement decided.
type observed struct {
	targetapi.Engine
	placed  *placed
	started func()
	// told takes in a load report that came with an answer.
	told func(target.Report)
}

// Submit implements targetapi.Engine.
func (o *observed) Submit(ctx context.Context, s target.Submit) (targetapi.Stream, error) {
	s.Priority = o.placed.priority
	stream, err := o.Engine.Submit(o.placed.cancellable(ctx), s)
	return o.watch(ctx, stream, err)
}

// Resume implements targetapi.Engine.
func (o *observed) Resume(ctx context.Context, id target.StreamID, attempt uint32, from int) (targetapi.Stream, error) {
	stream, err := o.Engine.Resume(o.placed.cancellable(ctx), id, attempt, from)
	return o.watch(ctx, stream, err)
}

func (o *observed) watch(ctx context.Context, stream targetapi.Stream, err error) (targetapi.Stream, error) {
	if err != nil {
		o.placed.outcome = outcomeOf(err)
		return nil, o.placed.leaving(err)
	}
	if teller, ok := stream.(targetapi.LoadReporter); ok {
		if report, ok := teller.LoadReport(); ok {
			o.told(report)
		}
	}
	buffering, _ := stream.(targetapi.BufferedStream)
	return &observedStream{
		Stream: stream, placed: o.placed, started: o.started,
		buffering: buffering, batch: gateway.BatchFromContext(ctx),
	}, nil
}

// observedStream watches the frames of an attempt. It has the tokens that
// arrived together sent to the caller together, and none held back while it
// waits for the next.
type observedStream struct {
	targetapi.Stream
	placed  *placed
	started func()
	// buffering is the stream, or nil if it doesn't tell.
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
		s.placed.outcome = outcomeOf(err)
		return frame, s.placed.leaving(err)
	case frame.Failure != "":
		s.placed.outcome = load.Fault
	case frame.End:
		s.placed.outcome = load.Success
		s.placed.answerTokens = frame.Offset
	default:
		s.placed.next.Store(int64(frame.Offset + 1))
		if s.placed.started.CompareAndSwap(false, true) {
			s.started()
		}
	}
	return frame, err
}

// leaving names the failure of an attempt that was ended since its target
// leaves.
func (p *placed) leaving(err error) error {
	if !p.moving.Load() {
		return err
	}
	p.outcome = load.Neutral
	return verdict.Wrap(err, verdict.From(err).Verdict, verdict.TargetLeaving, "the target leaves")
}

// outcomeOf says what an error tells of the target.
func outcomeOf(err error) load.Outcome {
	switch verdict.From(err).Reason {
	case verdict.CallerGone, verdict.DeadlineExceeded, verdict.TargetRefused, verdict.StreamUnknown:
		return load.Neutral
	default:
		return load.Fault
	}
}
