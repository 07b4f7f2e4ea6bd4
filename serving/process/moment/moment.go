// Package moment holds instants that goroutines share.
package moment

import (
	"sync/atomic"
	"time"
)

// Moment is an instant. It keeps the monotonic clock's reading, so that steps of
// the wall clock change no age; a number of nanoseconds would lose it. It is safe
// for concurrent use.
type Moment struct{ at atomic.Pointer[time.Time] }

// Set sets the instant.
func (m *Moment) Set(at time.Time) { m.at.Store(&at) }

// Advance sets the instant unless a later one is set.
func (m *Moment) Advance(at time.Time) {
	for {
		old := m.at.Load()
		if old != nil && !at.After(*old) || m.at.CompareAndSwap(old, &at) {
			return
		}
	}
}

// Get returns the instant, or the zero time before the first.
func (m *Moment) Get() time.Time {
	if at := m.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Age returns how long ago the instant was, or the longest duration before the
// first.
func (m *Moment) Age() time.Duration { return time.Since(m.Get()) }
