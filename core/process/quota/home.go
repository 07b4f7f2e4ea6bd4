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
}

// Home holds the pools of the customers whose home this daemon is.
type Home struct {
	pools map[names.Customer]*bucket
}

// NewHome returns a home without pools.
func NewHome() *Home { return &Home{pools: make(map[names.Customer]*bucket)} }

// Ask takes tokens from a customer's pool if it is above zero. quota is in
// tokens a second.
func (h *Home) Ask(c names.Customer, quota, tokens float64, fleet Fleet, now time.Time) Grant {
	pool := h.pool(c, now)
	rate := fleet.pool(quota)
	pool.fill(rate, now)
	if pool.level <= 0 {
		return Grant{RetryAfter: pool.wait(1, rate)}
	}
	pool.level -= tokens
	return Grant{Tokens: tokens}
}

func (h *Home) pool(c names.Customer, now time.Time) *bucket {
	if pool, ok := h.pools[c]; ok {
		return pool
	}
	evict(h.pools, func(b *bucket) time.Time { return b.at })
	pool := &bucket{at: now}
	h.pools[c] = pool
	return pool
}
