package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleFactor is how many times the published limit a connection may idle:
// callers come back until just before the limit, and their clock runs from
// when they saw the answer.
const idleFactor = 1.5

// idleConns closes callers' connections that idle for too long. The limit may
// change while a connection idles, so that http.Server's own cannot be used.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: make(map[net.Conn]time.Time)} }

// changed is an http.Server's ConnState.
func (c *idleConns) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.since[conn] = time.Now()
		return
	}
	delete(c.since, conn)
}

func (c *idleConns) sweep(limit time.Duration, now time.Time) {
	if limit <= 0 {
		return
	}
	longest := time.Duration(idleFactor * float64(limit))
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.since {
		if now.Sub(since) > longest {
			_ = conn.Close() // nothing is on its way
			delete(c.since, conn)
		}
	}
}
