// Package gossip holds the queue of updates that a daemon still has to pass
// on, and decides which of them go into the next datagram.
//
// Each update is sent a limited number of times, so that the work for one
// update is bounded by the logarithm of the fleet's size. Kinds have a fixed
// order of priority: when a datagram is too small for all that waits, the
// lower kinds wait. Within a kind the update that was sent least goes first, and
// among these the newest. A
// kind holds at most Limits.Entries updates; beyond that the update that was
// sent most often is evicted, since most peers have it already.
//
// A Queue is not safe for concurrent use. It reads no clock and draws no
// random numbers.
package gossip

// Kind is what an update is about. Smaller kinds go first.
type Kind uint8

// Kinds in order of priority.
const (
	// Version announces a manifest version and the digest of its root.
	Version Kind = iota
	// Member is a change of a member's state.
	Member
	// Crash is the digest of a request that crashed targets.
	Crash
	// Load is a daemon's headroom by model.
	Load
	// Kinds is the number of kinds.
	Kinds
)

// String returns the kind's name in metrics.
func (k Kind) String() string {
	switch k {
	case Version:
		return "version"
	case Member:
		return "member"
	case Crash:
		return "crash"
	case Load:
		return "load"
	default:
		return "unknown"
	}
}

// Entry is an update to be passed on.
type Entry[T any] struct {
	Kind Kind
	// Key says what the update is about; a later update with the same kind
	// and key replaces it.
	Key string
	// Bytes is the size of the update in a datagram.
	Bytes int
	Value T
}

// Limits bound the updates of one kind.
type Limits struct {
	// Entries is the largest number of updates held.
	Entries int
	// Transmits is how often an update is sent.
	Transmits int
}

// Counters count what happened to the updates of one kind.
type Counters struct {
	// Added counts updates accepted, Replaced those that took another's
	// place, Evicted those dropped for want of room.
	Added    uint64
	Replaced uint64
	Evicted  uint64
	// Sent counts transmissions and SentBytes their bytes.
	Sent      uint64
	SentBytes uint64
	// Finished counts updates sent as often as their limit allows.
	Finished uint64
	// Deferred counts updates that were due but found the datagram full.
	Deferred uint64
}
