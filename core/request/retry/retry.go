// Package retry decides whether a failed attempt is followed by another.
//
// Retries are made in one layer only: the entry daemon of a request. Clients
// of targets and of peers never retry. A retry needs all of: an error that
// another attempt may mend, a verdict or an idempotent request that makes it
// safe, attempts and time left, and a token of the budget. The wait before it
// grows exponentially with full jitter, so that the callers of a failed target
// do not come back together.
package retry

import (
	"math/rand/v2"
	"time"

	"carobspoke.example/core/verdict"
)

// Policy holds the settings of retries.
type Policy struct {
	// MaxAttempts is the most attempts of one request, the first included.
	MaxAttempts int
	// MaxAttemptsBegun is the same for a request that was cut after it had
	// begun to run. It waits out the restart of an engine.
	MaxAttemptsBegun int
	// BaseWait is the longest wait before the first retry; it doubles with
	// each one up to MaxWait.
	BaseWait time.Duration
	MaxWait  time.Duration
	// MinWork is the time that an attempt needs at least. No retry starts
	// later than MinWork before the deadline.
	MinWork time.Duration
}

// Default returns the policy of this release.
func Default() Policy {
	return Policy{
		MaxAttempts:      12,
		MaxAttemptsBegun: 40,
		BaseWait:         10 * time.Millisecond,
		MaxWait:          time.Second,
		MinWork:          20 * time.Millisecond,
	}
}

// Outcome names why a retry was made or not. Each has a counter.
type Outcome string

// Outcomes of a decision.
const (
	Retried      Outcome = "retried"
	NotRetriable Outcome = "not_retriable"
	UnsafeRepeat Outcome = "unsafe_repeat"
	TooMany      Outcome = "too_many_attempts"
	TooLate      Outcome = "too_late"
	BudgetSpent  Outcome = "budget_spent"
)

// Outcomes returns every outcome, in the order of their declaration.
func Outcomes() []Outcome {
	return []Outcome{Retried, NotRetriable, UnsafeRepeat, TooMany, TooLate, BudgetSpent}
}

// Attempt describes a request whose newest attempt failed.
type Attempt struct {
	// Made counts the attempts so far.
	Made int
	// Begun says that an earlier attempt may have run.
	Begun bool
	// Failure is the error of the newest.
	Failure *verdict.Error
	// Idempotent says that the request may be repeated. A generation that
	// continues from the delivered offset is idempotent.
	Idempotent bool
	Deadline   time.Time
}

// Decision says whether and when to try again.
type Decision struct {
	Outcome Outcome
	// Wait is how long to wait before the retry.
	Wait time.Duration
	// Failure is what to tell the caller if there is no retry.
	Failure *verdict.Error
}

// Retry reports whether another attempt follows.
func (d Decision) Retry() bool { return d.Outcome == Retried }

// Decide decides about a failed attempt. It takes a token of the budget only
// if nothing else prevents the retry.
func (p Policy) Decide(a Attempt, budget *Budget, now time.Time, random *rand.Rand) Decision {
	switch {
	case !Mendable(a.Failure.Reason):
		return Decision{Outcome: NotRetriable, Failure: a.Failure}
	case !verdict.MayRepeat(a.Failure.Verdict, a.Idempotent):
		return Decision{Outcome: UnsafeRepeat, Failure: a.Failure}
	case a.Made >= p.limit(a.Begun):
		return Decision{Outcome: TooMany, Failure: a.Failure}
	}
	wait := max(p.wait(a.Made, random), a.Failure.RetryAfter)
	if now.Add(wait + p.MinWork).After(a.Deadline) {
		return Decision{Outcome: TooLate, Failure: a.Failure}
	}
	if !free(a) && !budget.Take() {
		failure := verdict.Wrap(a.Failure, a.Failure.Verdict, verdict.RetryBudgetSpent, "the attempt failed and too many requests are being repeated")
		return Decision{Outcome: BudgetSpent, Failure: failure.WithRetryAfter(max(p.MaxWait, a.Failure.RetryAfter))}
	}
	return Decision{Outcome: Retried, Wait: wait}
}

// free reports whether an attempt costs nothing of the budget: work in flight
// that has to leave its target is moved by a planned stop and not by a
// failure, so that it cannot make a storm.
func free(a Attempt) bool {
	return a.Begun && a.Failure.Reason == verdict.TargetLeaving
}

func (p Policy) limit(begun bool) int {
	if begun {
		return max(p.MaxAttempts, p.MaxAttemptsBegun)
	}
	return p.MaxAttempts
}

// wait draws evenly from zero to an exponentially growing bound.
func (p Policy) wait(made int, random *rand.Rand) time.Duration {
	bound := p.BaseWait
	for i := 1; i < made && bound < p.MaxWait; i++ {
		bound *= 2
	}
	bound = min(bound, p.MaxWait)
	if bound <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}

// Mendable reports whether another attempt, at another target or later, may
// succeed where one failed for this reason.
func Mendable(r verdict.Reason) bool {
	switch r {
	case verdict.NoTarget, verdict.TargetLeaving, verdict.TargetRefused,
		verdict.TargetUnreachable, verdict.TargetFailed, verdict.TargetCrashed,
		verdict.AnswerCut, verdict.AnswerMismatch, verdict.StreamUnknown,
		verdict.PeerUnreachable, verdict.PeerFailed, verdict.SpanUnavailable:
		return true
	default:
		return false
	}
}
