package edge

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

func (d *Daemon) answerReady(w http.ResponseWriter, _ *http.Request) {
	ready := !d.stopping() && d.follower.View() != nil
	if d.saidReady.Swap(ready) != ready {
		d.Log.Info("readiness changed", zap.Bool("ready", ready), zap.Bool("stopping", d.stopping()),
			zap.Uint64("revision", d.follower.Revision()), zap.Duration("age", d.follower.Age()))
	}
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// counted counts requests in flight, and asks callers to come back by another
// connection while the daemon stops.
func (d *Daemon) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.active.Add(1)
		defer d.active.Add(-1)
		next.ServeHTTP(closing{ResponseWriter: w, daemon: d}, r)
	})
}

// closing adds the header that ends the connection to answers given while the
// daemon stops.
type closing struct {
	http.ResponseWriter
	daemon *Daemon
}

// WriteHeader implements http.ResponseWriter.
func (c closing) WriteHeader(status int) {
	if c.daemon.stopping() {
		c.Header().Set("Connection", "close")
	}
	c.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (c closing) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// stopping reports whether the daemon was asked to stop.
func (d *Daemon) stopping() bool { return !d.end.Get().IsZero() }

// leaving returns how long the daemon still runs, if it is stopping.
func (d *Daemon) leaving() (time.Duration, bool) {
	end := d.end.Get()
	if end.IsZero() {
		return 0, false
	}
	return time.Until(end), true
}

// Stop order of a drain, in times after the signal.
const (
	// turnAway is how long the balancer may take to send no new connections:
	// two missed looks, one a second, and a margin. What is sent later than
	// 3 s after the signal must be answered whole.
	turnAway = 2600 * time.Millisecond
	// endMargin is how long before the end of the grace time the process
	// ends by itself.
	endMargin = 500 * time.Millisecond
)

// Drain says not ready, serves what still comes until the balancer has turned
// away, and returns when all is answered or the grace time is nearly over. It
// does not stay for longer: where hosts are stopped in turn, each that is out
// leaves fewer in rotation.
func (d *Daemon) Drain() {
	end := time.Now().Add(d.Settings.Grace - endMargin)
	d.end.Set(end)
	d.members.Drain()
	d.Log.Info("stopping", zap.Int64("in_flight", d.active.Load()), zap.Duration("grace", d.Settings.Grace))
	time.Sleep(min(turnAway, time.Until(end)))
	d.Log.Info("taking no more connections", zap.Int64("in_flight", d.active.Load()))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		d.Log.Warn("stopped with requests in flight", zap.Int64("in_flight", d.active.Load()), zap.String("error", err.Error()))
	}
}
