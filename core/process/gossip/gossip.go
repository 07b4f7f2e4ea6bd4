// Package gossip implements the queue of updates that a daemon still has to
// send to its peers, and selects those that go into the next datagram.
//
// Each update is sent a limited number of times, so that the work for one
// update is bounded by the logarithm of the fleet's size. Kinds have a fixed
// order of priority: when a datagram is too small for all queued updates, those
// of lower kinds are deferred. Within a kind the update that was sent least
// often goes first, and among these the newest. A kind holds at most
// Limits.MaxEntries updates; beyond that the update that was sent most often is
// evicted, since most peers have it already.
//
// A Queue is not safe for concurrent use. It reads no clock and uses no random
// numbers.
package gossip

// Kind is the subject of an update. Smaller kinds have a higher priority.
type Kind uint8

// Kinds in order of priority.
const (
	// Version is a manifest version with the digest of its root.
	Version Kind = iota
	// Member is a change of a member's state.
	Member
	// Crash is the digest of a request that crashed targets.
	Crash
	// Load is the free capacity of a daemon for each model.
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

// Entry is an update to be sent to peers.
type Entry[T any] struct {
	Kind Kind
	// Key identifies the subject of the update. A later update with the
	// same kind and key replaces it.
	Key string
	// Bytes is the size of the update in a datagram.
	Bytes int
	Value T
}

// Limits holds the limits of the queue for one kind.
type Limits struct {
	// MaxEntries is the maximum number of updates held.
	MaxEntries int
	// MaxTransmits is how often an update is sent.
	MaxTransmits int
}

// Counters holds the counters of the updates of one kind.
type Counters struct {
	// Added counts updates accepted, Replaced queued updates replaced by a
	// later one with the same key, and Evicted updates dropped because of the
	// limits.
	Added    uint64
	Replaced uint64
	Evicted  uint64
	// Sent counts transmissions and SentBytes their bytes.
	Sent      uint64
	SentBytes uint64
	// Finished counts updates that were sent MaxTransmits times.
	Finished uint64
	// Deferred counts how often the next update of a kind did not fit into
	// a datagram.
	Deferred uint64
}
