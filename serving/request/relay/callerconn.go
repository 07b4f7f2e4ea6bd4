package relay

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// callerConnKey is the key of the caller's connection in the context of a request.
type callerConnKey struct{}

// ConnContext is the http.Server.ConnContext of a server whose handler is a Relay. A Relay
// needs the connection to break off an answer visibly.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// account is what the connection of a caller accounts for, see package callers. It is not
// there where a server does not bound its connections.
type account interface {
	// GrowHead and GrowBody add bytes of the head and of the body, and report whether there
	// is room for them. GrowHead adds nothing for a head that was counted as it arrived.
	GrowHead(bytes, lines int) bool
	GrowBody(bytes int64, received int) bool
	ShrinkBody(bytes int64)
	// Evicted reports whether the connection gives way to others. Its reads fail then.
	Evicted() bool
	// Serve records that the request was read, and reports whether it may be sent. From
	// then on the connection does not give way.
	Serve() bool
	// Refused counts a request that is refused since there is no room for it.
	Refused()
	// Release records that nothing is kept of the request any more.
	Release()
}

// accountOf returns the account of the connection of a request.
func accountOf(r *http.Request) account {
	if a, ok := r.Context().Value(callerConnKey{}).(account); ok {
		return a
	}
	return noAccount{}
}

// noAccount grants everything.
type noAccount struct{}

func (noAccount) GrowHead(int, int) bool   { return true }
func (noAccount) GrowBody(int64, int) bool { return true }
func (noAccount) ShrinkBody(int64)         {}
func (noAccount) Evicted() bool            { return false }
func (noAccount) Serve() bool              { return true }
func (noAccount) Refused()                 {}
func (noAccount) Release()                 {}

// lingerDefault is the value for net.TCPConn.SetLinger with which a close sends what is
// pending, and lingerReset the one with which it resets the connection.
const (
	lingerDefault = -1
	lingerReset   = 0
)

// endsWithConnection reports whether nothing but the end of the connection marks the end of
// an answer of unknown length to a request. HTTP/1.0 has no chunks.
func endsWithConnection(r *http.Request) bool { return !r.ProtoAtLeast(1, 1) }

// setLinger sets what the close of the caller's connection does, whoever closes it: this
// daemon, or the kernel when the process ends. It returns an error if the connection is
// unknown or of another kind.
func setLinger(r *http.Request, seconds int) error {
	conn, ok := r.Context().Value(callerConnKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.New("relay: the caller's connection is unknown")
	}
	return errors.Wrap(conn.SetLinger(seconds), "relay: set how the caller's connection is closed")
}
