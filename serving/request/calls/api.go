package calls

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/ticket"
	"carobspoke.example/core/verdict"
	gencalls "carobspoke.example/serving/gen/calls"
	"carobspoke.example/serving/request/failure"
	"github.com/pkg/errors"
)

var _ gencalls.Service = (*Server)(nil)

// Ticket implements goa's calls service. Errors are *verdict.Error with
// NotRun.
func (s *Server) Ticket(_ context.Context, in *gencalls.TicketPayload) (*gencalls.TicketResult, error) {
	text, lifetime, err := s.ticket(in)
	if err != nil {
		return nil, s.countFailure(err)
	}
	return &gencalls.TicketResult{Ticket: text, ExpiresMs: lifetime.Milliseconds()}, nil
}

func (s *Server) ticket(in *gencalls.TicketPayload) (string, time.Duration, error) {
	customer, err := s.deps.Authenticate(stringOrEmpty(in.Authorization))
	if err != nil {
		return "", 0, err
	}
	service := names.Service(in.Service)
	if _, err := s.deps.Directory.Service(customer, service); err != nil {
		return "", 0, err
	}
	return s.mint(customer, service, stringOrEmpty(in.Key))
}

// mint returns the text of a new ticket that this incarnation owns, and its
// lifetime.
func (s *Server) mint(customer names.Customer, service names.Service, key string) (string, time.Duration, error) {
	if err := s.ready(); err != nil {
		return "", 0, err
	}
	id, err := ticket.NewID(s.deps.Random)
	if err != nil {
		return "", 0, verdict.Wrap(err, verdict.NotRun, verdict.Internal, "no ticket can be minted")
	}
	lifetime := s.deps.Limits.TicketLifetime
	text, err := s.deps.Keyring().SealCall(ticket.Call{
		ID:                id,
		Customer:          customer,
		Service:           service,
		Owner:             s.deps.Self.Host,
		Incarnation:       s.deps.Self.Incarnation,
		ExpiresAfterStart: s.sinceStart() + lifetime,
		ExpiresAt:         s.deps.Clock().Add(lifetime).Round(0),
		Key:               ticket.KeyDigest(customer, service, key),
	}, s.deps.Random)
	if err != nil {
		return "", 0, verdict.Wrap(err, verdict.NotRun, verdict.Internal, "no ticket can be minted")
	}
	return text, lifetime, nil
}

func (s *Server) ready() error {
	if s.deps.Ready == nil {
		return nil
	}
	return s.deps.Ready()
}

// Call implements goa's calls service. Errors are *verdict.Error, or
// *failure.TicketError if they offer a ticket.
func (s *Server) Call(ctx context.Context, in *gencalls.CallPayload, body io.ReadCloser) (*gencalls.CallResult, io.ReadCloser, error) {
	defer body.Close() //nolint:errcheck // the body was read or is rejected
	id := s.deps.NewRequestID()
	out, err := s.call(ctx, in, id, body)
	if err != nil {
		return nil, nil, s.countFailure(err)
	}
	result := &gencalls.CallResult{RequestID: id, Replayed: out.replayed, ContentType: contentType(out.body), ContentLength: len(out.body)}
	return result, io.NopCloser(bytes.NewReader(out.body)), nil
}

func (s *Server) call(ctx context.Context, in *gencalls.CallPayload, id string, body io.Reader) (outcome, error) {
	request := send{requestID: id, service: names.Service(in.Service), ticket: stringOrEmpty(in.Ticket), key: stringOrEmpty(in.Key)}
	customer, err := s.deps.Authenticate(stringOrEmpty(in.Authorization))
	if err != nil {
		return outcome{}, request.failedBeforeOwner(err)
	}
	request.customer = customer
	timeout, err := s.timeout(in.TimeoutMs)
	if err != nil {
		return outcome{}, request.failedBeforeOwner(err)
	}
	request.deadline = s.deps.Clock().Add(timeout)
	request.body, err = s.readBody(body)
	if err != nil {
		return outcome{}, request.failedBeforeOwner(err)
	}
	return s.route(ctx, request)
}

// timeout returns the timeout of a call that asks for ms, or the default if ms
// is nil.
func (s *Server) timeout(ms *int64) (time.Duration, error) {
	if ms == nil {
		return s.deps.Limits.Timeout, nil
	}
	if *ms <= 0 {
		return 0, verdict.New(verdict.NotRun, verdict.BadRequest, "the timeout must be positive")
	}
	if *ms > s.deps.Limits.MaxTimeout.Milliseconds() {
		return s.deps.Limits.MaxTimeout, nil
	}
	return time.Duration(*ms) * time.Millisecond, nil
}

func (s *Server) readBody(body io.Reader) ([]byte, error) {
	limit := s.deps.Limits.BodyBytes
	content, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CallerGone, "the body did not come whole")
	}
	if int64(len(content)) > limit {
		return nil, verdict.Newf(verdict.NotRun, verdict.BodyTooLarge, "the body is longer than %d bytes", limit)
	}
	return content, nil
}

// countFailure counts a failure and returns it as an error that
// failure.Formatter can encode with its verdict and ticket.
func (s *Server) countFailure(err error) error {
	refusal := verdict.From(err)
	s.deps.CountFailure(refusal.Reason)
	var ticketError *failure.TicketError
	if errors.As(err, &ticketError) {
		return ticketError
	}
	return refusal
}

func contentType(body []byte) string {
	if json.Valid(body) {
		return "application/json"
	}
	return "application/octet-stream"
}

func stringOrEmpty(text *string) string {
	if text == nil {
		return ""
	}
	return *text
}
