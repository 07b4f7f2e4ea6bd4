// Package upstream carries single attempts to targets over HTTP/1.1.
//
// An attempt is written once and never resent: net/http's Transport repeats
// some requests by itself, which would run a request twice without anybody
// deciding so. The error of an attempt carries a verdict: NotRun only if no
// byte of the request was handed to the socket.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Limits of connections to targets.
const (
	// ConnectTimeout bounds a connect; a target accepts within milliseconds.
	ConnectTimeout = 700 * time.Millisecond
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel gives the connection up.
	UserTimeout = 1800 * time.Millisecond
	// keepAlive* detect a peer that went silent while it owes an answer.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// readBuffer holds a few events of a stream, in bytes.
	readBuffer = 4 << 10
	// idleMargin is how much earlier than the target an idle connection is
	// given up.
	idleMargin = 500 * time.Millisecond
	// defaultIdle is how long a connection is kept if the target says
	// nothing.
	defaultIdle = 2 * time.Second
)

// Conn is one connection to a target.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// idleUntil is when an idle connection is no longer used.
	idleUntil time.Time
}

func dial(ctx context.Context, address string) (*Conn, error) {
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
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &Conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// usable reports whether an idle connection can carry a request: nothing has
// arrived on it and its peer has not closed it.
func (c *Conn) usable(now time.Time) bool {
	if !now.Before(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peek := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peek, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// idleFor returns how long the target keeps the connection of a response.
func idleFor(r *http.Response) time.Duration {
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
	return defaultIdle
}
