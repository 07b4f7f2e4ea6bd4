package quota

import (
	"time"

	"carobspoke.example/core/names"
)

// Outcome is the result of an admission decision.
type Outcome uint8

// Outcomes.
const (
	// Admitted means that the request is admitted and its tokens are taken.
	Admitted Outcome = iota
	// AskHome means that the caller must ask the home for Decision.Tokens,
	// then call ApplyGrant, or DecideWithoutHome if the home does not answer.
	AskHome
	// Refused means that the customer has exceeded its quota.
	Refused
)

// Decision is an admission decision for a request.
type Decision struct {
	Outcome Outcome
	// Tokens is the number of tokens to ask the home for, if Outcome is AskHome.
	Tokens float64
	// RetryAfter is the delay after which the caller should retry, if Outcome
	// is Refused.
	RetryAfter time.Duration
}

// account is a customer's state at one daemon.
type account struct {
	bucket
	// leasedUntil is when the daemon's lease expires.
	leasedUntil time.Time
	// deniedUntil is when the home's last refusal expires. Until then the
	// home is not asked again.
	deniedUntil time.Time
	// usedTokens and usedAt measure the usage rate, for PrefetchTime and
	// for status.
	usedTokens float64
	usedAt     time.Time
}

// Local holds a daemon's local buckets.
type Local struct {
	accounts map[names.Customer]*account
	// askBudget is the number of requests to homes that are allowed now.
	// askBudgetAt is when it was last updated.
	askBudget   float64
	askBudgetAt time.Time
}

// NewLocal returns a table without buckets.
func NewLocal() *Local {
	return &Local{accounts: make(map[names.Customer]*account), askBudget: AskBurst}
}

// Admit decides on a request that needs the given number of tokens. quota is in
// tokens per second.
func (l *Local) Admit(c names.Customer, quota, tokens float64, fleet Fleet, now time.Time) Decision {
	a := l.account(c, quota, fleet, now)
	if a.level >= tokens {
		a.take(tokens, now)
		return Decision{Outcome: Admitted}
	}
	if now.Before(a.deniedUntil) {
		return Decision{Outcome: Refused, RetryAfter: max(a.deniedUntil.Sub(now), MinRetryAfter)}
	}
	if !l.allowAsk(now) {
		return l.DecideWithoutHome(c, quota, tokens, fleet, now)
	}
	a.decayUsage(now)
	ahead := a.usedTokens / UsageWindow.Seconds() * PrefetchTime.Seconds()
	return Decision{Outcome: AskHome, Tokens: tokens - max(a.level, 0) + ahead}
}

// allowAsk reports whether the daemon may ask a home now, and if so counts the
// request against its budget.
func (l *Local) allowAsk(now time.Time) bool {
	elapsed := max(now.Sub(l.askBudgetAt), 0).Seconds()
	l.askBudget = min(AskBurst, l.askBudget+MaxAsksPerSecond*elapsed)
	l.askBudgetAt = now
	if l.askBudget < 1 {
		return false
	}
	l.askBudget--
	return true
}

// ApplyGrant decides on a request after the home has answered: it records the lease
// and either the granted tokens or the refusal.
func (l *Local) ApplyGrant(c names.Customer, quota, tokens float64, g Grant, fleet Fleet, now time.Time) Decision {
	a := l.account(c, quota, fleet, now)
	a.leasedUntil = now.Add(g.Lease)
	if g.Tokens <= 0 {
		a.deniedUntil = now.Add(min(g.RetryAfter, DenialTTL))
		return Decision{Outcome: Refused, RetryAfter: g.RetryAfter}
	}
	a.level += g.Tokens
	a.take(tokens, now)
	return Decision{Outcome: Admitted}
}

// DecideWithoutHome decides on a request if the home did not answer or the daemon's
// budget of requests to homes is used up. It admits the request if the local bucket
// is above zero.
func (l *Local) DecideWithoutHome(c names.Customer, quota, tokens float64, fleet Fleet, now time.Time) Decision {
	a := l.account(c, quota, fleet, now)
	if a.level > 0 {
		a.take(tokens, now)
		return Decision{Outcome: Admitted}
	}
	return Decision{Outcome: Refused, RetryAfter: a.timeToLevel(1, fleet.staticRate(quota, a.hasLease(now)))}
}

// Usage is a customer's usage rate at this daemon.
type Usage struct {
	Customer names.Customer
	// TokensPerSecond is averaged over UsageWindow.
	TokensPerSecond float64
}

// UsageWindow is the averaging window of the usage rate.
const UsageWindow = 10 * time.Second

// Usages returns the customers with a usage rate of at least one token per second,
// in no particular order.
func (l *Local) Usages(now time.Time) []Usage {
	var list []Usage
	for customer, a := range l.accounts {
		a.decayUsage(now)
		if rate := a.usedTokens / UsageWindow.Seconds(); rate >= 1 {
			list = append(list, Usage{Customer: customer, TokensPerSecond: rate})
		}
	}
	return list
}

// account returns a customer's account after refilling its bucket. A new account
// starts with a full bucket.
func (l *Local) account(c names.Customer, quota float64, fleet Fleet, now time.Time) *account {
	a, ok := l.accounts[c]
	if !ok {
		evictOldest(l.accounts, func(a *account) time.Time { return a.updatedAt })
		level := fleet.staticRate(quota, false) * fleet.burstTime().Seconds()
		a = &account{bucket: bucket{level: level, updatedAt: now}, usedAt: now}
		l.accounts[c] = a
	}
	a.refill(fleet.staticRate(quota, a.hasLease(now)), fleet.burstTime(), now)
	return a
}

// hasLease reports whether the daemon's lease is valid at now. The larger refill
// rate applies only if the lease covers all of the time since the last refill.
func (a *account) hasLease(now time.Time) bool { return now.Before(a.leasedUntil) }

// take removes tokens from the bucket and adds them to the usage.
func (a *account) take(tokens float64, now time.Time) {
	a.level -= tokens
	a.decayUsage(now)
	a.usedTokens += tokens
}

// decayUsage reduces the recorded usage linearly over UsageWindow.
func (a *account) decayUsage(now time.Time) {
	left := 1 - max(now.Sub(a.usedAt), 0).Seconds()/UsageWindow.Seconds()
	a.usedTokens *= max(left, 0)
	a.usedAt = now
}
