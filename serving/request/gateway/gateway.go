// Package gateway implements the caller interface for generations: it
// authenticates the caller, decodes and validates the request, and writes the
// answer in the format that the caller requested. The Runner decides where and
// how a generation runs.
//
// Contract with callers: status 200 is sent together with the first token and
// never earlier, so that a refusal always has a status code that names its
// cause. An answer that cannot be completed ends with an error event, so that
// it is never mistaken for a complete one.
package gateway

import (
	"context"
	"io"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/gen/completions"
	"go.uber.org/zap"
)

// Generation is the request of a caller.
type Generation struct {
	Facts  facts.Request
	Prompt string
	// Ticket is set to resume a stream instead of starting one.
	// StartOffset is then the offset of the first token to deliver.
	Ticket      string
	StartOffset int
}

// Sink receives the answer of a generation. All its methods are called from
// one goroutine.
type Sink interface {
	// SetTicket passes the ticket with which the stream can be resumed or
	// cancelled. It is called again with a new ticket when the stream moves
	// to another target.
	SetTicket(ticket string)
	// Token delivers a token. An error means that the caller has
	// disconnected.
	Token(offset int, text string) error
}

// Runner runs generations.
type Runner interface {
	// Run delivers the complete answer to the sink, or returns a
	// *verdict.Error.
	Run(ctx context.Context, g Generation, sink Sink) error
	// Cancel ends a stream and frees its resources.
	Cancel(ctx context.Context, customer names.Customer, ticket string) error
}

// Customer is the customer of an authenticated caller, with its limits.
type Customer struct {
	Name        names.Customer
	MaxPriority int
}

// Directory looks up callers and models in the manifest in force.
type Directory interface {
	// Authenticate returns the customer that an Authorization header
	// belongs to.
	Authenticate(authorization string) (Customer, error)
	// CheckModel returns an error unless the customer may use the model and
	// adapter.
	CheckModel(c names.Customer, m names.Model, a names.Adapter) error
}

// Config holds the settings and dependencies of a Service.
type Config struct {
	Directory  Directory
	Runner     Runner
	DataCentre names.DataCentre
	// DefaultTimeout applies to requests that set no timeout.
	DefaultTimeout time.Duration
	// RequestID returns a new unique ID for a request.
	RequestID func() string
	// OnEnd is called when a request ends; err is nil if the answer was
	// complete.
	OnEnd func(err *verdict.Error)
	Log   *zap.Logger
}

// Service implements completions.Service.
type Service struct {
	Config
}

var _ completions.Service = (*Service)(nil)

// New returns a service with the given configuration.
func New(c Config) *Service { return &Service{Config: c} }

// Chat implements completions.Service.
func (s *Service) Chat(ctx context.Context, p *completions.ChatPayload) (*completions.ChatResult, io.ReadCloser, error) {
	prompt, err := chatPrompt(p.Messages)
	if err != nil {
		return nil, nil, s.refuse(err)
	}
	in := input{
		header: header{p.Authorization, p.TimeoutMs, p.Priority},
		model:  p.Model, prompt: prompt, hint: p.PromptTokensHint,
		maxTokens: firstNonNil(p.MaxCompletionTokens, p.MaxTokens),
	}
	g, err := s.generation(in)
	if err != nil {
		return nil, nil, s.refuse(err)
	}
	encoder := newAnswerEncoder(chatFormat, isTrue(p.Stream), g.Facts.ID, p.Model)
	result := &completions.ChatResult{ContentType: encoder.contentType(), RequestID: g.Facts.ID}
	return result, s.answer(ctx, g, encoder), nil
}

// Complete implements completions.Service.
func (s *Service) Complete(ctx context.Context, p *completions.CompletePayload) (*completions.CompleteResult, io.ReadCloser, error) {
	in := input{
		header: header{p.Authorization, p.TimeoutMs, p.Priority},
		model:  p.Model, prompt: p.Prompt, hint: p.PromptTokensHint,
		maxTokens: firstNonNil(p.MaxCompletionTokens, p.MaxTokens),
	}
	g, err := s.generation(in)
	if err != nil {
		return nil, nil, s.refuse(err)
	}
	encoder := newAnswerEncoder(textFormat, isTrue(p.Stream), g.Facts.ID, p.Model)
	result := &completions.CompleteResult{ContentType: encoder.contentType(), RequestID: g.Facts.ID}
	return result, s.answer(ctx, g, encoder), nil
}

// Resume implements completions.Service.
func (s *Service) Resume(ctx context.Context, p *completions.ResumePayload) (*completions.ResumeResult, io.ReadCloser, error) {
	h := header{p.Authorization, p.TimeoutMs, p.Priority}
	customer, err := s.authenticate(h)
	if err != nil {
		return nil, nil, s.refuse(err)
	}
	g := Generation{Ticket: p.Ticket, StartOffset: p.From}
	g.Facts = facts.Request{
		ID: s.RequestID(), Customer: customer.Name, DataCentre: s.DataCentre,
		Deadline: s.deadline(h), DeliveredTokens: p.From,
	}
	encoder := newAnswerEncoder(chatFormat, true, g.Facts.ID, "")
	result := &completions.ResumeResult{ContentType: encoder.contentType(), RequestID: g.Facts.ID}
	return result, s.answer(ctx, g, encoder), nil
}

// Cancel implements completions.Service.
func (s *Service) Cancel(ctx context.Context, p *completions.CancelPayload) error {
	customer, err := s.authenticate(header{p.Authorization, p.TimeoutMs, p.Priority})
	if err != nil {
		return s.refuse(err)
	}
	return s.Runner.Cancel(ctx, customer.Name, p.Ticket)
}

func (s *Service) answer(ctx context.Context, g Generation, encoder *answerEncoder) io.ReadCloser {
	deadline, cancel := context.WithDeadline(ctx, g.Facts.Deadline)
	return &answerBody{ctx: deadline, cancel: cancel, service: s, generation: g, encoder: encoder}
}

func (s *Service) refuse(err error) error {
	s.OnEnd(verdict.From(err))
	return err
}

func (s *Service) log(g Generation, err *verdict.Error) {
	fields := []zap.Field{
		zap.String("request_id", g.Facts.ID),
		zap.String("customer", string(g.Facts.Customer)),
		zap.String("model", string(g.Facts.Model)),
		zap.Int("prompt_tokens", g.Facts.PromptTokens),
	}
	if err == nil {
		s.Log.Debug("generation answered", fields...)
		return
	}
	fields = append(fields, zap.String("verdict", err.Verdict.String()), zap.String("reason", string(err.Reason)), zap.Error(err))
	s.Log.Info("generation ended", fields...)
}
