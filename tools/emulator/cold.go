package emulator

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"carobspoke.example/platform"
)

// Warmup is how the targets of a service warm up.
type Warmup struct {
	// Time is how long a target is cold after its start and after its data centre was
	// taken back. Rate is the number of requests a second that it bears meanwhile.
	Time time.Duration
	Rate float64
	// Overage and Slack are the bounds of the settings: Rate times Overage and Slack more
	// may arrive within a second.
	Overage, Slack float64
}

const (
	coldWindow = time.Second
	// coldCrashFactor is how many times the number of requests that may arrive within
	// coldWindow crash a cold target.
	coldCrashFactor = 2
)

// allowed returns how many requests may arrive within coldWindow.
func (w *Warmup) allowed() int { return int(w.Rate*w.Overage + w.Slack) }

// BeginCold makes the target cold for a time from now on. The daemons are held to its rate
// once they have had a notice to learn of it; they know of a target that is cold already. A
// target without Warmup is never cold.
func (t *Target) BeginCold(left, notice time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Warmup.Rate <= 0 {
		return
	}
	now := time.Now()
	if t.coldLeft(now) == 0 {
		t.coldBoundFrom, t.coldArrivals = now.Add(notice), nil
	}
	t.coldUntil = now.Add(left)
}

// ColdLeft returns how much longer the target is cold.
func (t *Target) ColdLeft() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coldLeft(time.Now())
}

// coldLeft is ColdLeft at a time. The caller holds mu.
func (t *Target) coldLeft(now time.Time) time.Duration { return max(t.coldUntil.Sub(now), 0) }

// markCold states in an answer how much longer the target is cold. Targets that are never
// cold state nothing.
func (t *Target) markCold(h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Warmup.Rate > 0 {
		h.Set(platform.HeaderCold, strconv.FormatInt(t.coldLeft(time.Now()).Milliseconds(), 10))
	}
}

// checkCold counts a request of a caller or an order that reserves memory. It records a
// violation if more than allowed have arrived within coldWindow over an undisturbed link,
// and crashes the target if they are more than coldCrashFactor times as many.
func (t *Target) checkCold() {
	count, allowed := t.countCold(time.Now())
	if count <= allowed {
		return
	}
	if t.linkStable() {
		t.checker.recordOnceOf(t.ID, "target %s, which is cold and bears %g requests a second, got %d requests in %s, %d are allowed",
			t.ID, t.Warmup.Rate, count, coldWindow, allowed)
	}
	if count > coldCrashFactor*allowed {
		t.crash(func() {})
	}
}

// countCold counts a request, and returns how many have arrived within coldWindow and how
// many may. The count is zero while the target is warm, or its daemons have notice.
func (t *Target) countCold(now time.Time) (count, allowed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.coldLeft(now) == 0 || now.Before(t.coldBoundFrom) {
		return 0, 0
	}
	t.coldArrivals = append(slices.DeleteFunc(t.coldArrivals, func(at time.Time) bool { return now.Sub(at) > coldWindow }), now)
	return len(t.coldArrivals), t.Warmup.allowed()
}

// crash ends the target while it serves a request. record is called unless the target has
// crashed before.
func (t *Target) crash(record func()) {
	t.crashOnce.Do(func() {
		record()
		if t.Crashed != nil {
			t.Crashed()
		}
		t.Crash()
	})
	panic(http.ErrAbortHandler)
}
