// Package retries applies one retry policy and budget to all requests of a daemon.
// Requests are retried only through this package.
package retries

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/verdict"
)

// Counter counts a retry decision, by its outcome and the reason of the failure
// that it is about.
type Counter func(outcome retry.Outcome, reason verdict.Reason)

// Retries decides about retries and waits for the backoff. It is safe for
// concurrent use.
type Retries struct {
	policy  retry.Policy
	clock   func() time.Time
	counter Counter

	mu     sync.Mutex
	budget *retry.Budget
	random *rand.Rand
}

// New returns a Retries with the given policy, and a full budget of the default
// share.
func New(policy retry.Policy, clock func() time.Time, random *rand.Rand, counter Counter) *Retries {
	return &Retries{policy: policy, clock: clock, counter: counter, budget: retry.NewBudget(0), random: random}
}

// SetShare sets the budget's share, which is the permitted ratio of retries to
// first attempts. Zero means the default share.
func (r *Retries) SetShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.SetShare(share)
}

// RecordFirstAttempt records the first attempt of a request, which adds to the budget.
func (r *Retries) RecordFirstAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordFirstAttempt()
}

// WaitForRetry decides whether a failed attempt is retried. If it is, it waits for
// the backoff and returns nil. Otherwise, or if ctx ends first, it returns the
// error that ends the request.
func (r *Retries) WaitForRetry(ctx context.Context, a retry.Attempt) error {
	decision := r.decide(a)
	r.counter(decision.Outcome, a.Failure.Reason)
	if !decision.Retry() {
		return decision.Failure
	}
	timer := time.NewTimer(decision.Wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return a.Failure
	}
}

func (r *Retries) decide(a retry.Attempt) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.Decide(a, r.budget, r.clock(), r.random)
}
