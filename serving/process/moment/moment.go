// Package moment provides a time.Time that goroutines can share.
package moment

import (
	"sync/atomic"
	"time"
)

// AtomicTime is an atomic time.Time. It keeps the monotonic clock reading, so that
// steps of the wall clock do not change ages; an integer of nanoseconds would lose
// the reading. The zero value is not set. It is safe for concurrent use.
type AtomicTime struct{ at atomic.Pointer[time.Time] }

// Set sets the time.
func (m *AtomicTime) Set(at time.Time) { m.at.Store(&at) }

// Advance sets the time unless a later or equal one is set.
func (m *AtomicTime) Advance(at time.Time) {
	for {
		old := m.at.Load()
		if old != nil && !at.After(*old) || m.at.CompareAndSwap(old, &at) {
			return
		}
	}
}

// Get returns the time, or the zero time if none was set.
func (m *AtomicTime) Get() time.Time {
	if at := m.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Age returns the time elapsed since the time that was set, or the maximum
// duration if none was set.
func (m *AtomicTime) Age() time.Duration { return time.Since(m.Get()) }
