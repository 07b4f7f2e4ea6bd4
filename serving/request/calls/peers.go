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

// Peers is the client of other daemons.
type Peers interface {
	// Call forwards a call. It makes one attempt. Its errors are
	// *verdict.Error.
	Call(ctx context.Context, host names.Host, in *peerpb.CallRequest) (*peerpb.CallReply, error)
	// Superseded reports whether an incarnation has certainly ended, because
	// the host has a larger one.
	Superseded(host names.Host, incarnation names.Incarnation) bool
}

// GRPCPeers implements Peers with gRPC.
//
// Calls are made without gRPC's configured retries, and fail immediately if
// there is no connection. gRPC still makes transparent retries of requests that
// the server's transport never passed to a handler. They are harmless, because
// the receiver identifies a forwarded call by its ticket or key and runs it
// once.
type GRPCPeers struct {
	// Conn returns a connection to a host, such as peers.Pool.Conn.
	Conn func(names.Host) (*grpc.ClientConn, error)
	// NewestIncarnation returns the newest incarnation of a host that this
	// daemon has seen, or zero.
	NewestIncarnation func(names.Host) names.Incarnation
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

// Superseded implements Peers.
func (p *GRPCPeers) Superseded(host names.Host, incarnation names.Incarnation) bool {
	return p.NewestIncarnation(host) > incarnation
}

// peerError returns the error of a failed gRPC call. Its verdict is never NotRun,
// because a lost connection looks the same whether or not the peer had read the
// call.
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

// RunForwarded runs a call that another daemon forwarded. It implements
// Forwarding.Call. Failures are returned in the reply; its error is always nil.
func (s *Server) RunForwarded(ctx context.Context, in *peerpb.CallRequest) (*peerpb.CallReply, error) {
	result, err := s.runForwarded(ctx, in)
	if err != nil {
		return &peerpb.CallReply{Failure: encodeFailure(verdict.From(err))}, nil
	}
	return &peerpb.CallReply{Body: result.body, Replayed: result.replayed}, nil
}

func (s *Server) runForwarded(ctx context.Context, in *peerpb.CallRequest) (outcome, error) {
	if in.GetFormat() != FormatVersion {
		return outcome{}, verdict.New(verdict.MayHaveRun, verdict.NotReady, "the daemons' releases do not understand each other")
	}
	if in.GetHops() != maxHops {
		return outcome{}, verdict.New(verdict.MayHaveRun, verdict.HopLimit, "the call was forwarded too often")
	}
	if owner := in.GetIncarnation(); owner != 0 && owner != uint64(s.deps.Self.Incarnation) {
		return outcome{}, ownerGoneError()
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

func encodeFailure(e *verdict.Error) *peerpb.Failure {
	return &peerpb.Failure{
		Verdict:      e.Verdict.String(),
		Reason:       string(e.Reason),
		Message:      e.Message,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

func decodeFailure(f *peerpb.Failure) *verdict.Error {
	failure := verdict.New(verdict.Parse(f.GetVerdict()), verdict.Reason(f.GetReason()), f.GetMessage())
	return failure.WithRetryAfter(time.Duration(f.GetRetryAfterMs()) * time.Millisecond)
}
