package quota

import (
	"time"

	"carobspoke.example/core/names"
)

// Outcome is what a daemon does about a request.
type Outcome uint8

// Outcomes.
const (
	// Admitted takes the tokens.
	Admitted Outcome = iota
	// Ask means that the home must be asked for Decision.Tokens; the request
	// waits for Granted or Unreachable.
	Ask
	// Refused means that the customer is over its quota.
	Refused
)

// Decision is what to do about a request.
type Decision struct {
	Outcome Outcome
	// Tokens is what to ask the home for.
	Tokens float64
	// RetryAfter is when the caller should come back.
	RetryAfter time.Duration
}

// account is a customer's state at one daemon.
type account struct {
	bucket
	// leasedUntil is until when the daemon has the larger static part.
	leasedUntil time.Time
	// deniedUntil is until when the home need not be asked.
	deniedUntil time.Time
	// used and usedAt measure the rate of use, for status.
	used   float64
	usedAt time.Time
}

// Local holds a daemon's own buckets.
type Local struct {
	accounts map[names.Customer]*account
	// asks is what is left to ask.
	asks   float64
	asksAt time.Time
}

// NewLocal returns a table without buckets.
func NewLocal() *Local { return &Local{accounts: make(map[names.Customer]*account), asks: AskBurst} }

// Admit decides on a request of so many tokens.
func (l *Local) Admit(c names.Customer, quota, tokens float64, fleet Fleet, now time.Time) Decision {
	a := l.account(c, quota, fleet, now)
	if a.level >= tokens {
		a.take(tokens, now)
		return Decision{Outcome: Admitted}
	}
	if now.Before(a.deniedUntil) {
		return Decision{Outcome: Refused, RetryAfter: max(a.deniedUntil.Sub(now), MinRetryAfter)}
	}
	if !l.mayAsk(now) {
		return l.Unreachable(c, quota, tokens, fleet, now)
	}
	a.decay(now)
	ahead := a.used / UseWindow.Seconds() * AskAhead.Seconds()
	return Decision{Outcome: Ask, Tokens: tokens - max(a.level, 0) + ahead}
}

// mayAsk takes one question from the daemon's budget.
func (l *Local) mayAsk(now time.Time) bool {
	elapsed := max(now.Sub(l.asksAt), 0).Seconds()
	l.asks = min(AskBurst, l.asks+AsksPerSecond*elapsed)
	l.asksAt = now
	if l.asks < 1 {
		return false
	}
	l.asks--
	return true
}

// Granted takes in the home's answer for a request of so many tokens.
func (l *Local) Granted(c names.Customer, quota, tokens float64, g Grant, fleet Fleet, now time.Time) Decision {
	a := l.account(c, quota, fleet, now)
	a.leasedUntil = now.Add(g.Lease)
	if g.Tokens <= 0 {
		a.deniedUntil = now.Add(min(g.RetryAfter, DenialKept))
		return Decision{Outcome: Refused, RetryAfter: g.RetryAfter}
	}
	a.level += g.Tokens
	a.take(tokens, now)
	return Decision{Outcome: Admitted}
}

// Unreachable decides on a request whose home did not answer.
func (l *Local) Unreachable(c names.Customer, quota, tokens float64, fleet Fleet, now time.Time) Decision {
	a := l.account(c, quota, fleet, now)
	if a.level > 0 {
		a.take(tokens, now)
		return Decision{Outcome: Admitted}
	}
	return Decision{Outcome: Refused, RetryAfter: a.wait(1, fleet.static(quota, a.leased(now)))}
}

// Use is a customer's rate of use at this daemon.
type Use struct {
	Customer names.Customer
	// TokensPerSecond is averaged over UseWindow.
	TokensPerSecond float64
}

// UseWindow is the time constant of the rate of use.
const UseWindow = 10 * time.Second

// Uses returns the customers with some use, in no order.
func (l *Local) Uses(now time.Time) []Use {
	var list []Use
	for customer, a := range l.accounts {
		a.decay(now)
		if rate := a.used / UseWindow.Seconds(); rate >= 1 {
			list = append(list, Use{Customer: customer, TokensPerSecond: rate})
		}
	}
	return list
}

func (l *Local) account(c names.Customer, quota float64, fleet Fleet, now time.Time) *account {
	a, ok := l.accounts[c]
	if !ok {
		evict(l.accounts, func(a *account) time.Time { return a.at })
		level := fleet.static(quota, false) * fleet.burst().Seconds()
		a = &account{bucket: bucket{level: level, at: now}, usedAt: now}
		l.accounts[c] = a
	}
	a.fill(fleet.static(quota, a.leased(now)), fleet.burst(), now)
	return a
}

// leased reports whether the daemon has the larger static part. A lease counts
// only if it covered all of the time since the bucket was last filled.
func (a *account) leased(now time.Time) bool { return now.Before(a.leasedUntil) }

func (a *account) take(tokens float64, now time.Time) {
	a.level -= tokens
	a.decay(now)
	a.used += tokens
}

// decay forgets old use linearly over the window.
func (a *account) decay(now time.Time) {
	left := 1 - max(now.Sub(a.usedAt), 0).Seconds()/UseWindow.Seconds()
	a.used *= max(left, 0)
	a.usedAt = now
}
