// Package gateway implements the caller interface for generations: it
// authenticates, reads the request, and writes the answer in the form that the
// caller asked for. Where and how a generation runs is the Runner's matter.
//
// The contract towards callers: a status of 200 is sent with the first token
// and not before, so that a refusal always has its own status; an answer that
// cannot be completed ends with an error event, never as if it were whole.
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

// Generation is a request as the caller made it.
type Generation struct {
	Facts  facts.Request
	Prompt string
	// Ticket is set to resume a stream instead of starting one; From is then
	// the first token wanted.
	Ticket string
	From   int
}

// Sink receives a generation's answer. Its methods are called by one
// goroutine.
type Sink interface {
	// Started tells the ticket by which the stream can be resumed or
	// cancelled. It is called again when the stream moves.
	Started(ticket string)
	// Token delivers a token. An error means that the caller is gone.
	Token(offset int, text string) error
}

// Runner runs generations.
type Runner interface {
	// Run delivers the whole answer to the sink, or returns a *verdict.Error.
	Run(ctx context.Context, g Generation, sink Sink) error
	// Cancel gives a stream up and frees what it holds.
	Cancel(ctx context.Context, customer names.Customer, ticket string) error
}

// Customer is an authenticated caller's customer and what it may use.
type Customer struct {
	Name        names.Customer
	MaxPriority int
}

// Directory answers questions about the manifest in force.
type Directory interface {
	// Authenticate returns the customer of an Authorization header.
	Authenticate(authorization string) (Customer, error)
	// Model checks that the customer may use a model and adapter.
	Model(c names.Customer, m names.Model, a names.Adapter) error
}

// Config holds what a gateway needs.
type Config struct {
	Directory  Directory
	Runner     Runner
	DataCentre names.DataCentre
	// DefaultTimeout is the deadline of a request that names none.
	DefaultTimeout time.Duration
	// RequestID returns a new number for the logs.
	RequestID func() string
	// Ended is told of each request's end; err is nil for a whole answer.
	Ended func(err *verdict.Error)
	Log   *zap.Logger
}

// Service implements completions.Service.
type Service struct {
	Config
}

var _ completions.Service = (*Service)(nil)

// New returns the service.
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
		maxTokens: firstInt(p.MaxCompletionTokens, p.MaxTokens),
	}
	g, err := s.generation(in)
	if err != nil {
		return nil, nil, s.refuse(err)
	}
	form := newForm(chatForm, isTrue(p.Stream), g.Facts.ID, p.Model)
	result := &completions.ChatResult{ContentType: form.contentType(), RequestID: g.Facts.ID}
	return result, s.answer(ctx, g, form), nil
}

// Complete implements completions.Service.
func (s *Service) Complete(ctx context.Context, p *completions.CompletePayload) (*completions.CompleteResult, io.ReadCloser, error) {
	in := input{
		header: header{p.Authorization, p.TimeoutMs, p.Priority},
		model:  p.Model, prompt: p.Prompt, hint: p.PromptTokensHint,
		maxTokens: firstInt(p.MaxCompletionTokens, p.MaxTokens),
	}
	g, err := s.generation(in)
	if err != nil {
		return nil, nil, s.refuse(err)
	}
	form := newForm(textForm, isTrue(p.Stream), g.Facts.ID, p.Model)
	result := &completions.CompleteResult{ContentType: form.contentType(), RequestID: g.Facts.ID}
	return result, s.answer(ctx, g, form), nil
}

// Resume implements completions.Service.
func (s *Service) Resume(ctx context.Context, p *completions.ResumePayload) (*completions.ResumeResult, io.ReadCloser, error) {
	h := header{p.Authorization, p.TimeoutMs, p.Priority}
	customer, err := s.authenticate(h)
	if err != nil {
		return nil, nil, s.refuse(err)
	}
	g := Generation{Ticket: p.Ticket, From: p.From}
	g.Facts = facts.Request{
		ID: s.RequestID(), Customer: customer.Name, DataCentre: s.DataCentre,
		Deadline: s.deadline(h), DeliveredTokens: p.From,
	}
	form := newForm(chatForm, true, g.Facts.ID, "")
	result := &completions.ResumeResult{ContentType: form.contentType(), RequestID: g.Facts.ID}
	return result, s.answer(ctx, g, form), nil
}

// Cancel implements completions.Service.
func (s *Service) Cancel(ctx context.Context, p *completions.CancelPayload) error {
	customer, err := s.authenticate(header{p.Authorization, p.TimeoutMs, p.Priority})
	if err != nil {
		return s.refuse(err)
	}
	return s.Runner.Cancel(ctx, customer.Name, p.Ticket)
}

func (s *Service) answer(ctx context.Context, g Generation, form *form) io.ReadCloser {
	deadline, cancel := context.WithDeadline(ctx, g.Facts.Deadline)
	return &answer{ctx: deadline, cancel: cancel, service: s, generation: g, form: form}
}

func (s *Service) refuse(err error) error {
	s.Ended(verdict.From(err))
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
