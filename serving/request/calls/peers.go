package calls

import (
	"context"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/peerpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Peers reaches other daemons.
type Peers interface {
	// Call forwards a call. It makes one attempt; an error is a
	// *verdict.Error.
	Call(ctx context.Context, host names.Host, in *peerpb.CallRequest) (*peerpb.CallReply, error)
	// Gone reports whether it is known for certain that an incarnation is
	// no more, since the host has a larger one.
	Gone(host names.Host, incarnation names.Incarnation) bool
}

// GRPCPeers reaches other daemons by gRPC.
//
// A call is sent without gRPC's configured retries and fails at once if there
// is no connection. What stays are gRPC's transparent retries, of requests
// that the server's transport never handed to a handler. They are harmless:
// the receiver knows a forwarded call by its ticket or key and runs it once.
type GRPCPeers struct {
	// Conn returns a connection; see peers.Pool.
	Conn func(names.Host) (*grpc.ClientConn, error)
	// Known returns the newest incarnation that is known of a host, or zero.
	Known func(names.Host) names.Incarnation
}

// Call implements Peers.
func (p *GRPCPeers) Call(ctx context.Context, host names.Host, in *peerpb.CallRequest) (*peerpb.CallReply, error) {
	conn, err := p.Conn(host)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.PeerUnreachable, "the daemon that may run the call cannot be reached")
	}
	reply, err := peerpb.NewForwardingClient(conn).Call(ctx, in)
	if err != nil {
		return nil, peerError(err)
	}
	return reply, nil
}

// Gone implements Peers.
func (p *GRPCPeers) Gone(host names.Host, incarnation names.Incarnation) bool {
	return p.Known(host) > incarnation
}

// peerError never proves that a call did not run: a lost connection looks the
// same before and after the peer read the call.
func peerError(err error) error {
	switch status.Code(err) {
	case codes.DeadlineExceeded:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.DeadlineExceeded, "the daemon that may run the call did not answer in time")
	case codes.Canceled:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CallerGone, "the call was given up")
	case codes.Unavailable:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.PeerUnreachable, "the daemon that may run the call cannot be reached")
	default:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.PeerFailed, "the daemon that may run the call failed")
	}
}

// Forwarded answers a call that another daemon forwarded. It is the body of
// Forwarding.Call; a failure is part of the reply.
func (s *Server) Forwarded(ctx context.Context, in *peerpb.CallRequest) (*peerpb.CallReply, error) {
	out, err := s.serveForwarded(ctx, in)
	if err != nil {
		return &peerpb.CallReply{Failure: toWire(verdict.From(err))}, nil
	}
	return &peerpb.CallReply{Body: out.body, Replayed: out.replayed}, nil
}

func (s *Server) serveForwarded(ctx context.Context, in *peerpb.CallRequest) (outcome, error) {
	if in.GetFormat() != Format {
		return outcome{}, verdict.New(verdict.MayHaveRun, verdict.NotReady, "the daemons' releases do not understand each other")
	}
	if in.GetHops() != maxHops {
		return outcome{}, verdict.New(verdict.MayHaveRun, verdict.HopLimit, "the call was forwarded too often")
	}
	if i := in.GetIncarnation(); i != 0 && i != uint64(s.deps.Self.Incarnation) {
		return outcome{}, ownerGone()
	}
	timeout := min(time.Duration(in.GetTimeoutMs())*time.Millisecond, s.deps.Limits.MaxTimeout)
	return s.route(ctx, send{
		requestID: in.GetRequestId(),
		customer:  names.Customer(in.GetCustomer()),
		service:   names.Service(in.GetService()),
		ticket:    in.GetTicket(),
		key:       in.GetKey(),
		body:      in.GetBody(),
		deadline:  s.deps.Clock().Add(timeout),
		hops:      in.GetHops(),
	})
}

func toWire(e *verdict.Error) *peerpb.Failure {
	return &peerpb.Failure{
		Verdict:      e.Verdict.String(),
		Reason:       string(e.Reason),
		Message:      e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

func fromWire(f *peerpb.Failure) *verdict.Error {
	failure := verdict.New(verdict.Parse(f.GetVerdict()), verdict.Reason(f.GetReason()), f.GetMessage())
	return failure.WithRetryAfter(time.Duration(f.GetRetryAfterMs()) * time.Millisecond)
}
