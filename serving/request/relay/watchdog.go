package relay

import (
	"sync"
	"time"
)

// watchdogPollInterval is the time between two checks of an attempt that has
// waited for the unresponsive timeout or longer.
const watchdogPollInterval = 150 * time.Millisecond

// eventTimeouts are how long a request may wait for an event: unresponsive
// applies if its target sends nothing at all, stalled if the target still
// answers other requests.
type eventTimeouts struct {
	unresponsive, stalled time.Duration
}

// watchdog ends an attempt that receives no event in time. Its methods are safe
// for concurrent use.
type watchdog struct {
	unresponsive func() bool // reports whether the target sends nothing at all
	// expire ends the attempt, or returns false if the attempt must continue.
	// eventSeen is true if an event has arrived.
	expire func(eventSeen bool) bool

	mu        sync.Mutex
	timer     *time.Timer
	lastEvent time.Time // or the start if no event was seen
	timeouts  eventTimeouts
	eventSeen bool
	stopped   bool
}

func newWatchdog(l eventTimeouts, unresponsive func() bool, expire func(eventSeen bool) bool) *watchdog {
	w := &watchdog{unresponsive: unresponsive, expire: expire, lastEvent: time.Now(), timeouts: l}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(min(l.unresponsive, l.stalled), w.check)
	return w
}

// reset records an event and sets the timeouts of the next one.
func (w *watchdog) reset(l eventTimeouts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.lastEvent, w.timeouts, w.eventSeen = time.Now(), l, true
	w.timer.Reset(min(l.unresponsive, l.stalled))
}

// stop disables the watchdog.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check expires the attempt if a timeout has passed, and sets the timer for the
// next check.
func (w *watchdog) check() {
	unresponsive := w.unresponsive()
	w.mu.Lock()
	defer w.mu.Unlock()
	waited := time.Since(w.lastEvent)
	switch {
	case w.stopped:
	case waited >= w.timeouts.stalled, waited >= w.timeouts.unresponsive && unresponsive:
		if w.stopped = w.expire(w.eventSeen); !w.stopped {
			w.timer.Reset(watchdogPollInterval)
		}
	case waited < w.timeouts.unresponsive:
		w.timer.Reset(w.timeouts.unresponsive - waited)
	default:
		w.timer.Reset(min(w.timeouts.stalled-waited, watchdogPollInterval))
	}
}
