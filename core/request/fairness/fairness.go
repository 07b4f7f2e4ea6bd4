// Package fairness keeps how much of the capacity each customer got of late, in
// relation to its share, so that admission can refuse those that are ahead
// first.
//
// Nothing waits here. A request is admitted if the queue at its target is below
// a limit, and the limit is lower for a customer that got more than the average
// (see Limit). When the fleet is full, the queue settles at the limit of the
// customers that are ahead: they get what the others leave, and a customer
// within its share, whose limit is higher, is hardly ever refused. When the
// fleet is not full, nobody reaches a limit and idle capacity is everyone's. A
// customer that returns finds its share within UsageTime.
//
// A daemon counts what it admits itself. No state is shared: where callers
// reach daemons by way of a balancer, each daemon sees the same proportions.
package fairness

import (
	"math"
	"time"

	"carobspoke.example/core/names"
)

// Limits of a Usage.
const (
	// UsageTime is the time in which usage fades to a third.
	UsageTime = 5 * time.Second
	// MaxCustomers bounds the customers that are told apart.
	MaxCustomers = 8192
	// purgeSlack is the number of customers below which none is forgotten.
	purgeSlack = 64
	// forgotten is the faded usage, in tokens, that counts as none.
	forgotten = 1.0
)

// Usage is what customers got of late. It is not safe for concurrent use. Its
// operations take constant time, averaged over many.
type Usage struct {
	customers map[names.Customer]*use
	total     use // over all customers; its share is the sum of theirs
	purgeAt   int // size of customers that calls for a purge
	purged    time.Time
}

// use is work that fades with time.
type use struct {
	tokens float64
	at     time.Time
	share  float64
}

func (u *use) fade(now time.Time) {
	if now.After(u.at) {
		u.tokens *= math.Exp(-now.Sub(u.at).Seconds() / UsageTime.Seconds())
		u.at = now
	}
}

// New returns an empty record.
func New() *Usage {
	return &Usage{customers: make(map[names.Customer]*use), purgeAt: purgeSlack}
}

// Add notes work that a customer got, in tokens. A share of zero or less
// counts as one.
func (u *Usage) Add(now time.Time, c names.Customer, share float64, tokens int) {
	e := u.entry(now, c)
	if e == nil {
		return
	}
	u.total.share += weight(share) - e.share
	e.share = weight(share)
	e.fade(now)
	e.tokens += float64(tokens)
	u.total.fade(now)
	u.total.tokens += float64(tokens)
}

func (u *Usage) entry(now time.Time, c names.Customer) *use {
	if e := u.customers[c]; e != nil {
		return e
	}
	full := len(u.customers) >= MaxCustomers && now.Sub(u.purged) > UsageTime
	if full || len(u.customers) >= u.purgeAt {
		u.purge(now)
	}
	if len(u.customers) >= MaxCustomers {
		return nil
	}
	e := &use{at: now}
	u.customers[c] = e
	return e
}

// Ratio returns a customer's usage in relation to what all customers that were
// served of late got on average for the same share: one is the average, zero a
// customer that got nothing.
func (u *Usage) Ratio(now time.Time, c names.Customer) float64 {
	e := u.customers[c]
	if e == nil {
		return 0
	}
	e.fade(now)
	u.total.fade(now)
	if u.total.tokens < forgotten {
		return 0
	}
	return (e.tokens / e.share) / (u.total.tokens / u.total.share)
}

// Bounds of Limit.
const (
	// lowest is the part of a limit that is left to a customer far ahead.
	lowest = 0.25
	// highest is what a limit is multiplied with for a customer far behind.
	highest = 1.5
)

// Limit lowers a limit for a customer that is ahead of the average, with the
// square of its ratio, and raises it for one that is behind.
func Limit(limit time.Duration, ratio float64) time.Duration {
	factor := highest
	if ratio > 0 {
		factor = min(highest, 1/ratio)
	}
	if ratio > 1 {
		factor = max(lowest, 1/(ratio*ratio))
	}
	return time.Duration(factor * float64(limit))
}

// purge forgets customers that got nothing for long.
func (u *Usage) purge(now time.Time) {
	for c, e := range u.customers {
		e.fade(now)
		if e.tokens < forgotten {
			u.total.share -= e.share
			delete(u.customers, c)
		}
	}
	u.purged = now
	u.purgeAt = 2*len(u.customers) + purgeSlack
}

func weight(share float64) float64 {
	if share <= 0 {
		return 1
	}
	return share
}
