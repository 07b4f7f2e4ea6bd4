// Package quota limits each customer's token rate across all daemons to its
// quota, without persistent state.
//
// StaticShare of each quota is divided evenly: every daemon refills a local
// token bucket at quota*StaticShare/daemons without communication. The rest is
// a pool at the customer's home, the daemon that the customer hashes to. A
// daemon whose bucket is too low for a request asks the home once for the
// missing tokens before it admits the request. Customers well below their quota
// therefore cause no messages, and a burst at one daemon draws on a bucket that
// all daemons share.
//
// With each answer the home leases the daemon a larger static part, so that a
// customer with load at many daemons soon causes no more requests to the home.
// The refill rate of the pool is reduced by exactly what the leases add. A
// lease expires at the daemon before it expires at the home.
//
// A daemon asks homes at most MaxAsksPerSecond times a second, so that control
// traffic stays within its budget when many customers are near their quotas.
// Above this rate it admits from its local buckets only.
//
// The static parts and the pool add up to the quota for any number of daemons.
// Unreachable members keep their proportional part: the static part is divided
// by all known daemons and the pool is scaled by the reachable ones, so that
// the two sides of a partition together hand out one quota. A home that starts
// or takes over begins with an empty pool, and refills it for the length of a
// lease as if every daemon held one.
//
// The limit is exceeded in these cases: a request larger than all available
// tokens is admitted if the pool is above zero, and takes the pool below zero;
// while daemons have different views of the members, two homes may each fill a
// pool; and a daemon whose home does not answer admits from its static part,
// overdrawing it by at most one request.
//
// The types are not safe for concurrent use.
package quota

import (
	"time"

	"carobspoke.example/core/names"
)

const (
	// StaticShare is the share of a quota that is divided evenly between the
	// daemons.
	StaticShare = 0.5
	// PrefetchTime is the time for which a daemon requests tokens in advance,
	// at the customer's recent usage rate.
	PrefetchTime = 2 * time.Second
	// MaxAsksPerSecond limits the requests of a daemon to homes. Above it
	// the daemon decides from its local bucket.
	MaxAsksPerSecond = 5
	// AskBurst is the number of requests to homes that a daemon may make at
	// once after it was idle.
	AskBurst = 50
	// LeasedShare replaces StaticShare at daemons that hold a lease.
	LeasedShare = 0.95
	// LeaseTime is the duration of a lease at a daemon in a fleet of up to
	// MaxSmallFleet daemons.
	LeaseTime = 10 * time.Second
	// LargeFleetLeaseTime is the duration of a lease in a larger fleet.
	LargeFleetLeaseTime = 5 * time.Minute
	// LeaseMargin is how much later a lease expires at the home than at the
	// daemon.
	LeaseMargin = 5 * time.Second
	// BurstTime is the time in which an empty bucket fills up.
	BurstTime = 10 * time.Second
	// LargeFleetBurstTime is the burst time of local buckets in a fleet of
	// more than MaxSmallFleet daemons, where a daemon rarely receives
	// requests of a given customer.
	LargeFleetBurstTime = 60 * time.Second
	// MaxSmallFleet is the largest number of daemons for which the short
	// burst and lease times apply.
	MaxSmallFleet = 12
	// MaxCustomers bounds each table. A full table evicts the customer that
	// was idle longest.
	MaxCustomers = 8192
	// DenialTTL is the maximum time for which a daemon caches a home's
	// refusal.
	DenialTTL = time.Second
	// MinRetryAfter is the minimum retry delay returned to callers.
	MinRetryAfter = 50 * time.Millisecond
)

// bucket is a token bucket. Its level may be negative.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// refill adds the tokens that accrued since the last update, at a rate in tokens
// per second, up to the amount that accrues in the burst time.
func (b *bucket) refill(rate float64, burst time.Duration, now time.Time) {
	elapsed := max(now.Sub(b.updatedAt), 0).Seconds()
	b.level = min(b.level+rate*elapsed, max(rate*burst.Seconds(), b.level))
	b.updatedAt = now
}

// timeToLevel returns the time until the bucket reaches a level, at least
// MinRetryAfter.
func (b *bucket) timeToLevel(level, rate float64) time.Duration {
	if rate <= 0 {
		return DenialTTL
	}
	seconds := max(level-b.level, 0) / rate
	return max(time.Duration(seconds*float64(time.Second)), MinRetryAfter)
}

// Fleet is the number of daemons, as seen by this daemon.
type Fleet struct {
	// Live is the number of daemons that respond. Unreachable daemons may
	// still be serving on the other side of a partition.
	Live        int
	Unreachable int
}

// knownDaemons returns the number of live and unreachable daemons, at least one.
func (f Fleet) knownDaemons() float64 { return float64(max(f.Live+f.Unreachable, 1)) }

// staticRate returns the refill rate of one daemon's local bucket, in tokens per
// second.
func (f Fleet) staticRate(quota float64, leased bool) float64 {
	if leased {
		return quota * LeasedShare / f.knownDaemons()
	}
	return quota * StaticShare / f.knownDaemons()
}

// leaseTime returns the duration of a lease at a daemon.
func (f Fleet) leaseTime() time.Duration {
	if f.Live+f.Unreachable > MaxSmallFleet {
		return LargeFleetLeaseTime
	}
	return LeaseTime
}

// burstTime returns the burst time of a daemon's local buckets.
func (f Fleet) burstTime() time.Duration {
	if f.Live+f.Unreachable > MaxSmallFleet {
		return LargeFleetBurstTime
	}
	return BurstTime
}

// poolRate returns the refill rate of the pool on this side of a partition, given
// the number of daemons that hold leases.
func (f Fleet) poolRate(quota float64, leases int) float64 {
	live := float64(max(f.Live, 1))
	added := (LeasedShare - StaticShare) * min(float64(leases), live)
	return quota * ((1-StaticShare)*live - added) / f.knownDaemons()
}

// evictOldest removes the entry with the oldest time if the table is full. Ties
// are broken by the customer's name.
func evictOldest[T any](table map[names.Customer]*T, at func(*T) time.Time) {
	if len(table) < MaxCustomers {
		return
	}
	var oldest names.Customer
	var oldestAt time.Time
	for customer, entry := range table {
		t := at(entry)
		if oldest == "" || t.Before(oldestAt) || (t.Equal(oldestAt) && customer < oldest) {
			oldest, oldestAt = customer, t
		}
	}
	delete(table, oldest)
}
