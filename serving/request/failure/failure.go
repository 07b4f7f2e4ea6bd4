// Package failure turns errors into the one form in which callers see them: a
// JSON body with verdict, reason and message, and headers that say when to
// come back.
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

// Body is the JSON form of a refusal or failure.
type Body struct {
	Error Detail `json:"error"`
	// status is the HTTP status.
	status int
}

// Detail says what happened to a request.
type Detail struct {
	// Message is a sentence for the caller.
	Message string `json:"message"`
	// Type is a coarse class, as the ecosystem's clients expect.
	Type string `json:"type"`
	// Code is the reason.
	Code verdict.Reason `json:"code"`
	// Verdict is not_run, may_have_run or ran.
	Verdict string `json:"verdict"`
	// RetryAfterMillis is when to come back, in milliseconds.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Ticket is a ticket to send the call again with.
	Ticket string `json:"ticket,omitempty"`
}

// Ticketed is an error that offers the caller a ticket.
type Ticketed struct {
	Cause  *verdict.Error
	Ticket string
}

// Error implements error.
func (t *Ticketed) Error() string { return t.Cause.Error() }

// Unwrap returns the error without its ticket.
func (t *Ticketed) Unwrap() error { return t.Cause }

// StatusCode implements goa's Statuser.
func (b *Body) StatusCode() int { return b.status }

// From returns the form of an error.
func From(err error) *Body {
	e := classify(err)
	detail := Detail{
		Message:          e.Message,
		Type:             kind(e.Reason),
		Code:             e.Reason,
		Verdict:          e.Verdict.String(),
		RetryAfterMillis: e.RetryAfter.Milliseconds(),
	}
	var ticketed *Ticketed
	if errors.As(err, &ticketed) {
		detail.Ticket = ticketed.Ticket
	}
	return &Body{Error: detail, status: Status(e.Reason)}
}

// Formatter returns goa's error formatter. It sets the headers that go with
// an error on the response that the context carries.
func Formatter(ctx context.Context, err error) goahttp.Statuser {
	body := From(err)
	resent, _ := ctx.Value(resentKey{}).(bool)
	if _, undecoded := Undecoded(err); undecoded && resent {
		body.Error.Verdict = verdict.MayHaveRun.String()
	}
	if header, ok := ctx.Value(headerKey{}).(http.Header); ok {
		setHeaders(header, body)
	}
	return body
}

type headerKey struct{}

type resentKey struct{}

// WithResent returns a context for a send that may be a repeat, since it
// brings a ticket or key. If it cannot be read, an earlier one may have run.
func WithResent(ctx context.Context) context.Context {
	return context.WithValue(ctx, resentKey{}, true)
}

// Undecoded returns the refusal of a request that was not understood, and
// whether err is one.
func Undecoded(err error) (*verdict.Error, bool) {
	var service *goa.ServiceError
	if !errors.As(err, &service) {
		return nil, false
	}
	return classify(err), true
}

// WithHeader returns a context from which Formatter takes the response's
// headers.
func WithHeader(ctx context.Context, header http.Header) context.Context {
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

// classify finds the verdict of an error; those of goa's decoders and
// validations come before anything ran.
func classify(err error) *verdict.Error {
	var service *goa.ServiceError
	if !errors.As(err, &service) {
		return verdict.From(err)
	}
	if service.Name == string(verdict.BodyTooLarge) {
		return verdict.New(verdict.NotRun, verdict.BodyTooLarge, "the request's body is too large")
	}
	return verdict.New(verdict.NotRun, verdict.BadRequest, service.Message)
}
