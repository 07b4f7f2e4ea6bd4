package edge

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

func (d *Daemon) handleReady(w http.ResponseWriter, _ *http.Request) {
	ready := !d.stopping() && d.follower.View() != nil
	if d.lastReady.Swap(ready) != ready {
		d.Log.Info("readiness changed", zap.Bool("ready", ready), zap.Bool("stopping", d.stopping()),
			zap.Uint64("revision", d.follower.Revision()), zap.Duration("age", d.follower.Age()))
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// countRequests counts requests in flight. While the daemon is stopping, it makes
// callers reconnect by a Connection: close header in each response.
func (d *Daemon) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.inFlight.Add(1)
		defer d.inFlight.Add(-1)
		next.ServeHTTP(closingWriter{ResponseWriter: w, daemon: d}, r)
	})
}

// closingWriter adds Connection: close to responses that are sent while the daemon
// is stopping.
type closingWriter struct {
	http.ResponseWriter
	daemon *Daemon
}

// WriteHeader implements http.ResponseWriter.
func (c closingWriter) WriteHeader(status int) {
	if c.daemon.stopping() {
		c.Header().Set("Connection", "close")
	}
	c.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the underlying ResponseWriter.
func (c closingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// stopping reports whether the daemon was asked to stop.
func (d *Daemon) stopping() bool { return !d.stopAt.Get().IsZero() }

// timeLeft returns the time until the process ends, and false if the daemon is
// not stopping.
func (d *Daemon) timeLeft() (time.Duration, bool) {
	end := d.stopAt.Get()
	if end.IsZero() {
		return 0, false
	}
	return time.Until(end), true
}

// Timing of a drain.
const (
	// balancerDelay is the time from the stop signal until the load balancer
	// sends no new connections: two failed readiness checks at an interval of
	// one second, and a margin. Requests sent later than 3 s after the signal
	// must be answered in full.
	balancerDelay = 2600 * time.Millisecond
	// endMargin is how long before the end of the grace time the process
	// exits, so that it is not killed.
	endMargin = 500 * time.Millisecond
)

// Drain reports not ready, serves new requests until the load balancer has
// removed the host from rotation, and returns when all requests are answered or
// endMargin before the grace time ends. It does not wait longer than necessary:
// when hosts are stopped one after another, a host that is draining is missing
// from the rotation.
func (d *Daemon) Drain() {
	end := time.Now().Add(d.Settings.GracePeriod - endMargin)
	d.stopAt.Set(end)
	d.members.Drain()
	d.Log.Info("stopping", zap.Int64("in_flight", d.inFlight.Load()), zap.Duration("grace", d.Settings.GracePeriod))
	time.Sleep(min(balancerDelay, time.Until(end)))
	d.Log.Info("taking no more connections", zap.Int64("in_flight", d.inFlight.Load()))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := d.callerServer.Shutdown(ctx); err != nil {
		d.Log.Warn("stopped with requests in flight", zap.Int64("in_flight", d.inFlight.Load()), zap.String("error", err.Error()))
	}
	d.awaitTunnels(ctx)
}
