package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carobspoke.example/core/names"
)

// bucket is a customer's token bucket at one daemon.
type bucket struct {
	quota float64
	// level may be below zero: a request larger than the bucket is admitted
	// by a level above zero and paid for afterwards.
	level   float64
	filled  time.Time
	rate    float64
	expires time.Time
	// renew is when the lease must be renewed.
	renew time.Time
	// cut is true while the home does not answer.
	cut bool
	// demand is the average of what callers asked for, in tokens a second,
	// and asked what they asked for since averaged.
	demand   float64
	asked    float64
	averaged time.Time
	reported float64
	fraction float64
}

// Local decides at one daemon whether a customer is within its quota.
type Local struct {
	config  Config
	members int
	buckets map[names.Customer]*bucket
}

// NewLocal returns a Local without customers; these have no quota.
func NewLocal(config Config) *Local {
	return &Local{config: config, members: 1, buckets: make(map[names.Customer]*bucket)}
}

// SetQuotas replaces the quotas, from the manifest in force. A customer that
// stays keeps its bucket.
func (l *Local) SetQuotas(now time.Time, quotas []Quota) {
	next := make(map[names.Customer]*bucket, len(quotas))
	for _, q := range quotas {
		if q.Rate <= 0 || len(next) >= MaxCustomers {
			continue
		}
		b, ok := l.buckets[q.Customer]
		if !ok {
			b = &bucket{filled: now, averaged: now}
		}
		b.quota = q.Rate
		if !ok {
			b.level = l.rate(b, now) * l.config.Burst.Seconds()
		}
		next[q.Customer] = b
	}
	l.buckets = next
}

// SetMembers says how many daemons there are, the unreachable ones included.
func (l *Local) SetMembers(n int) { l.members = max(1, n) }

// Admit reports whether a request of so many tokens is within the customer's
// quota, and takes them; if not, when to come back.
func (l *Local) Admit(customer names.Customer, tokens int, now time.Time) (ok bool, retryAfter time.Duration) {
	b, found := l.buckets[customer]
	if !found {
		return true, 0
	}
	l.average(b, now)
	b.asked += float64(tokens)
	rate := l.fill(b, now)
	if b.level > 0 {
		b.level -= float64(tokens)
		return true, 0
	}
	seconds := math.Min((1-b.level)/math.Max(rate, 1e-9), maxRetryAfter.Seconds())
	return false, time.Duration(seconds * float64(time.Second))
}

// maxRetryAfter bounds the time after which a refused caller is told to return.
const maxRetryAfter = time.Minute

// Refund gives back tokens of a request that used fewer than it was admitted
// for.
func (l *Local) Refund(customer names.Customer, tokens int) {
	if b, ok := l.buckets[customer]; ok {
		b.level += float64(tokens)
	}
}

// rate is what the daemon may use of a customer's quota now.
func (l *Local) rate(b *bucket, now time.Time) float64 {
	equal := b.quota / float64(l.members)
	switch {
	case now.Before(b.expires):
		return b.rate
	case b.cut:
		return equal
	default:
		return equal * (1 - l.config.Leased)
	}
}

func (l *Local) fill(b *bucket, now time.Time) float64 {
	rate := l.rate(b, now)
	b.level += rate * now.Sub(b.filled).Seconds()
	b.level = min(b.level, max(1, rate*l.config.Burst.Seconds()))
	b.filled = now
	return rate
}

// average folds what was asked since the last time into the demand.
func (l *Local) average(b *bucket, now time.Time) {
	elapsed := now.Sub(b.averaged)
	if elapsed < l.config.Window/4 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / l.config.Window.Seconds())
	b.demand = keep*b.demand + (1-keep)*b.asked/elapsed.Seconds()
	b.asked = 0
	b.averaged = now
}

// Due returns the demands to report now, those that need it most first: new ones
// and those that outgrew their lease, and those whose lease must be renewed. A
// lease that is hardly used any more is left to expire.
func (l *Local) Due(now time.Time) []Demand {
	type due struct {
		Demand
		gap float64
	}
	var found []due
	for customer, b := range l.buckets {
		l.average(b, now)
		if !l.needs(b, now) {
			continue
		}
		gap := math.Abs(b.demand-l.rate(b, now)) / b.quota
		found = append(found, due{Demand{customer, b.demand}, gap})
	}
	slices.SortFunc(found, func(a, b due) int {
		return cmp.Or(cmp.Compare(b.gap, a.gap), cmp.Compare(a.Customer, b.Customer))
	})
	demands := make([]Demand, len(found))
	for i, d := range found {
		demands[i] = d.Demand
	}
	return demands
}

func (l *Local) needs(b *bucket, now time.Time) bool {
	small := b.quota / float64(l.members) * (1 - l.config.Leased)
	leased := now.Before(b.expires)
	if b.demand <= small {
		return false
	}
	if !leased || !now.Before(b.renew) {
		return true
	}
	return b.demand > b.rate && b.demand > b.reported*(1+l.config.Change)
}

// Granted takes in grants. now is when the report was sent, so that a slow
// answer does not lengthen the lease.
func (l *Local) Granted(now time.Time, grants []Grant) {
	for _, g := range grants {
		b, ok := l.buckets[g.Customer]
		if !ok {
			continue
		}
		l.fill(b, now)
		b.rate = max(0, g.Rate)
		b.renew = now.Add(g.Lease / 2)
		b.expires = now.Add(g.Lease)
		b.reported = b.demand
		b.fraction = g.Fraction
		b.cut = false
	}
}

// Unanswered tells that the home of customers did not answer a report.
func (l *Local) Unanswered(demands []Demand) {
	for _, d := range demands {
		if b, ok := l.buckets[d.Customer]; ok {
			b.cut = true
		}
	}
}

// Rate returns what the daemon may use of a customer's quota now, in tokens a
// second; false if the customer has no quota.
func (l *Local) Rate(customer names.Customer, now time.Time) (float64, bool) {
	b, ok := l.buckets[customer]
	if !ok {
		return 0, false
	}
	return l.rate(b, now), true
}

// Fraction returns this daemon's part of the customer's whole demand, as the
// home last told it, or its equal part of the fleet.
func (l *Local) Fraction(customer names.Customer, now time.Time) float64 {
	if b, ok := l.buckets[customer]; ok && now.Before(b.expires) {
		return b.fraction
	}
	return 1 / float64(l.members)
}
