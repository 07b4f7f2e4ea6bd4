// Package retry decides whether a failed attempt is retried.
//
// Retries are made in one layer only: the entry daemon of a request. Clients of
// targets and peers never retry. A retry requires an error that another attempt
// can recover from, a verdict or an idempotent request that makes repeating
// safe, remaining attempts and time, and a token of the retry budget. The
// backoff grows exponentially with full jitter, so that the callers of a failed
// target do not retry at the same time.
package retry

import (
	"math/rand/v2"
	"time"

	"carobspoke.example/core/verdict"
)

// Policy holds the limits and delays of retries.
type Policy struct {
	// MaxAttempts is the maximum number of attempts of one request, including
	// the first.
	MaxAttempts int
	// MaxAttemptsAfterStart is the same for a request that failed after it had
	// started to run. It is large enough to outlast the restart of an engine.
	MaxAttemptsAfterStart int
	// BaseBackoff is the maximum backoff before the first retry. It doubles with
	// each retry up to MaxBackoff.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
	// MinAttemptTime is the minimum time that an attempt needs. No retry starts
	// later than MinAttemptTime before the deadline.
	MinAttemptTime time.Duration
}

// Default returns the default policy.
func Default() Policy {
	return Policy{
		MaxAttempts:           12,
		MaxAttemptsAfterStart: 40,
		BaseBackoff:           10 * time.Millisecond,
		MaxBackoff:            time.Second,
		MinAttemptTime:        20 * time.Millisecond,
	}
}

// Outcome is the result of a retry decision. Each outcome has a counter.
type Outcome string

// Outcomes of a decision.
const (
	Retried         Outcome = "retried"
	NotRetriable    Outcome = "not_retriable"
	UnsafeRepeat    Outcome = "unsafe_repeat"
	TooManyAttempts Outcome = "too_many_attempts"
	TooLate         Outcome = "too_late"
	BudgetSpent     Outcome = "budget_spent"
)

// Outcomes returns all outcomes in the order of their declaration.
func Outcomes() []Outcome {
	return []Outcome{Retried, NotRetriable, UnsafeRepeat, TooManyAttempts, TooLate, BudgetSpent}
}

// Attempt describes a request whose latest attempt failed.
type Attempt struct {
	// Count is the number of attempts so far.
	Count int
	// Started reports whether an earlier attempt may have run.
	Started bool
	// Failure is the error of the latest attempt.
	Failure *verdict.Error
	// Idempotent reports whether the request may be repeated. A generation that
	// continues at the delivered offset is idempotent.
	Idempotent bool
	Deadline   time.Time
}

// Decision is whether and when a request is retried.
type Decision struct {
	Outcome Outcome
	// Wait is the backoff before the retry.
	Wait time.Duration
	// Failure is the error to return to the caller if there is no retry.
	Failure *verdict.Error
}

// Retry reports whether the request is retried.
func (d Decision) Retry() bool { return d.Outcome == Retried }

// Decide decides whether a failed attempt is retried. It takes a token of the
// budget only if nothing else prevents the retry.
func (p Policy) Decide(a Attempt, budget *Budget, now time.Time, random *rand.Rand) Decision {
	switch {
	case !Retriable(a.Failure.Reason):
		return Decision{Outcome: NotRetriable, Failure: a.Failure}
	case !verdict.MayRepeat(a.Failure.Verdict, a.Idempotent):
		return Decision{Outcome: UnsafeRepeat, Failure: a.Failure}
	case a.Count >= p.maxAttempts(a.Started):
		return Decision{Outcome: TooManyAttempts, Failure: a.Failure}
	}
	wait := max(p.backoff(a.Count, random), a.Failure.RetryAfter)
	if now.Add(wait + p.MinAttemptTime).After(a.Deadline) {
		return Decision{Outcome: TooLate, Failure: a.Failure}
	}
	if !exempt(a) && !budget.TryTake() {
		failure := verdict.Wrap(a.Failure, a.Failure.Verdict, verdict.RetryBudgetSpent, "the attempt failed and too many requests are being repeated")
		return Decision{Outcome: BudgetSpent, Failure: failure.WithRetryAfter(max(p.MaxBackoff, a.Failure.RetryAfter))}
	}
	return Decision{Outcome: Retried, Wait: wait}
}

// exempt reports whether a retry takes no token of the budget. Work in flight
// that has to move from a leaving target is retried because of a planned stop
// and not because of a failure, so it cannot cause a retry storm.
func exempt(a Attempt) bool {
	return a.Started && a.Failure.Reason == verdict.TargetLeaving
}

func (p Policy) maxAttempts(begun bool) int {
	if begun {
		return max(p.MaxAttempts, p.MaxAttemptsAfterStart)
	}
	return p.MaxAttempts
}

// backoff returns a uniformly random delay between zero and a bound that grows
// exponentially with the number of attempts.
func (p Policy) backoff(attempts int, random *rand.Rand) time.Duration {
	bound := p.BaseBackoff
	for i := 1; i < attempts && bound < p.MaxBackoff; i++ {
		bound *= 2
	}
	bound = min(bound, p.MaxBackoff)
	if bound <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(bound) + 1))
}

// Retriable reports whether another attempt, at another target or later, may
// succeed after a failure with this reason.
func Retriable(r verdict.Reason) bool {
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
