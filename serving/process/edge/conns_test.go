package edge

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"carobspoke.example/core/process/memory"
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

// Guards against bounds on connections whose sum leaves no descriptors for targets, or whose
// memory leaves none for requests, on the smallest and largest hosts.
func TestConnectionsLeaveRoomOnHosts(t *testing.T) {
	for _, limits := range []hostLimits{{184 << 20, 4100}, {536 << 20, 8192}, {64 << 30, 1 << 20}, {64 << 30, 4100}} {
		descriptors, bytes := 0, int64(0)
		for _, group := range []memory.Group{memory.Callers, memory.Readiness, memory.Metrics, memory.Peers} {
			o := limits.options(group, nil)
			descriptors += o.Connections
			bytes += int64(o.Connections) * o.ConnectionBytes
		}
		if account := memory.ForHost(limits.memory).Limit; descriptors > limits.descriptors*3/4 || bytes > account*3/4 {
			t.Errorf("%+v: %d connections, %d bytes of %d", limits, descriptors, bytes, account)
		}
	}
}

// Guards against settings and metrics that do not reach the account of a daemon.
func TestMetricsOfCallersMemory(t *testing.T) {
	d := fleet(t, 1, func(int) *source { return &source{} })[0]
	_, body := get(t, url(d.Settings.MetricsAddress, "/metrics"))
	for _, line := range []string{
		`carobspoke_memory_account_bytes{class="head"}`, "carobspoke_memory_account_limit_bytes ", "carobspoke_caller_closed_memory 0",
		"carobspoke_caller_closed_head 0", "carobspoke_caller_closed_connections 0", "carobspoke_caller_refused_memory 0",
		`carobspoke_caller_connections{listener="metrics"} 1`,
	} {
		if !strings.Contains(body, line) {
			t.Errorf("the metrics lack %s", line)
		}
	}
}
