package callers

import (
	"context"
	"net"
	"syscall"

	"carobspoke.example/core/process/memory"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Options configure a Listener.
type Options struct {
	Group memory.Group
	// Connections bounds the open connections, and ConnectionBytes is what each of them
	// costs.
	Connections     int
	ConnectionBytes int64
	// HTTP reports whether the connections carry HTTP/1, so that heads are counted.
	HTTP bool
	// HeadBytes returns the limit of a head; zero if there is none yet, and then
	// MaxHeadBytes applies. Nil is the same as zero.
	HeadBytes func() int
	// MaxHeadBytes bounds HeadBytes.
	MaxHeadBytes int
}

func (o *Options) headLimit() int {
	if o.HeadBytes != nil {
		if limit := o.HeadBytes(); limit > 0 {
			return min(limit, o.MaxHeadBytes)
		}
	}
	return o.MaxHeadBytes
}

// Listener accepts connections within the bounds of its options and of a Guard.
type Listener struct {
	*net.TCPListener
	guard   *Guard
	options Options
}

// NewListener returns a Listener for the connections of another one.
func (g *Guard) NewListener(l *net.TCPListener, o Options) *Listener {
	return &Listener{TCPListener: l, guard: g, options: o}
}

// Accept implements net.Listener. It closes connections for which there is no room. If the
// process has no descriptor left it ends a connection of the listener and returns the error,
// after which servers accept again.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.AcceptTCP()
		if err != nil {
			if errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) {
				l.guard.spare(l.options.Group)
			}
			return nil, err //nolint:wrapcheck // servers ask what kind of error it is
		}
		conn := &Conn{TCPConn: accepted, guard: l.guard, options: &l.options}
		if l.guard.add(conn, &l.options) {
			return conn, nil
		}
		l.guard.closedConnections.Add(1)
		_ = accepted.Close() // nothing was read from it
	}
}

// Listen listens at an address, "IP:port". The sockets of its connections hold about bytes
// received that were not read, and as many that were not sent; zero leaves both to the system.
func Listen(ctx context.Context, address string, bytes int) (*net.TCPListener, error) {
	config := net.ListenConfig{}
	if bytes > 0 {
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			var inner error
			err := raw.Control(func(fd uintptr) {
				inner = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes)
				if inner == nil {
					inner = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bytes)
				}
			})
			if err != nil {
				return err
			}
			return inner
		}
	}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return listener.(*net.TCPListener), nil
}
