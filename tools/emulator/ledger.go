package emulator

import (
	"fmt"
	"sync"
	"time"

	"carobspoke.example/core/names"
)

// Ledger holds what targets saw of requests, and the promises that this breaks.
// It is safe for concurrent use.
type Ledger struct {
	// DrainBound is how long after its leaving was published a target may
	// still get new requests.
	DrainBound time.Duration

	mu       sync.Mutex
	runs     map[string]int
	promised map[string]bool
	leaving  map[names.Target]time.Time
	broken   []string
}

// NewLedger returns an empty ledger.
func NewLedger(drainBound time.Duration) *Ledger {
	return &Ledger{
		DrainBound: drainBound, runs: make(map[string]int), promised: make(map[string]bool), leaving: make(map[names.Target]time.Time),
	}
}

// Break records a broken promise.
func (l *Ledger) Break(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breakLocked(format, args...)
}

func (l *Ledger) breakLocked(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// Broken returns the promises broken so far.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// Leaving records that a target's leaving was published.
func (l *Ledger) Leaving(id names.Target) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[id] = time.Now()
}

// arrived records that a request reached a target.
func (l *Ledger) arrived(id names.Target, attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since, ok := l.leaving[id]; ok && time.Since(since) > l.DrainBound {
		l.breakLocked("request %s reached target %s %s after it was published as leaving", attempt, id, time.Since(since))
	}
}

// began records that a target runs a request.
func (l *Ledger) began(attempt string, repeatable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[attempt]++
	if l.runs[attempt] > 1 && !repeatable {
		l.breakLocked("request %s may not be repeated and ran %d times", attempt, l.runs[attempt])
	}
	if l.promised[attempt] {
		l.breakLocked("request %s ran after its caller was told that it had not", attempt)
	}
}

// NotRun records that a caller was told that its request, which may not be
// repeated, has not run and never will.
func (l *Ledger) NotRun(attempt string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.promised[attempt] = true
	if l.runs[attempt] > 0 {
		l.breakLocked("request %s had run when its caller was told that it had not", attempt)
	}
}
