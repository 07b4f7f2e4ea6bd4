package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/tools/load/workload"
	"github.com/pkg/errors"
)

// Limits of connections to daemons.
const (
	dialTimeout = time.Second
	idlePerHost = 256
	maxBody     = 4 << 20
)

// Gateway calls daemons.
type Gateway struct {
	// Bases returns the daemons' URLs. Each send goes to one by chance, as a
	// balancer would have it.
	Bases func() []string
	Retry workload.Retry
	HTTP  *http.Client
	Seen  *Seen
}

// NewGateway returns a caller of daemons. The transport may be nil.
func NewGateway(bases func() []string, retry workload.Retry, transport *http.Transport) *Gateway {
	if transport == nil {
		transport = &http.Transport{}
	}
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	transport.MaxIdleConnsPerHost = idlePerHost
	transport.DisableCompression = true
	return &Gateway{Bases: bases, Retry: retry, HTTP: &http.Client{Transport: transport}, Seen: NewSeen()}
}

// chatMessage and chatRequest are the published form of a generation.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model      string        `json:"model"`
	Messages   []chatMessage `json:"messages"`
	MaxTokens  int           `json:"max_tokens"`
	Stream     bool          `json:"stream"`
	PromptHint int           `json:"prompt_tokens_hint"`
}

type resumeRequest struct {
	Ticket string `json:"ticket"`
	From   int    `json:"from"`
}

// failure is the published form of a refusal or failure.
type failure struct {
	Error *struct {
		Code       string `json:"code"`
		Verdict    string `json:"verdict"`
		RetryAfter int64  `json:"retry_after_ms"`
		Ticket     string `json:"ticket"`
	} `json:"error"`
}

func (f failure) outcome() outcome {
	v := verdict.Parse(f.Error.Verdict)
	return outcome{
		verdict:    v,
		code:       f.Error.Code,
		retryAfter: time.Duration(f.Error.RetryAfter) * time.Millisecond,
		final:      permanent(verdict.Reason(f.Error.Code)),
	}
}

// permanent reports whether a reason will be the same for another send.
func permanent(r verdict.Reason) bool {
	switch r {
	case verdict.BadRequest, verdict.BodyTooLarge, verdict.HeaderTooLarge, verdict.Unauthenticated, verdict.NotAllowed,
		verdict.UnknownModel, verdict.UnknownService, verdict.PromptTooLong, verdict.DeadlineTooShort,
		verdict.DeadlineExceeded, verdict.CrashSuspect, verdict.TicketInvalid, verdict.TicketExpired,
		verdict.TicketOwnerGone, verdict.TicketUsed, verdict.KeyRequired:
		return true
	default:
		return false
	}
}

// send posts a body to a daemon. Its answer is read by read if the status says
// success.
func (g *Gateway) send(ctx context.Context, random *rand.Rand, p post, read func(*http.Response) outcome) outcome {
	bases := g.Bases()
	if len(bases) == 0 {
		return failed(verdict.NotRun, CodeUnreachable)
	}
	request, err := p.request(ctx, bases[random.IntN(len(bases))])
	if err != nil {
		return outcome{verdict: verdict.NotRun, code: CodeUnreadable, final: true}
	}
	response, err := g.HTTP.Do(request)
	if err != nil {
		return sendFailure(ctx, err)
	}
	defer response.Body.Close() //nolint:errcheck // the body was read or is of no use
	if response.StatusCode/100 == 2 {
		return read(response)
	}
	return readFailure(ctx, response)
}

func sendFailure(ctx context.Context, err error) outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return cut(ctx, verdict.NotRun, CodeUnreachable)
	}
	return cut(ctx, verdict.MayHaveRun, CodeCut)
}

func readFailure(ctx context.Context, response *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return cut(ctx, verdict.MayHaveRun, CodeCut)
	}
	var f failure
	if json.Unmarshal(body, &f) != nil || f.Error == nil {
		return failed(verdict.MayHaveRun, CodeUnreadable)
	}
	return f.outcome()
}

// post is what is sent.
type post struct {
	path     string
	body     []byte
	key      string
	priority int
	header   map[string]string
}

func (p post) request(ctx context.Context, base string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+p.path, bytes.NewReader(p.body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.GetBody = nil // the library must not send it again
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+p.key)
	request.Header.Set("Carobspoke-Priority", strconv.Itoa(p.priority))
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, (time.Until(deadline) - Grace).Milliseconds())
		request.Header.Set("Carobspoke-Timeout-Ms", strconv.FormatInt(left, 10))
	}
	for name, value := range p.header {
		request.Header.Set(name, value)
	}
	return request, nil
}
