package edge

import (
	"net"
	"net/http"
	"sync"
	"time"

	"carobspoke.example/core/version/routing"
)

// limitTolerance is the factor by which a caller's connection may exceed a
// published limit. Callers may use the limit in full, and they measure it from
// when they received the answer, which is later than when it was sent.
const limitTolerance = 1.5

// callerConns closes callers' connections that are idle for too long or whose
// request header arrives too late. The timeouts of http.Server cannot be used,
// because the limits may change while a connection waits.
type callerConns struct {
	mu      sync.Mutex
	waiting map[net.Conn]connWait
}

// connWait is the state of a connection that waits for a request header, and when
// it entered this state.
type connWait struct {
	since time.Time
	state http.ConnState
}

func newCallerConns() *callerConns { return &callerConns{waiting: make(map[net.Conn]connWait)} }

// stateChanged implements http.Server.ConnState. A connection becomes active when a
// header has been read in full.
func (c *callerConns) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		c.waiting[conn] = connWait{since: time.Now(), state: state}
		return
	}
	delete(c.waiting, conn)
}

// closeExpired closes the connections that have exceeded the limits at now.
func (c *callerConns) closeExpired(l *routing.Limits, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, w := range c.waiting {
		if longest := maxWait(l, w.state); longest > 0 && now.Sub(w.since) > longest {
			_ = conn.Close() // the caller sent no complete header, so no request is lost
			delete(c.waiting, conn)
		}
	}
}

// maxWait returns how long a connection may stay in a state, or zero if the
// limits do not bound it. The limit of an idle connection includes HeaderTimeout,
// because a connection stays idle while the next header is being read.
func maxWait(l *routing.Limits, state http.ConnState) time.Duration {
	limit := l.HeaderTimeout
	if state == http.StateIdle {
		if l.IdleTimeout <= 0 {
			return 0
		}
		limit += l.IdleTimeout
	}
	return time.Duration(limitTolerance * float64(limit))
}
