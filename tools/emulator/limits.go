package emulator

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/platform"
)

// Bounds of the requests that may reach a target that has named a limit.
const (
	// limitSlackTime is how long after it has passed on an answer with the limit a daemon
	// is not yet bound.
	limitSlackTime = 500 * time.Millisecond
	// limitWindow is the time in which requests are counted. limitFactor times the limit
	// over it, and limitSlack more, may arrive.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// namedLimit is the limit that a target names.
type namedLimit struct {
	rate  float64
	since time.Time
	// answers are the attempts whose answers named it, and told is when daemons first
	// passed one on.
	answers map[string]bool
	told    map[string]time.Time
	// arrivals are the requests of the last limitWindow from daemons that are bound.
	arrivals []time.Time
}

// Limit makes the target name a limit, in requests per second, until the returned function
// is called. A target names the limit that was set last.
func (t *Target) Limit(rate float64) (end func()) {
	t.mu.Lock()
	t.limit = rate
	t.mu.Unlock()
	t.checker.limitSet(t.ID, rate)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.limit == rate {
			t.limit = 0
			t.checker.limitSet(t.ID, 0)
		}
	}
}

// markLimited marks an answer whose head was not sent yet if the target names a limit. It
// reports whether it does.
func (t *Target) markLimited(h http.Header) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limit == 0 {
		h.Del(platform.HeaderLimit)
		return false
	}
	h.Set(platform.HeaderLimit, strconv.FormatFloat(t.limit, 'g', -1, 64))
	return true
}

// limitSet records that a target names another limit from now on, or none if the rate is
// zero.
func (c *Checker) limitSet(id names.Target, rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.limits, id)
	if rate > 0 {
		c.limits[id] = &namedLimit{rate: rate, answers: make(map[string]bool), told: make(map[string]time.Time)}
	}
}

// answeredLimited records that a target has named its limit in the answer to an attempt.
func (c *Checker) answeredLimited(id names.Target, attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.limits[id]
	if !ok {
		return
	}
	l.answers[attempt] = true
	if l.since.IsZero() {
		l.since = time.Now()
	}
}

// limitPassedOn records that a daemon has passed on the answer of a target to an attempt.
// The caller must hold c.mu.
func (c *Checker) limitPassedOn(daemon string, id names.Target, attempt string) {
	if l, ok := c.limits[id]; ok && l.answers[attempt] && l.told[daemon].IsZero() {
		l.told[daemon] = time.Now()
	}
}

// checkLimit checks the requests that have reached a limited target from daemons that it
// had told. The caller must hold c.mu.
func (c *Checker) checkLimit(daemon string, id names.Target, now time.Time) {
	l, ok := c.limits[id]
	if !ok || l.since.IsZero() || now.Sub(l.since) < StableTime {
		return
	}
	if told := l.told[daemon]; told.IsZero() || now.Sub(told) < limitSlackTime {
		return
	}
	l.arrivals = append(slices.DeleteFunc(l.arrivals, func(at time.Time) bool { return now.Sub(at) > limitWindow }), now)
	if allowed := int(limitFactor*limitWindow.Seconds()*l.rate) + limitSlack; len(l.arrivals) > allowed {
		c.recordOnce(link{target: id}, "target %s, which has named a limit of %g a second, got %d requests in %s from daemons that it had told", id, l.rate, len(l.arrivals), limitWindow)
	}
}
