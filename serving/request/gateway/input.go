package gateway

import (
	"strings"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/prefix"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/gen/completions"
)

// Bounds of what a request may ask for.
const (
	// BytesPerToken estimates a prompt's tokens from its length.
	BytesPerToken = 4
	// DefaultMaxTokens is the length of an answer that names none.
	DefaultMaxTokens = 512
	// MaxMaxTokens bounds the length of an answer, in tokens.
	MaxMaxTokens = 32 << 10
	// MaxPromptTokens bounds a prompt, in tokens.
	MaxPromptTokens = 4 << 20
	// MaxTimeout bounds a request's time.
	MaxTimeout = time.Hour
)

// header is what the headers of a request say.
type header struct {
	authorization *string
	timeoutMillis *int64
	priority      *int
}

// input is a request before it is checked.
type input struct {
	header
	model     string
	prompt    string
	hint      *int
	maxTokens *int
}

func (s *Service) authenticate(h header) (Customer, error) {
	if h.authorization == nil {
		return Customer{}, verdict.New(verdict.NotRun, verdict.Unauthenticated, "an API key is needed: Authorization: Bearer KEY")
	}
	return s.Directory.Authenticate(*h.authorization)
}

func (s *Service) deadline(h header) time.Time {
	timeout := s.DefaultTimeout
	if h.timeoutMillis != nil && *h.timeoutMillis > 0 {
		timeout = min(time.Duration(*h.timeoutMillis)*time.Millisecond, MaxTimeout)
	}
	return time.Now().Add(timeout)
}

// generation checks a request and returns its facts.
func (s *Service) generation(in input) (Generation, error) {
	customer, err := s.authenticate(in.header)
	if err != nil {
		return Generation{}, err
	}
	model, adapter := splitModel(in.model)
	if err := s.Directory.Model(customer.Name, model, adapter); err != nil {
		return Generation{}, err
	}
	if err := checkLengths(in); err != nil {
		return Generation{}, err
	}
	return Generation{Prompt: in.prompt, Facts: facts.Request{
		ID:           s.RequestID(),
		Customer:     customer.Name,
		Model:        model,
		Adapter:      adapter,
		PromptTokens: promptTokens(in),
		MaxTokens:    orDefault(in.maxTokens, DefaultMaxTokens),
		Priority:     priority(in.priority, customer.MaxPriority),
		Deadline:     s.deadline(in.header),
		Prefixes:     prefix.Digests(prefix.Scope(customer.Name, model, adapter), in.prompt),
		DataCentre:   s.DataCentre,
	}}, nil
}

func checkLengths(in input) error {
	if in.prompt == "" {
		return verdict.New(verdict.NotRun, verdict.BadRequest, "the prompt is empty")
	}
	if promptTokens(in) > MaxPromptTokens {
		return verdict.Newf(verdict.NotRun, verdict.PromptTooLong, "a prompt may have at most %d tokens", MaxPromptTokens)
	}
	if most := orDefault(in.maxTokens, DefaultMaxTokens); most < 1 || most > MaxMaxTokens {
		return verdict.Newf(verdict.NotRun, verdict.BadRequest, "max_tokens must be from 1 to %d", MaxMaxTokens)
	}
	return nil
}

// promptTokens estimates a prompt's length; the caller's hint can only raise
// it.
func promptTokens(in input) int {
	estimate := (len(in.prompt) + BytesPerToken - 1) / BytesPerToken
	return max(estimate, orDefault(in.hint, 0))
}

func splitModel(text string) (names.Model, names.Adapter) {
	model, adapter, _ := strings.Cut(text, ":")
	return names.Model(model), names.Adapter(adapter)
}

func priority(asked *int, most int) int {
	return min(max(orDefault(asked, 0), 0), most)
}

func orDefault(value *int, fallback int) int {
	if value == nil {
		return fallback
	}
	return *value
}

func firstInt(values ...*int) *int {
	for _, value := range values {
		if value != nil {
			return value
		}
	}
	return nil
}

func isTrue(value *bool) bool { return value != nil && *value }

// chatPrompt joins the texts of a conversation.
func chatPrompt(messages []*completions.Message) (string, error) {
	var text strings.Builder
	for _, message := range messages {
		if message == nil {
			return "", verdict.New(verdict.NotRun, verdict.BadRequest, "a message is null")
		}
		content, err := contentText(message.Content)
		if err != nil {
			return "", err
		}
		text.WriteString(message.Role)
		text.WriteString(": ")
		text.WriteString(content)
		text.WriteByte('\n')
	}
	return text.String(), nil
}

func contentText(content any) (string, error) {
	switch value := content.(type) {
	case nil:
		return "", nil
	case string:
		return value, nil
	case []any:
		return partsText(value)
	default:
		return "", verdict.New(verdict.NotRun, verdict.BadRequest, "a message's content must be a text or a list of text parts")
	}
}

func partsText(parts []any) (string, error) {
	var text strings.Builder
	for _, part := range parts {
		fields, _ := part.(map[string]any)
		words, ok := fields["text"].(string)
		if !ok {
			return "", verdict.New(verdict.NotRun, verdict.BadRequest, "a content part must have a text")
		}
		text.WriteString(words)
	}
	return text.String(), nil
}
