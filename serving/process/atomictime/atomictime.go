// Package atomictime provides a time.Time that goroutines can share.
package atomictime

import (
	"sync/atomic"
	"time"
)

// Time is an atomic time.Time. It keeps the monotonic clock reading, so that
// steps of the wall clock do not change ages; an integer of nanoseconds would lose
// the reading. The zero value is not set. It is safe for concurrent use.
type Time struct{ at atomic.Pointer[time.Time] }

// Set sets the time.
func (m *Time) Set(at time.Time) { m.at.Store(&at) }

// Advance sets the time unless a later or equal one is set.
func (m *Time) Advance(at time.Time) {
	for {
		old := m.at.Load()
		if old != nil && !at.After(*old) || m.at.CompareAndSwap(old, &at) {
			return
		}
	}
}

// Get returns the time, or the zero time if none was set.
func (m *Time) Get() time.Time {
	if at := m.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Age returns the time elapsed since the time that was set, or the maximum
// duration if none was set.
func (m *Time) Age() time.Duration { return time.Since(m.Get()) }
