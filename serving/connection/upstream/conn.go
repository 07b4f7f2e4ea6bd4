// Package upstream sends single attempts to targets over HTTP/1.1.
//
// An attempt is written once and never resent. net/http's Transport is not
// used, since it retries some requests automatically, which could run a request
// twice without a decision by the retry logic. The error of an attempt has a
// verdict, which is NotRun only if no byte of the request was written to the
// socket.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"carobspoke.example/core/names"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Limits of connections to targets.
const (
	// ConnectTimeout bounds the set-up of a connection. A target normally
	// accepts within milliseconds.
	ConnectTimeout = 700 * time.Millisecond
	// UserTimeout is the time for which sent bytes may stay unacknowledged
	// before the kernel closes the connection (TCP_USER_TIMEOUT).
	UserTimeout = 1800 * time.Millisecond
	// The keep-alive probes detect a target that becomes unreachable while
	// a request waits for its answer.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// readBufferSize is the size of the read buffer in bytes. It holds a
	// few events of a stream.
	readBufferSize = 4 << 10
	// idleMargin is how much earlier than the target's own idle timeout an
	// idle connection is closed.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout if the target states none.
	defaultIdleTimeout = 2 * time.Second
)

// Conn is one connection to a target.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// headLimit bounds what reader takes from the connection.
	headLimit *headLimit
	// through is the peer through which the target is reached; empty for a direct
	// connection. A connection through a peer is used for one request.
	through names.Host
	// idleUntil is the time from which an idle connection is no longer
	// used.
	idleUntil time.Time
}

// Dialer opens a connection to a target at an address, "IP:port". It keeps to RegionsOf the
// context.
type Dialer func(ctx context.Context, id names.Target, address string) (net.Conn, error)

// ErrNoPath is the cause of a failure to connect that says nothing about the target: neither
// this daemon nor a peer that could pass bytes on reaches targets.
var ErrNoPath = errors.New("no path to targets")

// DialTCP is a Dialer that opens a TCP connection within ConnectTimeout.
func DialTCP(ctx context.Context, _ names.Target, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, ConnectTimeout)
	defer cancel()
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var inner error
			err := raw.Control(func(fd uintptr) {
				inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return inner
		},
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	return raw, errors.WithStack(err)
}

// newConn returns the connection of a pool for an open connection to a target.
func (p *Pool) newConn(raw net.Conn) *Conn {
	limit := &headLimit{reader: raw, left: unlimited}
	conn := &Conn{Conn: raw, reader: bufio.NewReaderSize(limit, readBufferSize), headLimit: limit}
	if tunnelled, ok := raw.(interface{ Through() names.Host }); ok {
		conn.through = tunnelled.Through()
		return conn
	}
	limit.heard = p.heard
	return conn
}

// headLimit is a reader that returns errNoAnswer after a number of bytes.
// http.ReadResponse bounds neither the status line nor the header.
type headLimit struct {
	reader io.Reader
	// left is the number of bytes that may still be read, or unlimited.
	left int
	// heard is called when something was read. It may be nil.
	heard func()
}

const unlimited = -1

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errors.Wrapf(errNoAnswer, "the header exceeds %d bytes", maxHeadBytes)
	}
	if l.left != unlimited {
		p = p[:min(len(p), l.left)]
	}
	n, err := l.reader.Read(p)
	if l.left != unlimited {
		l.left -= n
	}
	if n > 0 && l.heard != nil {
		l.heard()
	}
	return n, err
}

// limitHead bounds the bytes that are read from the connection until unlimitHead.
func (c *Conn) limitHead(bytes int) { c.headLimit.left = bytes }

// unlimitHead removes the bound, and returns how many bytes were left.
func (c *Conn) unlimitHead() int {
	left := c.headLimit.left
	c.headLimit.left = unlimited
	return left
}

// usable reports whether an idle connection can be used for a request: it has
// not expired, no data has arrived on it and the target has not closed it.
func (c *Conn) usable(now time.Time) bool {
	if !now.Before(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && noData
}

// idleTimeout returns how long the connection of a response may be idle, from
// the timeout in the Keep-Alive header.
func idleTimeout(r *http.Response) time.Duration {
	for _, field := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, 0)
	}
	return defaultIdleTimeout
}
