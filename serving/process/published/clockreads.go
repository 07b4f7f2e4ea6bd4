package published

import (
	"context"
	"sync"

	"carobspoke.example/core/names"
)

// maxClockReads bounds the peers that are read from for their clocks at once.
const maxClockReads = 16

// clockReads holds the peers that are being read from for their clocks, or are to be. It is
// safe for concurrent use. Its lock is a leaf lock.
type clockReads struct {
	mu    sync.Mutex
	under map[names.Host]bool
	// due holds those that are to be read from. It has room for all of them.
	due chan names.Host
}

func newClockReads() clockReads {
	return clockReads{under: make(map[names.Host]bool), due: make(chan names.Host, maxClockReads)}
}

// begin has a peer read from, unless it is already or maxClockReads others are. A peer that is
// passed over is asked for by one of its next heartbeats.
func (c *clockReads) begin(from names.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.under[from] || len(c.under) >= maxClockReads {
		return
	}
	c.under[from] = true
	c.due <- from
}

func (c *clockReads) end(from names.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.under, from)
}

// readClocks reads from the peers whose clocks are not known well enough, from each at the same
// time, so that one which does not answer delays no other. Such a read also confirms the records.
// It returns when ctx has ended and all reads have.
func (f *Follower) readClocks(ctx context.Context) {
	var reading sync.WaitGroup
	defer reading.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case from := <-f.clockReads.due:
			reading.Go(func() {
				defer f.clockReads.end(from)
				_ = f.readFrom(ctx, from, f.Position()) // it is logged, and a next heartbeat asks again
			})
		}
	}
}
