package emulator

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// Sender is the daemon from which a request reached a target.
type Sender struct {
	// Incarnation changes with each start, signal and exit of the daemon. It is
	// empty if the daemon is not known.
	Incarnation string
	// InTouch is false while the daemon is excused from bounds in time, since it or
	// its path to the store was disturbed.
	InTouch bool
}

// link identifies a target as seen from an incarnation of a daemon.
type link struct {
	daemon string
	target names.Target
}

// answer identifies the answer of a target to an attempt.
type answer struct {
	target  names.Target
	attempt string
}

// Bounds of the requests that may reach a target that has asked for time.
const (
	// retryAfterSlack is how long after the answer a daemon is not yet bound.
	retryAfterSlack = 500 * time.Millisecond
	// maxEarlyRequests is how many requests of any kind may reach the target from
	// then until the end of the time.
	maxEarlyRequests = 2
)

// askedTime is a time for which a target has asked for no requests of a daemon.
type askedTime struct {
	link
	from, until time.Time
	requests    int
}

// recordOnce records a violation unless one was recorded of the same daemon, target
// and format. The caller holds mu.
func (c *Checker) recordOnce(l link, format string, args ...any) {
	key := violationKey{l, format}
	if !c.recorded[key] {
		c.recordViolationLocked(format, args...)
	}
	c.recorded[key] = true
}

// recordOnceOf is recordOnce for violations of any daemon at a target.
func (c *Checker) recordOnceOf(id names.Target, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordOnce(link{target: id}, format, args...)
}

// violationKey identifies violations of one kind at one link.
type violationKey struct {
	link
	format string
}

// askedForTime records that a target has asked a daemon for time.
func (c *Checker) askedForTime(id names.Target, daemon string, asked time.Duration) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.askedTimes = slices.DeleteFunc(c.askedTimes, func(a *askedTime) bool { return now.After(a.until) })
	if daemon != "" {
		c.askedTimes = append(c.askedTimes, &askedTime{link: link{daemon, id}, from: now.Add(retryAfterSlack), until: now.Add(asked)})
	}
}

// LinkDisturbed excuses all daemons from the times for which a target has asked so
// far: its answers may have been held back.
func (c *Checker) LinkDisturbed(id names.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.askedTimes = slices.DeleteFunc(c.askedTimes, func(a *askedTime) bool { return a.target == id })
}

// answeredLeaving records that a target has marked its answer to an attempt.
func (c *Checker) answeredLeaving(id names.Target, attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingAnswers[answer{id, attempt}] = true
}

// PassedOn records that a daemon has passed on the answer of a target to an
// attempt.
func (c *Checker) PassedOn(daemon string, id names.Target, attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limitPassedOn(daemon, id, attempt)
	known := link{daemon, id}
	if c.leavingAnswers[answer{id, attempt}] && c.leavingSince[known].IsZero() {
		c.leavingSince[known] = time.Now()
	}
}

// concernsSender reports whether requests at a target are checked by sender.
func (c *Checker) concernsSender(id names.Target) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.ContainsFunc(c.askedTimes, func(a *askedTime) bool { return a.target == id }) {
		return true
	}
	if c.limits[id] != nil {
		return true
	}
	for known := range c.leavingSince {
		if known.target == id {
			return true
		}
	}
	return false
}

// arrivedFrom records that a request of any kind reached a target. sentAt is when
// its caller sent it, or zero if it is none of a caller.
func (c *Checker) arrivedFrom(daemon string, id names.Target, attempt string, sentAt time.Time) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.askedTimes {
		if a.link != (link{daemon, id}) || now.Before(a.from) || now.After(a.until) {
			continue
		}
		if a.requests++; a.requests == maxEarlyRequests+1 {
			c.recordOnce(a.link, "more than %d requests reached target %s from %s, the last one %s before the end of the time that it had asked for", maxEarlyRequests, id, daemon, a.until.Sub(now))
		}
	}
	c.checkLimit(daemon, id, now)
	since := c.leavingSince[link{daemon, id}]
	if !since.IsZero() && sentAt.Sub(since) > c.DrainBound {
		c.recordOnce(link{daemon, id}, "request %s reached target %s, sent %s after %s had passed on that the target leaves", attempt, id, sentAt.Sub(since), daemon)
	}
}
