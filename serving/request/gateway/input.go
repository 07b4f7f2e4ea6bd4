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

// Defaults and limits of the parameters of a request.
const (
	// BytesPerToken is the assumed size of a token, with which the number
	// of tokens of a prompt is estimated.
	BytesPerToken = 4
	// DefaultMaxTokens bounds the length of an answer, in tokens, if the
	// request sets no bound.
	DefaultMaxTokens = 512
	// MaxMaxTokens is the largest bound that a request may set on the
	// length of its answer, in tokens.
	MaxMaxTokens = 32 << 10
	// MaxPromptTokens bounds the length of a prompt, in tokens.
	MaxPromptTokens = 4 << 20
	// MaxTimeout bounds the timeout of a request.
	MaxTimeout = time.Hour
)

// header holds the values of a request's headers; nil means not set.
type header struct {
	authorization *string
	timeoutMillis *int64
	priority      *int
}

// input is a request before validation.
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

// generation authenticates and validates a request and returns the generation
// to run.
func (s *Service) generation(in input) (Generation, error) {
	customer, err := s.authenticate(in.header)
	if err != nil {
		return Generation{}, err
	}
	model, adapter := splitModel(in.model)
	if err := s.Directory.CheckModel(customer.Name, model, adapter); err != nil {
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
	if maxTokens := orDefault(in.maxTokens, DefaultMaxTokens); maxTokens < 1 || maxTokens > MaxMaxTokens {
		return verdict.Newf(verdict.NotRun, verdict.BadRequest, "max_tokens must be from 1 to %d", MaxMaxTokens)
	}
	return nil
}

// promptTokens estimates the number of tokens of a prompt. The caller's hint
// can only raise the estimate.
func promptTokens(in input) int {
	estimate := (len(in.prompt) + BytesPerToken - 1) / BytesPerToken
	return max(estimate, orDefault(in.hint, 0))
}

// splitModel splits "MODEL:ADAPTER"; the adapter is optional.
func splitModel(text string) (names.Model, names.Adapter) {
	model, adapter, _ := strings.Cut(text, ":")
	return names.Model(model), names.Adapter(adapter)
}

// priority limits the requested priority to the range from 0 to limit.
func priority(requested *int, limit int) int {
	return min(max(orDefault(requested, 0), 0), limit)
}

func orDefault(value *int, fallback int) int {
	if value == nil {
		return fallback
	}
	return *value
}

// firstNonNil returns the first value that is set, or nil.
func firstNonNil(values ...*int) *int {
	for _, value := range values {
		if value != nil {
			return value
		}
	}
	return nil
}

func isTrue(value *bool) bool { return value != nil && *value }

// chatPrompt renders the messages of a conversation as one prompt, a line
// "ROLE: CONTENT" for each.
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

// contentText returns the text of a message's content, which is a string or a
// list of text parts.
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
		partText, ok := fields["text"].(string)
		if !ok {
			return "", verdict.New(verdict.NotRun, verdict.BadRequest, "a content part must have a text")
		}
		text.WriteString(partText)
	}
	return text.String(), nil
}
