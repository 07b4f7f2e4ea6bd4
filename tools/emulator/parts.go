package emulator

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"carobspoke.example/platform"
)

// Bounds for requests with a part that crashes targets.
const (
	// MaxCrashes is the number of crashes after which a part is to be refused.
	MaxCrashes = 5
	// StableTime is how long after that, and after a disturbance, daemons are not
	// yet bound.
	StableTime = 3 * time.Second
	// maxLateRequests is how many requests with the part may still reach targets.
	maxLateRequests = 3
)

// crashingPart is a part of prompts that crashes the targets that begin to write
// an answer on it.
type crashingPart struct {
	crashes []time.Time
	// late counts the requests that reached targets later than StableTime after the
	// last of MaxCrashes crashes, from daemons in touch.
	late int
}

// AddCrashingPart makes a part crash targets.
func (c *Checker) AddCrashingPart(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts[id] = &crashingPart{}
}

// Crashes returns when a part has crashed targets, and how many requests with it
// reached targets too late.
func (c *Checker) Crashes(id string) (crashes []time.Time, late int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(crashes, c.parts[id].crashes...), c.parts[id].late
}

// crashingPartOf returns the first part of a request that crashes targets, or an
// empty text. The caller's own part, which is the last, never does.
func (c *Checker) crashingPartOf(r *http.Request) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	parts := strings.Split(r.Header.Get(platform.HeaderParts), ",")
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(part, ":")
		if c.parts[id] != nil {
			return id
		}
	}
	return ""
}

// partArrived records that a request with a crashing part reached a target.
func (c *Checker) partArrived(id string, from Sender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	part := c.parts[id]
	if from.InTouch && len(part.crashes) >= MaxCrashes && time.Since(part.crashes[MaxCrashes-1]) > StableTime {
		part.late++
	}
}

func (c *Checker) partCrashed(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts[id].crashes = append(c.parts[id].crashes, time.Now())
}

// CheckCrashingParts records a violation for each part with which too many requests
// reached targets after it had crashed MaxCrashes of them.
func (c *Checker) CheckCrashingParts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, part := range c.parts {
		if part.late > maxLateRequests {
			c.recordViolationLocked("%d requests with part %s reached targets later than %s after it had crashed %d; it crashed %d in all", part.late, id, StableTime, MaxCrashes, len(part.crashes))
		}
	}
}

// crashOn ends the target, which has begun to write the answer to a request with a
// crashing part. Half of the callers receive the head and the first event.
func (t *Target) crashOn(w http.ResponseWriter, r *http.Request, part, attempt string) {
	if next := events(attempt, firstEvent(r)); len(next) > 0 && rand.IntN(2) == 0 {
		_, _ = io.WriteString(w, next[0])         // fails only if the caller has gone
		_ = http.NewResponseController(w).Flush() // fails only if the caller has gone
	}
	t.crash(func() { t.checker.partCrashed(part) })
}
