package edge

import (
	"net"
	"net/http"
	"sync"
	"time"

	"carobspoke.example/core/version/routing"
)

// patience is how many times a published limit a caller's connection may take:
// callers stay just within the limit, and their clock starts when they saw the
// answer.
const patience = 1.5

// callerConns closes callers' connections that idle, or take to their first
// header, for too long. The limits may change while a connection waits, so that
// http.Server's own cannot be used.
type callerConns struct {
	mu      sync.Mutex
	waiting map[net.Conn]wait
}

// wait is what a connection owes since when.
type wait struct {
	since time.Time
	state http.ConnState
}

func newCallerConns() *callerConns { return &callerConns{waiting: make(map[net.Conn]wait)} }

// changed is an http.Server's ConnState. A connection becomes active once a
// whole header has been read.
func (c *callerConns) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew || state == http.StateIdle {
		c.waiting[conn] = wait{since: time.Now(), state: state}
		return
	}
	delete(c.waiting, conn)
}

// sweep closes the connections that are over the limits at now.
func (c *callerConns) sweep(l *routing.Limits, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, w := range c.waiting {
		if longest := longestWait(l, w.state); longest > 0 && now.Sub(w.since) > longest {
			_ = conn.Close() // its caller sent no whole request
			delete(c.waiting, conn)
		}
	}
}

// longestWait returns how long a connection may be in a state; zero if the
// limits do not say. An idle one may be reading the next header.
func longestWait(l *routing.Limits, state http.ConnState) time.Duration {
	limit := l.HeaderTimeout
	if state == http.StateIdle {
		if l.IdleTimeout <= 0 {
			return 0
		}
		limit += l.IdleTimeout
	}
	return time.Duration(patience * float64(limit))
}
