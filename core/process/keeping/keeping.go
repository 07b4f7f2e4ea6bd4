// Package keeping holds the decisions of a keeper: whether it may send orders to
// a target, which of the target's streams and handles are no longer needed, and
// how often to poll. IDs of streams and handles contain their owner and deadline,
// so that any keeper can decide without a table that could be lost.
//
// All types are pure and not safe for concurrent use.
package keeping

import "time"

// Lease decides whether a daemon may send orders to a target. It depends only on
// the daemon's own observations: the daemon must have been the first keeper among
// the live members for LeaseSettleTime without a gap, and the last observation
// must not be older than MaxObservationAge. A process that was paused therefore
// has to observe that it is the first keeper for LeaseSettleTime again.
//
// Two daemons with different views may hold the lease at once. Orders are
// designed so that this is harmless.
type Lease struct {
	firstSince   time.Time
	lastObserved time.Time
	first        bool
}

// Timing of a lease.
const (
	// LeaseSettleTime is how long a daemon must have been the first keeper
	// before it may send orders.
	LeaseSettleTime = 2 * time.Second
	// MaxObservationAge is the age above which an observation is stale.
	MaxObservationAge = time.Second
)

// Observe records whether the daemon is the first keeper, according to a current
// view of the members.
func (l *Lease) Observe(now time.Time, first bool) {
	interrupted := now.Sub(l.lastObserved) > MaxObservationAge || !l.first
	l.first, l.lastObserved = first, now
	if first && interrupted {
		l.firstSince = now
	}
}

// Holds reports whether the daemon may send orders now. Callers check it again
// immediately before they send one.
func (l *Lease) Holds(now time.Time) bool {
	return l.first && now.Sub(l.lastObserved) <= MaxObservationAge && now.Sub(l.firstSince) >= LeaseSettleTime
}
