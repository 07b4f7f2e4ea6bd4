// Package failure encodes errors for callers. All errors have the same form: a
// JSON body with verdict, reason and message, and headers with the delay before a
// retry.
package failure

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
)

// Body is the JSON body of a refusal or failure. It implements goa's Statuser.
type Body struct {
	Error Detail `json:"error"`
	// status is the HTTP status.
	status int
}

// Detail describes a refusal or failure.
type Detail struct {
	// Message describes the error to the caller.
	Message string `json:"message"`
	// Type is the coarse class of the error that clients of OpenAI-compatible
	// APIs expect.
	Type string `json:"type"`
	// Code is the reason.
	Code verdict.Reason `json:"code"`
	// Verdict is not_run, may_have_run or ran.
	Verdict string `json:"verdict"`
	// RetryAfterMillis is the delay before a retry, in milliseconds.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Ticket is a ticket with which the call can be sent again.
	Ticket string `json:"ticket,omitempty"`
}

// TicketError is an error with a ticket for the caller.
type TicketError struct {
	Cause  *verdict.Error
	Ticket string
}

// Error implements error.
func (t *TicketError) Error() string { return t.Cause.Error() }

// Unwrap returns the error without the ticket.
func (t *TicketError) Unwrap() error { return t.Cause }

// StatusCode implements goa's Statuser.
func (b *Body) StatusCode() int { return b.status }

// NewBody returns the body that encodes an error.
func NewBody(err error) *Body {
	e := classify(err)
	detail := Detail{
		Message:          e.Message,
		Type:             errorType(e.Reason),
		Code:             e.Reason,
		Verdict:          e.Verdict.String(),
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
	}
	var ticketError *TicketError
	if errors.As(err, &ticketError) {
		detail.Ticket = ticketError.Ticket
	}
	return &Body{Error: detail, status: Status(e.Reason)}
}

// Formatter is goa's error formatter. It returns the body that encodes err, and
// sets the headers of the error on the response if ctx holds them; see
// WithResponseHeader.
func Formatter(ctx context.Context, err error) goahttp.Statuser {
	body := NewBody(err)
	resent, _ := ctx.Value(possibleResendKey{}).(bool)
	if _, undecoded := AsDecodeError(err); undecoded && resent {
		body.Error.Verdict = verdict.MayHaveRun.String()
	}
	if header, ok := ctx.Value(headerKey{}).(http.Header); ok {
		setHeaders(header, body)
	}
	return body
}

type headerKey struct{}

type possibleResendKey struct{}

// WithPossibleResend returns a context for a send that may be a repeat, because it
// has a ticket or a key. If it cannot be decoded, Formatter sets the verdict
// MayHaveRun, because an earlier send may have run.
func WithPossibleResend(ctx context.Context) context.Context {
	return context.WithValue(ctx, possibleResendKey{}, true)
}

// AsDecodeError returns the refusal of a request that goa could not decode or
// validate, and reports whether err is such an error.
func AsDecodeError(err error) (*verdict.Error, bool) {
	var goaError *goa.ServiceError
	if !errors.As(err, &goaError) {
		return nil, false
	}
	return classify(err), true
}

// WithResponseHeader returns a context that holds the header of the response, for
// Formatter.
func WithResponseHeader(ctx context.Context, header http.Header) context.Context {
	return context.WithValue(ctx, headerKey{}, header)
}

func setHeaders(header http.Header, body *Body) {
	header.Set("Content-Type", "application/json")
	if body.Error.RetryAfterMillis > 0 {
		wait := time.Duration(body.Error.RetryAfterMillis) * time.Millisecond
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
		header.Set("Retry-After-Ms", strconv.FormatInt(body.Error.RetryAfterMillis, 10))
	}
	if body.Error.Verdict != verdict.NotRun.String() {
		header.Set("X-Should-Retry", "false")
	}
}

// classify returns err as an error with a verdict. Errors of goa's decoders and
// validations have the verdict NotRun, because they precede the execution of the
// request.
func classify(err error) *verdict.Error {
	var goaError *goa.ServiceError
	if !errors.As(err, &goaError) {
		return verdict.From(err)
	}
	if goaError.Name == string(verdict.BodyTooLarge) {
		return verdict.New(verdict.NotRun, verdict.BodyTooLarge, "the request's body is too large")
	}
	return verdict.New(verdict.NotRun, verdict.BadRequest, goaError.Message)
}
