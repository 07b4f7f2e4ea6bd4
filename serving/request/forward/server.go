package forward

import (
	"context"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/peerpb"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// Runner runs a forwarded generation at a target of which this daemon is a keeper.
type Runner interface {
	RunForwarded(ctx context.Context, r Request, sink Sink) error
}

// CallRunner runs a forwarded call to a plain service.
type CallRunner interface {
	RunForwardedCall(ctx context.Context, m *peerpb.CallRequest) (*peerpb.CallReply, error)
}

// Server receives forwarded generations and calls. It implements
// peerpb.ForwardingServer.
type Server struct {
	peerpb.UnimplementedForwardingServer
	Runner     Runner
	CallRunner CallRunner
	DataCentre names.DataCentre
}

// Generate implements peerpb.ForwardingServer.
func (s *Server) Generate(m *peerpb.GenerateRequest, out grpc.ServerStreamingServer[peerpb.GenerateFrame]) error {
	if err := out.SendHeader(nil); err != nil {
		return errors.WithStack(err)
	}
	r := decodeRequest(m, s.DataCentre, time.Now())
	ctx, cancel := context.WithDeadline(out.Context(), r.Facts.Deadline)
	defer cancel()
	sink := &frameSink{out: out, next: r.Facts.DeliveredTokens}
	err := s.run(ctx, m, r, sink)
	if err != nil {
		return sink.send(&peerpb.GenerateFrame{Failure: EncodeFailure(err)})
	}
	return sink.send(&peerpb.GenerateFrame{End: true})
}

func (s *Server) run(ctx context.Context, m *peerpb.GenerateRequest, r Request, sink Sink) error {
	if m.GetFormat() > FormatVersion {
		return verdict.New(verdict.NotRun, verdict.PeerFailed, "the request is of a newer release")
	}
	if m.GetHops() > 1 {
		return verdict.New(verdict.NotRun, verdict.HopLimit, "the request was forwarded twice")
	}
	return s.Runner.RunForwarded(ctx, r, sink)
}

// Call implements peerpb.ForwardingServer.
func (s *Server) Call(ctx context.Context, m *peerpb.CallRequest) (*peerpb.CallReply, error) {
	return s.CallRunner.RunForwardedCall(ctx, m)
}

// frameSink sends an answer to the peer that forwarded the request.
type frameSink struct {
	out    grpc.ServerStreamingServer[peerpb.GenerateFrame]
	target names.Target
	// targetSent is set once a frame with the target was sent.
	targetSent bool
	// next is the offset after the last token.
	next int
}

// SetTarget implements Sink.
func (s *frameSink) SetTarget(t names.Target) {
	s.target = t
	s.targetSent = false
}

// Token implements Sink.
func (s *frameSink) Token(offset int, text string) error {
	s.next = offset + 1
	return s.send(&peerpb.GenerateFrame{Offset: int64(offset), Text: text})
}

func (s *frameSink) send(frame *peerpb.GenerateFrame) error {
	if frame.GetEnd() {
		frame.Offset = int64(s.next)
	}
	if !s.targetSent {
		frame.Target = string(s.target)
		s.targetSent = true
	}
	if err := s.out.Send(frame); err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.CallerGone, "the sending daemon is gone")
	}
	return nil
}
