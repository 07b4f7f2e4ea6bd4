// Package tunnel connects daemons to targets that they cannot reach, through peers that can.
//
// A tunnel carries the bytes of one connection, for one request. The daemon at its near end
// places, sends, retries and answers the request as if the connection were its own. The peer
// at the far end connects to listed targets only, itself and never through another peer, and
// keeps to what targets have stated to it. It reads the head of the answer as it passes, since
// the target takes the peer for the sender.
package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/connection/upstream"
	"carobspoke.example/serving/peerpb"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// MaxOpen is the number of connections that a daemon keeps open for peers at a time.
	MaxOpen = 200
	// dialTimeout bounds a connection to a target. A daemon that reaches the target
	// needs some milliseconds.
	dialTimeout = 400 * time.Millisecond
	// bufferBytes is the size of the buffer for bytes from a target.
	bufferBytes = 4 << 10
)

// peerConn is a connection to a peer.
type peerConn = grpc.ClientConnInterface

// Gate is what a daemon allows peers.
type Gate interface {
	// Admit returns STATUS_OPEN if a peer's request may be sent to a target at an
	// address now, and otherwise why not.
	Admit(id names.Target, address string) peerpb.TunnelDown_Status
	// Evacuated reports whether the data centre of a target is evacuated, so that no request
	// may begin there.
	Evacuated(id names.Target) bool
	// ReachesTargets reports whether the daemon reaches targets, other than the given
	// one.
	ReachesTargets(ctx context.Context, other names.Target) bool
	// Connected and Unreachable record whether the target could be reached.
	Connected(id names.Target)
	Unreachable(id names.Target)
	// Observe receives the head of the answer to a request that was sent at sentAt or
	// later. It must not read the body.
	Observe(id names.Target, head *http.Response, sentAt time.Time)
}

// Server implements peerpb.TunnelsServer.
type Server struct {
	peerpb.UnimplementedTunnelsServer
	Gate Gate
	// Dial opens connections of this daemon to targets.
	Dial upstream.Dialer
	open atomic.Int64
}

// InUse returns the number of open connections.
func (s *Server) InUse() int { return int(s.open.Load()) }

// Open implements peerpb.TunnelsServer.
func (s *Server) Open(stream grpc.BidiStreamingServer[peerpb.TunnelUp, peerpb.TunnelDown]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	defer s.open.Add(-1)
	if s.open.Add(1) > MaxOpen {
		return refuse(stream, peerpb.TunnelDown_STATUS_BUSY, false)
	}
	id, address := names.Target(first.GetOpen().GetTarget()), first.GetOpen().GetAddress()
	if allowed := s.Gate.Admit(id, address); allowed != peerpb.TunnelDown_STATUS_OPEN {
		return refuse(stream, allowed, false)
	}
	ctx, cancel := context.WithTimeout(stream.Context(), dialTimeout)
	defer cancel()
	conn, err := s.Dial(ctx, id, address)
	if err != nil {
		reaches := s.Gate.ReachesTargets(stream.Context(), id)
		if reaches {
			s.Gate.Unreachable(id)
		}
		return refuse(stream, failedStatus(err), reaches)
	}
	s.Gate.Connected(id)
	defer func() { _ = conn.Close() }() // it is not used again
	if err := stream.Send(&peerpb.TunnelDown{Status: peerpb.TunnelDown_STATUS_OPEN}); err != nil {
		return err
	}
	stop := context.AfterFunc(stream.Context(), func() { _ = conn.Close() }) // unblocks the copies
	defer stop()
	target := &targetConn{conn: conn}
	go s.copyUp(stream, target, id)
	return s.copyDown(stream, target, id)
}

// failedStatus returns the status of a connection that could not be opened.
func failedStatus(err error) peerpb.TunnelDown_Status {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return peerpb.TunnelDown_STATUS_REFUSED
	}
	return peerpb.TunnelDown_STATUS_UNREACHABLE
}

func refuse(stream grpc.BidiStreamingServer[peerpb.TunnelUp, peerpb.TunnelDown], why peerpb.TunnelDown_Status, reachesTargets bool) error {
	return stream.Send(&peerpb.TunnelDown{Status: why, ReachesTargets: reachesTargets})
}

// targetConn is a connection to a target that one goroutine reads and another writes. The
// kernel reports that it was reset once, to either of them.
type targetConn struct {
	conn net.Conn
	// mu is held while a write waits.
	mu  sync.Mutex
	err error // of the last write
}

// write writes to the connection.
func (c *targetConn) write(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, c.err = c.conn.Write(p)
	return c.err
}

// wasReset reports, after a read has got io.EOF, whether the connection was in fact reset. If
// the kernel has not closed it, the target has ended it in order, and a write may still wait.
func (c *targetConn) wasReset() bool {
	if !upstream.ClosedByKernel(c.conn) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return upstream.IsReset(c.err)
}

// copyUp copies bytes to the target until the peer or the target ends. The target's data centre
// may have been evacuated since the connection was opened, unknown to a peer that was paused or
// cut off: the request then does not begin.
func (s *Server) copyUp(stream grpc.BidiStreamingServer[peerpb.TunnelUp, peerpb.TunnelDown], target *targetConn, id names.Target) {
	for begun := false; ; begun = true {
		up, err := stream.Recv()
		if err != nil || !begun && s.Gate.Evacuated(id) {
			_ = target.conn.Close() // the peer is not interested in the answer any more, or learns that there is none
			return
		}
		if err := target.write(up.GetData()); err != nil {
			return // the end of the answer shows how the connection ended
		}
	}
}

// copyDown copies bytes from the target. It returns nil after an end of the connection in
// order, which the peer is told, and an error after any other end.
func (s *Server) copyDown(stream grpc.BidiStreamingServer[peerpb.TunnelUp, peerpb.TunnelDown], target *targetConn, id names.Target) error {
	head := headReader{found: func(r *http.Response, sentAt time.Time) { s.Gate.Observe(id, r, sentAt) }, began: time.Now()}
	buffer := make([]byte, bufferBytes)
	for {
		n, err := target.conn.Read(buffer)
		if n > 0 {
			head.add(buffer[:n])
			if sendErr := stream.Send(&peerpb.TunnelDown{Data: buffer[:n]}); sendErr != nil {
				return sendErr
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && !target.wasReset():
			return stream.Send(&peerpb.TunnelDown{Ended: true})
		default:
			return status.Error(codes.Aborted, "the connection to the target broke")
		}
	}
}
