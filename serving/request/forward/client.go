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

// Sink receives the answer of a forwarded generation.
type Sink interface {
	// SetTarget sets the target that runs the stream. It may be called again, with
	// another target.
	SetTarget(t names.Target)
	// Token delivers the token at an offset of the answer.
	Token(offset int, text string) error
}

// Client forwards generations to peers.
type Client struct {
	Peers *peers.Pool
}

// Generate runs a generation at a peer and delivers its answer to sink, beginning
// after the tokens that were already delivered. Its errors are *verdict.Error, or
// errors of sink.
func (c *Client) Generate(ctx context.Context, to names.Host, r Request, sink Sink) error {
	conn, err := c.Peers.Conn(to)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.PeerUnreachable, "a daemon cannot be reached")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	frames, err := peerpb.NewForwardingClient(conn).Generate(ctx, encodeRequest(r, time.Now()))
	if err != nil {
		return callError(ctx, err, verdict.NotRun)
	}
	if err := awaitAcceptance(frames, cancel); err != nil {
		return err
	}
	return receive(ctx, frames, sink, r.Facts.DeliveredTokens)
}

// AcceptTimeout is the timeout for a peer to acknowledge a request.
const AcceptTimeout = time.Second

// awaitAcceptance waits until the peer has acknowledged the request by sending the
// response header. The timeout is needed because a peer that cannot be reached
// causes no error until the connection's keepalive fails.
func awaitAcceptance(frames grpc.ServerStreamingClient[peerpb.GenerateFrame], cancel func()) error {
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

// receive delivers an answer to sink and checks that no token is missing. next is
// the offset of the first token that is expected.
func receive(ctx context.Context, frames grpc.ServerStreamingClient[peerpb.GenerateFrame], sink Sink, next int) error {
	for {
		frame, err := frames.Recv()
		if err != nil {
			return callError(ctx, err, verdict.MayHaveRun)
		}
		if frame.GetTarget() != "" {
			sink.SetTarget(names.Target(frame.GetTarget()))
		}
		if failure := frame.GetFailure(); failure != nil {
			return DecodeFailure(failure)
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

// callError returns the error of a gRPC call that ended without a failure from the
// peer, with the verdict v unless the stream ended early. A call to a peer that
// was never reached fails with Unavailable before any frame. Because gRPC does not
// report whether the request was sent, only a failure to open the stream is
// NotRun.
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
