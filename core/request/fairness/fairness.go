// Package fairness tracks how much of the capacity each customer used recently,
// in relation to its share, so that admission refuses the requests of customers
// above their share first.
//
// Requests are not queued here. Admission starts a request if the queue at its
// target is below a limit, and the limit is lower for a customer that used more
// than the average (see ScaleLimit). When the fleet is saturated, the queues
// settle at the limit of the customers above the average. These get the capacity
// that the others leave, and a customer within its share, whose limit is higher,
// is rarely refused. When the fleet is not saturated, no customer reaches its
// limit and all may use idle capacity. A customer that returns after a pause gets
// its share again within UsageDecayTime.
//
// Each daemon counts only the requests that it admits, and daemons share no
// state: if a load balancer distributes the callers, each daemon sees the same
// proportions.
package fairness

import (
	"math"
	"time"

	"carobspoke.example/core/names"
)

// Limits of a Usage.
const (
	// UsageDecayTime is the time in which usage decays to about a third (1/e).
	UsageDecayTime = 5 * time.Second
	// MaxCustomers bounds the customers that are tracked.
	MaxCustomers = 8192
	// minPurgeSize is the number of tracked customers below which none is
	// purged.
	minPurgeSize = 64
	// negligibleTokens is the decayed usage, in tokens, below which usage
	// counts as none.
	negligibleTokens = 1.0
)

// Usage tracks the recent usage of customers. It is not safe for concurrent use.
// Its operations take amortised constant time.
type Usage struct {
	customers map[names.Customer]*decayedUsage
	total     decayedUsage // of all customers; its share is the sum of theirs
	purgeSize int          // size of customers at which the next purge runs
	purgedAt  time.Time
}

// decayedUsage is a customer's work in tokens, with exponential decay, and its
// share.
type decayedUsage struct {
	tokens    float64
	updatedAt time.Time
	share     float64
}

// decay applies the decay since the last update.
func (u *decayedUsage) decay(now time.Time) {
	if now.After(u.updatedAt) {
		u.tokens *= math.Exp(-now.Sub(u.updatedAt).Seconds() / UsageDecayTime.Seconds())
		u.updatedAt = now
	}
}

// New returns a Usage without customers.
func New() *Usage {
	return &Usage{customers: make(map[names.Customer]*decayedUsage), purgeSize: minPurgeSize}
}

// Add records work of a customer, in tokens, and the customer's share. A share
// of zero or less counts as one.
func (u *Usage) Add(now time.Time, c names.Customer, share float64, tokens int) {
	usage := u.usageOf(now, c)
	if usage == nil {
		return
	}
	u.total.share += shareOrDefault(share) - usage.share
	usage.share = shareOrDefault(share)
	usage.decay(now)
	usage.tokens += float64(tokens)
	u.total.decay(now)
	u.total.tokens += float64(tokens)
}

// usageOf returns the usage of a customer and starts to track the customer if
// necessary. It returns nil if MaxCustomers others are tracked.
func (u *Usage) usageOf(now time.Time, c names.Customer) *decayedUsage {
	if usage := u.customers[c]; usage != nil {
		return usage
	}
	full := len(u.customers) >= MaxCustomers && now.Sub(u.purgedAt) > UsageDecayTime
	if full || len(u.customers) >= u.purgeSize {
		u.purge(now)
	}
	if len(u.customers) >= MaxCustomers {
		return nil
	}
	usage := &decayedUsage{updatedAt: now}
	u.customers[c] = usage
	return usage
}

// RatioToAverage returns the ratio of a customer's usage for its share to the
// average usage for the same share over all recently served customers. It is one
// for the average, and zero for a customer without recent usage.
func (u *Usage) RatioToAverage(now time.Time, c names.Customer) float64 {
	usage := u.customers[c]
	if usage == nil {
		return 0
	}
	usage.decay(now)
	u.total.decay(now)
	if u.total.tokens < negligibleTokens {
		return 0
	}
	return (usage.tokens / usage.share) / (u.total.tokens / u.total.share)
}

// Bounds of the factor of ScaleLimit.
const (
	// minLimitFactor applies to a customer far above the average.
	minLimitFactor = 0.25
	// maxLimitFactor applies to a customer far below the average.
	maxLimitFactor = 1.5
)

// ScaleLimit scales a limit by a customer's RatioToAverage. It divides the limit
// by the square of a ratio above one, and by a ratio below one, with the factor
// kept between minLimitFactor and maxLimitFactor.
func ScaleLimit(limit time.Duration, ratio float64) time.Duration {
	factor := maxLimitFactor
	if ratio > 0 {
		factor = min(maxLimitFactor, 1/ratio)
	}
	if ratio > 1 {
		factor = max(minLimitFactor, 1/(ratio*ratio))
	}
	return time.Duration(factor * float64(limit))
}

// purge removes the customers whose usage has decayed to a negligible amount.
func (u *Usage) purge(now time.Time) {
	for c, usage := range u.customers {
		usage.decay(now)
		if usage.tokens < negligibleTokens {
			u.total.share -= usage.share
			delete(u.customers, c)
		}
	}
	u.purgedAt = now
	u.purgeSize = 2*len(u.customers) + minPurgeSize
}

// shareOrDefault returns the share, or one if it is not positive.
func shareOrDefault(share float64) float64 {
	if share <= 0 {
		return 1
	}
	return share
}
