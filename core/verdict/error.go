package verdict

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is the error that every layer returns for a request. Message is shown to
// the caller, so it must contain no prompt text, no keys and no information
// about other customers.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is the machine-readable cause.
	Reason Reason
	// Message is a sentence for the caller.
	Message string
	// RetryAfter is the delay after which the caller may retry; zero if
	// unknown.
	RetryAfter time.Duration
	cause      error
}

// New returns an error with a verdict, a reason and a message for the caller.
func New(v Verdict, r Reason, message string) *Error {
	return &Error{Verdict: v, Reason: r, Message: message}
}

// Newf is New with a formatted message.
func Newf(v Verdict, r Reason, format string, args ...any) *Error {
	return New(v, r, fmt.Sprintf(format, args...))
}

// Wrap returns an error that keeps cause for logs, with a stack trace. The text
// of cause is not shown to callers.
func Wrap(cause error, v Verdict, r Reason, message string) *Error {
	return &Error{Verdict: v, Reason: r, Message: message, cause: errors.WithStack(cause)}
}

// WithRetryAfter returns a copy with the given retry delay.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithVerdict returns a copy whose verdict is joined with v; see Join.
func (e *Error) WithVerdict(v Verdict) *Error {
	c := *e
	c.Verdict = Join(e.Verdict, v)
	return &c
}

// Error returns the reason, verdict and message, followed by the cause if there
// is one.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns the *Error in the chain of err, or nil if err is nil. An error
// without one becomes Internal with MayHaveRun, since nothing proves that the
// request did not run.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, Internal, "internal error")
}
