// Package caller plays callers towards daemons, in the published form, and
// towards bare targets for a baseline without daemons.
//
// A caller behaves as a careful one would: it comes back when it is told to,
// resumes a cut stream through another daemon, sends a call that may not be
// repeated again only with its ticket or key, and never sends the same bytes
// twice by way of its HTTP library.
package caller

import (
	"context"
	"math/rand/v2"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/tools/load/workload"
)

// Caller sends requests.
type Caller interface {
	// Generate asks for an answer and reads it to its end.
	Generate(ctx context.Context, r *workload.Request, random *rand.Rand) Answer
	// Call calls a plain service.
	Call(ctx context.Context, r *workload.Request, random *rand.Rand) Answer
}

// Codes of failures that a caller finds out by itself.
const (
	CodeUnreachable = "caller_unreachable"
	CodeCut         = "caller_answer_cut"
	CodeTimeout     = "caller_timeout"
	CodeUnreadable  = "caller_unreadable"
)

// Answer is what a caller got.
type Answer struct {
	Whole bool
	// Verdict joins what all sends of the request were told.
	Verdict verdict.Verdict
	// Code is why the last send failed; empty for a whole answer.
	Code string
	// Tokens are the moments at which tokens came.
	Tokens  []time.Time
	Sends   int
	Resumes int
	Wrong   bool
}

// outcome is the end of one send.
type outcome struct {
	whole      bool
	verdict    verdict.Verdict
	code       string
	retryAfter time.Duration
	// final is set if sending again makes no sense.
	final bool
}

func failed(v verdict.Verdict, code string) outcome { return outcome{verdict: v, code: code} }

// cut is a failure that the caller found by itself, in ctx's terms if it gave
// up.
func cut(ctx context.Context, v verdict.Verdict, code string) outcome {
	if ctx.Err() != nil {
		return outcome{verdict: v, code: CodeTimeout, final: true}
	}
	return failed(v, code)
}

// Grace is how much later than its time a caller still reads an answer: a
// request's context ends so much after the time that the caller asks for.
const Grace = 2 * time.Second

// minPause is the least time between two sends of a request.
const minPause = 20 * time.Millisecond

// again sends until an answer is whole, sending once more makes no sense, or
// the attempts are used up. Attempts are numbered from one.
func again(ctx context.Context, random *rand.Rand, retry workload.Retry, result *Answer, once func(attempt int) outcome) {
	most := max(1, retry.Attempts)
	for attempt := 1; attempt <= most; attempt++ {
		o := once(attempt)
		result.Sends = attempt - 1
		result.Whole, result.Code = o.whole, o.code
		result.Verdict = verdict.Join(result.Verdict, o.verdict)
		if o.whole || o.final || attempt == most || o.retryAfter > time.Duration(retry.MaxWait) {
			return
		}
		if !sleep(ctx, pause(o, random)) {
			return
		}
	}
}

// pause is how long a caller waits before it comes back: as it was told, or a
// moment, and up to half as much again.
func pause(o outcome, random *rand.Rand) time.Duration {
	wait := max(o.retryAfter, minPause)
	return wait + time.Duration(random.Float64()*float64(wait)/2)
}

// sleep waits and reports true, or false at once if the time would be over.
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
