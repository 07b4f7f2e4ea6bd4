// Package quota keeps a customer's token rate over all daemons within its
// quota, with no state that outlives a process.
//
// A part of each quota, StaticShare, is divided evenly: every daemon fills a
// bucket of its own at quota*StaticShare/daemons and asks nobody. The rest is
// a pool at the customer's home, the daemon that the customer hashes to. A
// daemon whose bucket is too low for a request asks the home for what is
// missing, once, before it admits the request. Customers well below their
// quota therefore cost no messages, and a burst at one daemon is known to all
// through one bucket.
//
// With each grant a home leases the daemon a larger static part, so that a
// customer which is busy at many daemons soon needs no questions: the pool gives
// up exactly what its leases add. Leases end at the daemon before they do at the
// home.
//
// A daemon asks AsksPerSecond times a second at most, so that control stays
// within its budget when many customers are near their quotas; beyond that it
// admits from its own bucket only.
//
// The sum of both parts is the quota whatever the number of daemons. Members
// that cannot be reached keep their proportional part: the static part is
// divided by all known daemons and the pool is scaled by the reachable ones,
// so that two sides of a partition hand out one quota between them. A home
// that starts, or takes over, begins with an empty pool, and fills it for the
// length of a lease as if every daemon had one.
//
// What is not promised: a request larger than all that is there is admitted
// when the pool is above zero, which then goes below; while views differ two
// homes may fill a pool each; and a daemon whose home does not answer admits
// from its static part, overdrawing it by at most one request.
//
// The types are not safe for concurrent use.
package quota

import (
	"time"

	"carobspoke.example/core/names"
)

const (
	// StaticShare is the part of a quota that is divided evenly.
	StaticShare = 0.5
	// AskAhead is for how long a daemon asks ahead, by its customers' recent
	// use.
	AskAhead = 2 * time.Second
	// AsksPerSecond bounds the questions of a daemon to homes. Without one
	// left it decides by itself.
	AsksPerSecond = 5
	// AskBurst is the most questions that a daemon saves up.
	AskBurst = 50
	// LeasedShare is the part of a quota that is divided evenly at daemons
	// that hold a lease.
	LeasedShare = 0.95
	// LeaseTime is how long a lease lasts at a daemon of a fleet of up to
	// ManyDaemons.
	LeaseTime = 10 * time.Second
	// ManyLeaseTime is the same in a larger fleet.
	ManyLeaseTime = 5 * time.Minute
	// LeaseMargin is how much longer a lease lasts at the home.
	LeaseMargin = 5 * time.Second
	// BurstTime is how long a bucket fills until it is full.
	BurstTime = 10 * time.Second
	// ManyBurstTime is the same for daemons of a fleet above ManyDaemons,
	// which see each customer rarely.
	ManyBurstTime = 60 * time.Second
	// ManyDaemons is the largest fleet with short bursts and leases.
	ManyDaemons = 12
	// MaxCustomers bounds each table. The customer that was idle longest
	// makes room.
	MaxCustomers = 8192
	// DenialKept bounds how long a home's refusal is remembered.
	DenialKept = time.Second
	// MinRetryAfter is the shortest time to come back after.
	MinRetryAfter = 50 * time.Millisecond
)

// bucket is a token bucket whose level may be negative.
type bucket struct {
	level float64
	at    time.Time
}

// fill lets time pass at a rate in tokens a second, up to what comes in in a
// burst time.
func (b *bucket) fill(rate float64, burst time.Duration, now time.Time) {
	elapsed := max(now.Sub(b.at), 0).Seconds()
	b.level = min(b.level+rate*elapsed, max(rate*burst.Seconds(), b.level))
	b.at = now
}

// wait returns how long the bucket takes to reach a level.
func (b *bucket) wait(level, rate float64) time.Duration {
	if rate <= 0 {
		return DenialKept
	}
	seconds := max(level-b.level, 0) / rate
	return max(time.Duration(seconds*float64(time.Second)), MinRetryAfter)
}

// Fleet says how many daemons there are, by this daemon's view.
type Fleet struct {
	// Live daemons answer; Unreachable ones may be serving on the other side
	// of a partition.
	Live        int
	Unreachable int
}

// known returns all daemons, at least one.
func (f Fleet) known() float64 { return float64(max(f.Live+f.Unreachable, 1)) }

// static returns the rate of one daemon's own bucket.
func (f Fleet) static(quota float64, leased bool) float64 {
	if leased {
		return quota * LeasedShare / f.known()
	}
	return quota * StaticShare / f.known()
}

// lease returns how long a lease lasts.
func (f Fleet) lease() time.Duration {
	if f.Live+f.Unreachable > ManyDaemons {
		return ManyLeaseTime
	}
	return LeaseTime
}

// burst returns the burst time of a daemon's own buckets.
func (f Fleet) burst() time.Duration {
	if f.Live+f.Unreachable > ManyDaemons {
		return ManyBurstTime
	}
	return BurstTime
}

// pool returns the rate of the pool on this side, when so many daemons hold
// leases.
func (f Fleet) pool(quota float64, leases int) float64 {
	live := float64(max(f.Live, 1))
	added := (LeasedShare - StaticShare) * min(float64(leases), live)
	return quota * ((1-StaticShare)*live - added) / f.known()
}

// evict makes room for one more customer in a full table.
func evict[T any](table map[names.Customer]*T, at func(*T) time.Time) {
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
