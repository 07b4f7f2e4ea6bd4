// Package quota divides a customer's quota of tokens a second among the daemons
// that use it, without shared state.
//
// The home of a customer, a daemon found by rendezvous hashing, leases rates to
// the daemons that report demand, by weighted max-min: nobody gets more than it
// asks for while another one wants more than it has. While there is enough, each
// gets some headroom, and the rest stays free for whoever asks next. A rate that is leased is not leased again
// until it expires or its holder renews it for less, so that the leases of one
// home never exceed the quota. Holders renew at half the lease.
//
// The quota is kept in two parts. Leased is what the home divides. The rest
// belongs to daemons that have no lease, each an equal part of it. A daemon
// whose home does not answer takes its equal part of the whole quota instead,
// and a home leaves out the parts of members that it can't reach, so that the
// two sides of a partition together hand out the quota once.
//
// A home that has just become one knows of no leases that its predecessor gave;
// for one lease period it gives equal parts only.
//
// With many daemons the homes form a tree of two levels: a daemon reports to the
// home in its data centre, which reports the sum to the customer's home. Home is
// the same at both levels.
//
// The package is pure. Its types are not safe for concurrent use.
package quota

import (
	"time"

	"carobspoke.example/core/names"
)

// Config holds the settings of leases.
type Config struct {
	// Lease is how long a grant lasts.
	Lease time.Duration
	// Calm is the share of the capacity up to which demand counts as calm:
	// grants then last LongLease, since nobody is short of anything.
	Calm      float64
	LongLease time.Duration
	// Headroom is how much more than its demand a claim gets while there is
	// enough for all, as a factor.
	Headroom float64
	// Leased is the share of a quota that a home divides.
	Leased float64
	// Change is the relative rise of demand above what was reported that is
	// reported at once, if the grant does not cover it.
	Change float64
	// Burst is how much of its rate a daemon's bucket holds.
	Burst time.Duration
	// Window is the time over which demand is averaged.
	Window time.Duration
}

// Bounds.
const (
	// MaxCustomers bounds the customers of one table.
	MaxCustomers = 8192
	// MaxChildren bounds the daemons that share one customer's quota.
	MaxChildren = 4096
	// DirectDaemons is the fleet up to which daemons report to the
	// customer's home itself.
	DirectDaemons = 64
)

// DefaultConfig returns the settings of this release.
func DefaultConfig() Config {
	return Config{
		Lease:     6 * time.Second,
		Calm:      0.8,
		LongLease: 24 * time.Second,
		Headroom:  1.25,
		Leased:    0.9,
		Change:    0.25,
		Burst:     2 * time.Second,
		Window:    2 * time.Second,
	}
}

// Demand is a rate that a daemon wants for a customer, in tokens a second.
type Demand struct {
	Customer names.Customer
	Rate     float64
}

// Grant is a lease of a rate, in tokens a second.
type Grant struct {
	Customer names.Customer
	Rate     float64
	// Lease is how long the grant lasts, from its sending.
	Lease time.Duration
	// Fraction is the holder's part of the customer's whole demand. A daemon
	// weighs a customer by its share times this fraction when it is full.
	Fraction float64
}

// Quota is a customer's quota in tokens a second.
type Quota struct {
	Customer names.Customer
	Rate     float64
}
