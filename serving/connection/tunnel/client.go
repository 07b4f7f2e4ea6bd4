package tunnel

import (
	"context"
	"syscall"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/connection/peers"
	"carobspoke.example/serving/peerpb"
	"github.com/pkg/errors"
)

// Error is the answer of a peer that has not connected to a target.
type Error struct {
	Status peerpb.TunnelDown_Status
	// ReachesTargets reports whether the peer has reached a target itself a short time
	// ago.
	ReachesTargets bool
}

// Error implements error.
func (e *Error) Error() string { return "the peer has not connected: " + e.Status.String() }

// Unwrap returns syscall.ECONNREFUSED if the target refuses connections.
func (e *Error) Unwrap() error {
	if e.Status == peerpb.TunnelDown_STATUS_REFUSED {
		return syscall.ECONNREFUSED
	}
	return nil
}

// TargetDown reports whether the target is down, as far as the peer can tell.
func (e *Error) TargetDown() bool {
	down := e.Status == peerpb.TunnelDown_STATUS_REFUSED || e.Status == peerpb.TunnelDown_STATUS_UNREACHABLE
	return down && e.ReachesTargets
}

// Client opens connections to targets through peers.
type Client struct {
	Pool *peers.Pool
}

// Dial has a peer connect to a target. Its errors are of type *Error if the peer has
// answered, and those of gRPC otherwise. Nothing is sent to the target before it returns.
func (c *Client) Dial(ctx context.Context, peer names.Host, id names.Target, address string) (*Conn, error) {
	conn, err := c.Pool.Conn(peer)
	if err != nil {
		return nil, err
	}
	streamContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	opened, err := open(streamContext, conn, id, address)
	if err == nil && !stop() {
		err = errors.WithStack(ctx.Err())
	}
	if err != nil {
		cancel()
		return nil, err
	}
	opened.cancel, opened.peer = cancel, peer
	return opened, nil
}

func open(ctx context.Context, conn peerConn, id names.Target, address string) (*Conn, error) {
	stream, err := peerpb.NewTunnelsClient(conn).Open(ctx)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := stream.Send(&peerpb.TunnelUp{Open: &peerpb.TunnelTarget{Target: string(id), Address: address}}); err != nil {
		return nil, errors.WithStack(err)
	}
	first, err := stream.Recv()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if first.GetStatus() != peerpb.TunnelDown_STATUS_OPEN {
		return nil, errors.WithStack(&Error{Status: first.GetStatus(), ReachesTargets: first.GetReachesTargets()})
	}
	return &Conn{stream: stream}, nil
}
