// Package retries shares one retry policy and budget among the requests of a
// daemon. It is the only place from which requests are repeated.
package retries

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"carobspoke.example/core/request/retry"
	"carobspoke.example/core/verdict"
)

// Counter counts an outcome of a decision by the reason of the failure.
type Counter func(outcome retry.Outcome, reason verdict.Reason)

// Retries is safe for concurrent use.
type Retries struct {
	policy retry.Policy
	clock  func() time.Time
	count  Counter

	mu     sync.Mutex
	budget *retry.Budget
	random *rand.Rand
}

// New returns retries under policy with a full budget of the default share.
func New(policy retry.Policy, clock func() time.Time, random *rand.Rand, count Counter) *Retries {
	return &Retries{policy: policy, clock: clock, count: count, budget: retry.NewBudget(0), random: random}
}

// SetShare sets the share of fresh requests that may be retries.
func (r *Retries) SetShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.SetShare(share)
}

// Fresh counts a request that is sent for the first time.
func (r *Retries) Fresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.RecordFirstAttempt()
}

// Next waits until the next attempt may start and returns nil, or returns the
// error that ends the request.
func (r *Retries) Next(ctx context.Context, a retry.Attempt) error {
	decision := r.decide(a)
	r.count(decision.Outcome, a.Failure.Reason)
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
