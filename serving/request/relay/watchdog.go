package relay

import (
	"sync"
	"time"
)

// watchdogPoll is the time between two looks at a target that has been silent
// on a request for as long as a silent target may be.
const watchdogPoll = 150 * time.Millisecond

// limits are how long a request may go without an event: when its target is
// silent altogether, and when the target answers others.
type limits struct {
	silent, stalled time.Duration
}

// watchdog ends an attempt that goes without an event for too long. Its methods
// are safe for concurrent use.
type watchdog struct {
	silent func() bool // of the target altogether
	// end ends the attempt, or returns false if it has to go on. It is told
	// whether an event has come.
	end func(fed bool) bool

	mu     sync.Mutex
	timer  *time.Timer
	since  time.Time
	limits limits
	fed    bool
	off    bool
}

func newWatchdog(l limits, silent func() bool, end func(fed bool) bool) *watchdog {
	w := &watchdog{silent: silent, end: end, since: time.Now(), limits: l}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(min(l.silent, l.stalled), w.look)
	return w
}

// feed notes an event, from which on the limits hold.
func (w *watchdog) feed(l limits) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.off {
		return
	}
	w.since, w.limits, w.fed = time.Now(), l, true
	w.timer.Reset(min(l.silent, l.stalled))
}

// stop ends the watch.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.off = true
	w.timer.Stop()
}

func (w *watchdog) look() {
	silent := w.silent()
	w.mu.Lock()
	defer w.mu.Unlock()
	waited := time.Since(w.since)
	switch {
	case w.off:
	case waited >= w.limits.stalled, waited >= w.limits.silent && silent:
		if w.off = w.end(w.fed); !w.off {
			w.timer.Reset(watchdogPoll)
		}
	case waited < w.limits.silent:
		w.timer.Reset(w.limits.silent - waited)
	default:
		w.timer.Reset(min(w.limits.stalled-waited, watchdogPoll))
	}
}
