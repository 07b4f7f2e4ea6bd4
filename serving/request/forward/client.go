package forward

import (
	"context"
	"io"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/peerpb"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Sink receives a forwarded generation's answer.
type Sink interface {
	// At tells which target runs the stream.
	At(t names.Target)
	// Token delivers a token.
	Token(offset int, text string) error
}

// Client sends generations to peers.
type Client struct {
	Peers *peers.Pool
}

// Generate runs a generation at a peer and delivers its whole answer.
func (c *Client) Generate(ctx context.Context, to names.Host, r Request, sink Sink) error {
	conn, err := c.Peers.Conn(to)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.PeerUnreachable, "a daemon cannot be reached")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames, err := peerpb.NewForwardingClient(conn).Generate(ctx, toMessage(r, time.Now()))
	if err != nil {
		return callError(ctx, err, verdict.NotRun)
	}
	if err := accepted(frames, cancel); err != nil {
		return err
	}
	return receive(ctx, frames, sink, r.Facts.DeliveredTokens)
}

// AcceptTimeout bounds the time until a peer says that it has a request.
const AcceptTimeout = time.Second

// accepted waits until the peer has the request. One that cannot be reached
// does not say so by itself until the connection's keepalive finds out.
func accepted(frames grpc.ServerStreamingClient[peerpb.GenerateFrame], cancel func()) error {
	timer := time.AfterFunc(AcceptTimeout, cancel)
	_, err := frames.Header()
	if !timer.Stop() {
		return verdict.New(verdict.MayHaveRun, verdict.PeerUnreachable, "a daemon does not answer")
	}
	if err != nil {
		return callError(frames.Context(), err, verdict.MayHaveRun)
	}
	return nil
}

// receive passes an answer on and checks that no token is missing.
func receive(ctx context.Context, frames grpc.ServerStreamingClient[peerpb.GenerateFrame], sink Sink, next int) error {
	for {
		frame, err := frames.Recv()
		if err != nil {
			return callError(ctx, err, verdict.MayHaveRun)
		}
		if frame.GetTarget() != "" {
			sink.At(names.Target(frame.GetTarget()))
		}
		if failure := frame.GetFailure(); failure != nil {
			return FromFailure(failure)
		}
		if int(frame.GetOffset()) != next {
			return verdict.New(verdict.Ran, verdict.AnswerMismatch, "the answer has a gap")
		}
		if frame.GetEnd() {
			return nil
		}
		if err := sink.Token(next, frame.GetText()); err != nil {
			return err
		}
		next++
	}
}

// callError gives the verdict of a call that ended without a failure of the
// peer's own. A peer that was never reached answers Unavailable before any
// frame; since gRPC does not tell whether the request left, only a failure to
// open the stream is NotRun.
func callError(ctx context.Context, err error, v verdict.Verdict) error {
	if errors.Is(err, io.EOF) {
		return verdict.Wrap(err, verdict.Ran, verdict.PeerFailed, "a daemon ended the answer early")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(err, v, verdict.DeadlineExceeded, "the answer did not come in time")
	}
	if ctx.Err() != nil {
		return verdict.Wrap(err, v, verdict.CallerGone, "the request was given up")
	}
	if status.Code(err) == codes.Unavailable {
		return verdict.Wrap(err, v, verdict.PeerUnreachable, "a daemon cannot be reached")
	}
	return verdict.Wrap(err, v, verdict.PeerFailed, "a daemon failed")
}
