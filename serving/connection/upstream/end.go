package upstream

import (
	"context"
	"sync"
	"syscall"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/replicas"
	"github.com/pkg/errors"
)

const (
	// EndCheckTimeout bounds a check of EndChecker.
	EndCheckTimeout = 100 * time.Millisecond
	// secondDialDelay is the time between the two connection attempts of a check. The
	// listener of a process that ends may be closed after its connections.
	secondDialDelay = 25 * time.Millisecond
	// endKeptFor is how long the result that an incarnation has ended is kept.
	endKeptFor = 10 * time.Second
)

// EndChecker tells the end of a target from the end of a single connection to it: a
// target that has ended refuses connections. It is safe for concurrent use.
type EndChecker struct {
	dial Dialer

	mu     sync.Mutex
	checks map[replicas.Incarnation]*endCheck
}

// endCheck is a check that runs, or one that has found that the target has ended.
type endCheck struct {
	done  chan struct{}
	ended bool
	at    time.Time
}

// NewEndChecker returns an EndChecker that connects with dial. An error that is
// syscall.ECONNREFUSED must be proof that the target refuses connections, not only those of
// this host.
func NewEndChecker(dial Dialer) *EndChecker {
	return &EndChecker{dial: dial, checks: make(map[replicas.Incarnation]*endCheck)}
}

// Ended reports whether a target refuses connections after one to it broke. Concurrent
// checks of an incarnation share one result, which takes EndCheckTimeout at most. Ended
// returns false if ctx ends before there is a result, and for a target that does not
// answer in time.
func (c *EndChecker) Ended(ctx context.Context, i replicas.Incarnation, address string) bool {
	check, first := c.begin(i)
	if first {
		go c.run(check, i, address)
	}
	select {
	case <-check.done:
		return check.ended
	case <-ctx.Done():
		return false
	}
}

// run performs a check and keeps the result if the target has ended.
func (c *EndChecker) run(check *endCheck, i replicas.Incarnation, address string) {
	ended := c.refusesConnections(i.ID, address)
	c.mu.Lock()
	defer c.mu.Unlock()
	check.ended, check.at = ended, time.Now()
	if !ended {
		delete(c.checks, i)
	}
	close(check.done)
}

// begin returns the check of an incarnation, and whether the caller has to run it.
func (c *EndChecker) begin(i replicas.Incarnation) (*endCheck, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for known, check := range c.checks {
		if check.ended && now.Sub(check.at) > endKeptFor {
			delete(c.checks, known)
		}
	}
	if check, ok := c.checks[i]; ok {
		return check, false
	}
	check := &endCheck{done: make(chan struct{})}
	c.checks[i] = check
	return check, true
}

// refusesConnections reports whether a target refuses one of two connections.
func (c *EndChecker) refusesConnections(id names.Target, address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), EndCheckTimeout)
	defer cancel()
	if c.refused(ctx, id, address) {
		return true
	}
	timer := time.NewTimer(secondDialDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return c.refused(ctx, id, address)
	case <-ctx.Done():
		return false
	}
}

func (c *EndChecker) refused(ctx context.Context, id names.Target, address string) bool {
	conn, err := c.dial(ctx, id, address)
	if err == nil {
		_ = conn.Close() // nothing was sent
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
