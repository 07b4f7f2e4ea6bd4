// Package keeping holds the decisions of a daemon that keeps targets: whether
// it may order one, and which of a target's streams and handles nobody wants
// any more. Names of streams and handles contain their owner and deadline, so
// that any keeper can decide without a table that could be lost.
//
// All types are pure and not safe for concurrent use.
package keeping

import "time"

// Lease says whether a daemon may give orders to a target. It rests on what
// the daemon itself observes: that it is the first keeper among the live
// members, without a break for Settle, and observed within Fresh. A process
// that was paused holds no lease until it has observed its place anew.
//
// Two daemons with different views may hold it at once; orders are made so
// that this does no harm.
type Lease struct {
	since time.Time
	seen  time.Time
	held  bool
}

// Terms of a lease.
const (
	// Settle is how long a daemon must have been the first keeper.
	Settle = 2 * time.Second
	// Fresh is the age from which an observation says nothing any more.
	Fresh = time.Second
)

// Observe notes whether the daemon is the first keeper by a view of the
// members that is up to date.
func (l *Lease) Observe(now time.Time, first bool) {
	broken := now.Sub(l.seen) > Fresh || !l.held
	l.held, l.seen = first, now
	if first && broken {
		l.since = now
	}
}

// Holds reports whether the daemon may order now. It is asked again
// immediately before an order is sent.
func (l *Lease) Holds(now time.Time) bool {
	return l.held && now.Sub(l.seen) <= Fresh && now.Sub(l.since) >= Settle
}
