package quota

import (
	"time"

	"carobspoke.example/core/names"
)

// Grant is a home's answer.
type Grant struct {
	// Tokens is the number of tokens taken from the pool for the requesting
	// daemon; zero means that the request is denied.
	Tokens float64
	// RetryAfter is the delay before the next request, if Tokens is zero.
	RetryAfter time.Duration
	// Lease is how long the requesting daemon may use the larger static part.
	Lease time.Duration
}

// Home holds the pools of the customers whose home this daemon is.
type Home struct {
	pools map[names.Customer]*pool
}

// pool is the state of one customer at its home.
type pool struct {
	bucket
	// leases maps the daemons that hold a lease to its expiry at the home.
	leases map[names.Host]time.Time
	// createdAt is when this daemon created the pool. Leases granted by a
	// previous home may be valid for one more lease time.
	createdAt time.Time
	// lastSweep is when expired leases were last removed.
	lastSweep time.Time
}

// sweepInterval is the minimum time between two removals of expired leases.
const sweepInterval = 10 * time.Second

// NewHome returns a home without pools.
func NewHome() *Home { return &Home{pools: make(map[names.Customer]*pool)} }

// Grant takes tokens from a customer's pool for a daemon if the pool's level is
// above zero, and extends the daemon's lease in any case. quota is in tokens per
// second.
func (h *Home) Grant(from names.Host, c names.Customer, quota, tokens float64, fleet Fleet, now time.Time) Grant {
	p := h.pool(c, now)
	p.sweep(now)
	rate := fleet.poolRate(quota, p.leaseCount(fleet, now))
	p.refill(rate, BurstTime, now)
	lease := fleet.leaseTime()
	p.leases[from] = now.Add(lease + LeaseMargin)
	if p.level <= 0 {
		return Grant{Lease: lease, RetryAfter: p.timeToLevel(1, rate)}
	}
	p.level -= tokens
	return Grant{Lease: lease, Tokens: tokens}
}

// leaseCount returns the number of daemons that may hold leases. It counts all
// live daemons while leases of a previous home may still be valid.
func (p *pool) leaseCount(fleet Fleet, now time.Time) int {
	if now.Sub(p.createdAt) < fleet.leaseTime()+LeaseMargin {
		return max(fleet.Live, 1)
	}
	return len(p.leases)
}

// sweep removes expired leases, at most once every sweepInterval.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < sweepInterval {
		return
	}
	p.lastSweep = now
	for host, until := range p.leases {
		if !now.Before(until) {
			delete(p.leases, host)
		}
	}
}

// pool returns a customer's pool, creating an empty one if there is none.
func (h *Home) pool(c names.Customer, now time.Time) *pool {
	if p, ok := h.pools[c]; ok {
		return p
	}
	evictOldest(h.pools, func(p *pool) time.Time { return p.updatedAt })
	p := &pool{bucket: bucket{updatedAt: now}, leases: make(map[names.Host]time.Time), createdAt: now, lastSweep: now}
	h.pools[c] = p
	return p
}
