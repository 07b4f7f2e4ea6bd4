package quota

import (
	"time"

	"carobspoke.example/core/names"
)

// Grant is a home's answer.
type Grant struct {
	// Tokens were taken from the pool for the asking daemon; zero means none.
	Tokens float64
	// RetryAfter is when to ask again, if none were.
	RetryAfter time.Duration
	// Lease is how long the asking daemon has the larger static part.
	Lease time.Duration
}

// Home holds the pools of the customers whose home this daemon is.
type Home struct {
	pools map[names.Customer]*pool
}

// pool is what a customer's home holds.
type pool struct {
	bucket
	// leases are the daemons with a larger static part, and when that ends.
	leases map[names.Host]time.Time
	// since is when this daemon began to hold the pool. Leases of a home
	// before it may last a lease time longer.
	since time.Time
	// swept is when leases that have ended were last taken out.
	swept time.Time
}

// sweepEvery is the time between two searches for leases that have ended.
const sweepEvery = 10 * time.Second

// NewHome returns a home without pools.
func NewHome() *Home { return &Home{pools: make(map[names.Customer]*pool)} }

// Ask takes tokens from a customer's pool for a daemon if it is above zero.
// quota is in tokens a second.
func (h *Home) Ask(from names.Host, c names.Customer, quota, tokens float64, fleet Fleet, now time.Time) Grant {
	p := h.pool(c, now)
	p.sweep(now)
	rate := fleet.pool(quota, p.leased(fleet, now))
	p.fill(rate, BurstTime, now)
	lease := fleet.lease()
	p.leases[from] = now.Add(lease + LeaseMargin)
	if p.level <= 0 {
		return Grant{Lease: lease, RetryAfter: p.wait(1, rate)}
	}
	p.level -= tokens
	return Grant{Lease: lease, Tokens: tokens}
}

// leased returns how many daemons may hold leases: all of them while leases of
// an earlier home may last.
func (p *pool) leased(fleet Fleet, now time.Time) int {
	if now.Sub(p.since) < fleet.lease()+LeaseMargin {
		return max(fleet.Live, 1)
	}
	return len(p.leases)
}

func (p *pool) sweep(now time.Time) {
	if now.Sub(p.swept) < sweepEvery {
		return
	}
	p.swept = now
	for host, until := range p.leases {
		if !now.Before(until) {
			delete(p.leases, host)
		}
	}
}

func (h *Home) pool(c names.Customer, now time.Time) *pool {
	if p, ok := h.pools[c]; ok {
		return p
	}
	evict(h.pools, func(p *pool) time.Time { return p.at })
	p := &pool{bucket: bucket{at: now}, leases: make(map[names.Host]time.Time), since: now, swept: now}
	h.pools[c] = p
	return p
}
