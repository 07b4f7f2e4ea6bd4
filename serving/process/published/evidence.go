package published

import (
	"sync/atomic"
	"time"

	"carobspoke.example/core/names"
)

// Origin is what a confirmation of the records was learnt from.
type Origin string

// Origins of a confirmation.
const (
	// FromSource is an answer of the source to this daemon.
	FromSource Origin = "source"
	// FromPeer is a read from a peer.
	FromPeer Origin = "peer"
	// FromHeartbeat is a heartbeat of a daemon that watches the source, or of a relay.
	FromHeartbeat Origin = "heartbeat"
)

// Evidence is a confirmation of the records and what it rests on.
type Evidence struct {
	// ConfirmedAt is the moment as of which the records are known to be complete, zero
	// before the first confirmation.
	ConfirmedAt time.Time
	Origin      Origin
	// From is the daemon that it was learnt from, empty for the source.
	From names.Host
}

// evidenceCell holds the latest evidence. It is safe for concurrent use.
type evidenceCell struct{ latest atomic.Pointer[Evidence] }

// get returns the latest evidence, or the zero value if there is none.
func (c *evidenceCell) get() Evidence {
	if e := c.latest.Load(); e != nil {
		return *e
	}
	return Evidence{}
}

// advance replaces the evidence unless a later or equal moment is known.
func (c *evidenceCell) advance(e Evidence) {
	for {
		old := c.latest.Load()
		if old != nil && !e.ConfirmedAt.After(old.ConfirmedAt) || c.latest.CompareAndSwap(old, &e) {
			return
		}
	}
}
