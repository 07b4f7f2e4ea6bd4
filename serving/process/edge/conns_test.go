package edge

import (
	"net"
	"net/http"
	"testing"
	"time"

	"carobspoke.example/core/version/routing"
)

// Connections wait in each state while the limits change. Only those that exceed
// the limits in force may be closed.
func TestConnectionsBeyondLimitsAreClosed(t *testing.T) {
	c := newCallerConns()
	ends := make(map[http.ConnState]net.Conn)
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle, http.StateActive} {
		ours, theirs := net.Pipe()
		ends[state] = theirs
		c.stateChanged(ours, http.StateNew)
		c.stateChanged(ours, state)
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
		c.closeExpired(&step.limits, time.Now().Add(step.after))
		for state, end := range ends {
			if got := open(end); got != step.open[state] {
				t.Errorf("step %d: open state of the %s connection is %t", i, state, got)
			}
		}
	}
}

// open reports whether the other end of a pipe is open. net.Pipe refuses a
// deadline after either end was closed.
func open(conn net.Conn) bool { return conn.SetReadDeadline(time.Now().Add(time.Hour)) == nil }

func TestIdleConnectionsFollowChangedLimit(t *testing.T) {
	c := newCallerConns()
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	c.stateChanged(a, http.StateIdle)
	c.closeExpired(&routing.Limits{IdleTimeout: time.Minute}, time.Now().Add(80*time.Second))
	if len(c.waiting) != 1 {
		t.Fatal("connection was closed within the limit and its tolerance")
	}
	c.closeExpired(&routing.Limits{IdleTimeout: time.Second}, time.Now().Add(80*time.Second))
	if len(c.waiting) != 0 {
		t.Fatal("connection is still tracked after the limit was lowered")
	}
	if _, err := a.Write([]byte("x")); err == nil {
		t.Fatal("connection was not closed")
	}
}
