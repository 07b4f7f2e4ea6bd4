package emulator

import (
	"fmt"
	"sync"
	"time"

	"carobspoke.example/core/names"
)

// Checker records which requests targets receive and execute and what callers
// are told of them, and collects violations of the daemons' guarantees. It is
// safe for concurrent use.
type Checker struct {
	// DrainBound is how long after its entry was published as draining a target
	// may still receive new requests.
	DrainBound time.Duration

	mu             sync.Mutex
	executions     map[string]int
	reportedNotRun map[string]bool
	drainingSince  map[names.Target]time.Time
	// parts are the parts of prompts that crash targets, by ID.
	parts      map[string]*crashingPart
	askedTimes []*askedTime
	// leavingAnswers are the answers that say that their target leaves, and
	// leavingSince when daemons first passed one on.
	leavingAnswers map[answer]bool
	leavingSince   map[link]time.Time
	// limits are the limits that targets name.
	limits     map[names.Target]*namedLimit
	violations []string
	// recorded has the violations that recordOnce has recorded.
	recorded map[violationKey]bool
}

// NewChecker returns a checker without records.
func NewChecker(drainBound time.Duration) *Checker {
	return &Checker{
		DrainBound: drainBound, executions: make(map[string]int), reportedNotRun: make(map[string]bool), drainingSince: make(map[names.Target]time.Time),
		parts: make(map[string]*crashingPart), leavingAnswers: make(map[answer]bool), leavingSince: make(map[link]time.Time),
		limits:   make(map[names.Target]*namedLimit),
		recorded: make(map[violationKey]bool),
	}
}

// RecordViolation records a violated guarantee.
func (c *Checker) RecordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordViolationLocked(format, args...)
}

func (c *Checker) recordViolationLocked(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// Violations returns the violations recorded so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// TargetDraining records that a target's entry was published as draining.
func (c *Checker) TargetDraining(id names.Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince[id] = time.Now()
}

// requestArrived records that a request reached a target.
func (c *Checker) requestArrived(id names.Target, attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if since, ok := c.drainingSince[id]; ok && time.Since(since) > c.DrainBound {
		c.recordViolationLocked("request %s reached target %s %s after it was published as draining", attempt, id, time.Since(since))
	}
}

// executionStarted records that a target executes a request.
func (c *Checker) executionStarted(attempt string, repeatable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.executions[attempt]++
	if c.executions[attempt] > 1 && !repeatable {
		c.recordViolationLocked("request %s may not be repeated and ran %d times", attempt, c.executions[attempt])
	}
	if c.reportedNotRun[attempt] {
		c.recordViolationLocked("request %s ran after its caller was told that it had not", attempt)
	}
}

// ReportedNotRun records that the caller of a request that may not be repeated
// was told that the request has not run and never will.
func (c *Checker) ReportedNotRun(attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportedNotRun[attempt] = true
	if c.executions[attempt] > 0 {
		c.recordViolationLocked("request %s had run when its caller was told that it had not", attempt)
	}
}
