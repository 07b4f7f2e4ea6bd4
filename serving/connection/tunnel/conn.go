package tunnel

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/serving/peerpb"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
)

// maxDataBytes bounds the data of a message.
const maxDataBytes = 16 << 10

// Conn is a connection to a target through a peer. Unlike the end of a TCP connection that a
// dying peer closes, its end is io.EOF only if the peer has said that the target closed the
// connection in order. Any other end is a reset.
type Conn struct {
	stream grpc.BidiStreamingClient[peerpb.TunnelUp, peerpb.TunnelDown]
	cancel context.CancelFunc
	peer   names.Host

	// readMu guards rest and ended.
	readMu sync.Mutex
	rest   []byte
	ended  bool
	// writeMu serialises writes.
	writeMu sync.Mutex
}

// Through returns the peer.
func (c *Conn) Through() names.Host { return c.peer }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for len(c.rest) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		down, err := c.stream.Recv()
		if err != nil {
			return 0, c.broken("read", err)
		}
		c.rest, c.ended = down.GetData(), down.GetEnded()
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// broken returns the error of a connection that has ended without an end of its target.
func (c *Conn) broken(operation string, cause error) error {
	return errors.Wrap(&net.OpError{Op: operation, Net: "tunnel", Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}, cause.Error())
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	written := 0
	for written < len(p) {
		n := min(len(p)-written, maxDataBytes)
		if err := c.stream.Send(&peerpb.TunnelUp{Data: p[written : written+n]}); err != nil {
			return written, c.broken("write", err)
		}
		written += n
	}
	return written, nil
}

// Close implements net.Conn. The peer closes its connection to the target.
func (c *Conn) Close() error {
	c.cancel()
	return nil
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return address(c.peer) }

// RemoteAddr implements net.Conn. It is the peer.
func (c *Conn) RemoteAddr() net.Addr { return address(c.peer) }

// SetDeadline implements net.Conn. Deadlines are not supported.
func (c *Conn) SetDeadline(time.Time) error { return errors.WithStack(os.ErrNoDeadline) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.SetDeadline(t) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.SetDeadline(t) }

// address is the address of a peer as a net.Addr.
type address names.Host

// Network implements net.Addr.
func (address) Network() string { return "tunnel" }

// String implements net.Addr.
func (a address) String() string { return string(a) }
