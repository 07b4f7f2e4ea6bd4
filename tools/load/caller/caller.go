// Package caller simulates callers. Gateway is a client of the daemons' public
// API; Direct calls targets without daemons, as a baseline.
//
// A Gateway behaves as a correct caller should: it waits at least as long as a
// retry-after hint says or gives up if the hint is above the workload's MaxWait,
// resumes an interrupted stream through any daemon, retries a call that must not
// run twice only if the call carries a ticket or an idempotency key, and disables
// the retries of its HTTP library.
package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/tools/load/workload"
)

// Caller sends requests of a workload. Its methods retry as the workload says
// and return when an answer is complete or the caller gives up.
type Caller interface {
	// Generate requests a generation and reads the answer to its end.
	Generate(ctx context.Context, r *workload.Request, random *rand.Rand) Answer
	// Call calls a plain service.
	Call(ctx context.Context, r *workload.Request, random *rand.Rand) Answer
}

// Codes of failures that the caller detects, rather than a daemon or target.
const (
	// CodeUnreachable means that no daemon is listed or that the connection
	// could not be opened.
	CodeUnreachable = "caller_unreachable"
	// CodeCut means that the connection failed before the answer was complete.
	CodeCut = "caller_answer_cut"
	// CodeTimeout means that the context ended before the answer was complete.
	CodeTimeout = "caller_timeout"
	// CodeUnreadable means that the answer could not be parsed, or that the
	// request could not be built.
	CodeUnreadable = "caller_unreadable"
)

// Answer is the result of a request over all its attempts.
type Answer struct {
	// Complete is set if the whole answer arrived.
	Complete bool
	// Verdict joins the verdicts of all attempts.
	Verdict verdict.Verdict
	// Code is why the last attempt failed; empty for a complete answer.
	Code string
	// TokenTimes are the times at which tokens arrived.
	TokenTimes []time.Time
	// Retries counts the attempts after the first.
	Retries int
	// Resumes counts the attempts that resumed a stream.
	Resumes int
	// WrongTokens is set if a token was lost, repeated or belongs to another request.
	WrongTokens bool
}

// outcome is the result of one attempt.
type outcome struct {
	complete   bool
	verdict    verdict.Verdict
	code       string
	retryAfter time.Duration
	// final is set if a retry cannot succeed.
	final bool
}

func failed(v verdict.Verdict, code string) outcome { return outcome{verdict: v, code: code} }

// failedOrTimedOut returns the outcome of a failed attempt. If ctx has ended, the
// outcome is final and has CodeTimeout in place of code.
func failedOrTimedOut(ctx context.Context, v verdict.Verdict, code string) outcome {
	if ctx.Err() != nil {
		return outcome{verdict: v, code: CodeTimeout, final: true}
	}
	return failed(v, code)
}

// DeadlineGrace is the time from the deadline that a caller sends with a request to
// the end of the request's context, during which it still reads a late answer.
const DeadlineGrace = 2 * time.Second

// minRetryDelay is the minimum delay between two attempts of a request.
const minRetryDelay = 20 * time.Millisecond

// sendWithRetries makes attempts, numbered from one, until an answer is complete,
// an outcome is final, the attempts are used up, the server asks for a longer
// delay than retry.MaxWait, or ctx would end before the next attempt.
func sendWithRetries(ctx context.Context, random *rand.Rand, retry workload.Retry, result *Answer, send func(attempt int) outcome) {
	maxAttempts := max(1, retry.Attempts)
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		o := send(attempt)
		result.Retries = attempt - 1
		result.Complete, result.Code = o.complete, o.code
		result.Verdict = verdict.Join(result.Verdict, o.verdict)
		if o.complete || o.final || attempt == maxAttempts || o.retryAfter > time.Duration(retry.MaxWait) {
			return
		}
		if !sleep(ctx, retryDelay(o, random)) {
			return
		}
	}
}

// retryDelay returns the delay before the next attempt: the server's retry-after
// time or minRetryDelay, whichever is longer, plus up to 50% of it at random.
func retryDelay(o outcome, random *rand.Rand) time.Duration {
	wait := max(o.retryAfter, minRetryDelay)
	return wait + time.Duration(random.Float64()*float64(wait)/2)
}

// sleep waits for d and returns true. It returns false without waiting if the
// deadline of ctx would pass during the wait, and as soon as ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
