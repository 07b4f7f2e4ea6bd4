// Package boottime reads a clock that also runs while the host is suspended, unlike the
// monotonic clock of package time, and that is never set, unlike the wall clock.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted. It returns zero if the system has no such
// clock.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
