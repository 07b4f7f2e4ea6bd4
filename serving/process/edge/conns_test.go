package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"carobspoke.example/core/version/routing"
)

// TestConnectionsOverTheLimitsAreClosed lets connections wait in each state,
// under limits that change meanwhile.
func TestConnectionsOverTheLimitsAreClosed(t *testing.T) {
	c := newCallerConns()
	ends := make(map[http.ConnState]net.Conn)
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle, http.StateActive} {
		ours, theirs := net.Pipe()
		ends[state] = theirs
		c.changed(ours, http.StateNew)
		c.changed(ours, state)
	}
	limits := routing.Limits{HeaderTimeout: 2 * time.Second, IdleTimeout: 10 * time.Second}
	steps := []struct {
		after  time.Duration
		limits routing.Limits
		open   map[http.ConnState]bool
	}{
		{2900 * time.Millisecond, limits, map[http.ConnState]bool{http.StateNew: true, http.StateIdle: true, http.StateActive: true}},
		{3100 * time.Millisecond, limits, map[http.ConnState]bool{http.StateIdle: true, http.StateActive: true}},
		{17 * time.Second, limits, map[http.ConnState]bool{http.StateIdle: true, http.StateActive: true}},
		{17 * time.Second, routing.Limits{HeaderTimeout: time.Second}, map[http.ConnState]bool{http.StateIdle: true, http.StateActive: true}},
		{17 * time.Second, routing.Limits{HeaderTimeout: time.Second, IdleTimeout: 9 * time.Second}, map[http.ConnState]bool{http.StateActive: true}},
		{time.Hour, limits, map[http.ConnState]bool{http.StateActive: true}},
	}
	for i, step := range steps {
		c.sweep(&step.limits, time.Now().Add(step.after))
		for state, end := range ends {
			if got := open(end); got != step.open[state] {
				t.Errorf("step %d: %s connection open: %t", i, state, got)
			}
		}
	}
}

// open reports whether the other end of a pipe is open.
func open(conn net.Conn) bool { return conn.SetReadDeadline(time.Now().Add(time.Hour)) == nil }

func TestIdleConnectionsEndAfterTheLimitInForce(t *testing.T) {
	c := newCallerConns()
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	c.changed(a, http.StateIdle)
	c.sweep(&routing.Limits{IdleTimeout: time.Minute}, time.Now().Add(80*time.Second))
	if len(c.waiting) != 1 {
		t.Fatal("closed within the limit and its margin")
	}
	c.sweep(&routing.Limits{IdleTimeout: time.Second}, time.Now().Add(80*time.Second))
	if len(c.waiting) != 0 {
		t.Fatal("kept after the limit was lowered")
	}
	if _, err := a.Write([]byte("x")); err == nil {
		t.Fatal("not closed")
	}
}
