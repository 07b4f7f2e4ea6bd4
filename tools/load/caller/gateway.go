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
	maxBody     = 4 << 20 // bytes of an error response
)

// Gateway calls daemons.
type Gateway struct {
	// BaseURLs returns the URLs of the daemons. Each attempt goes to a random
	// one, as behind a load balancer.
	BaseURLs func() []string
	Retry    workload.Retry
	HTTP     *http.Client
	Digests  *DigestRegistry
}

// NewGateway returns a caller of daemons. It changes the transport, which may be
// nil.
func NewGateway(bases func() []string, retry workload.Retry, transport *http.Transport) *Gateway {
	if transport == nil {
		transport = &http.Transport{}
	}
	transport.DialContext = (&net.Dialer{Timeout: dialTimeout}).DialContext
	transport.MaxIdleConnsPerHost = idlePerHost
	transport.DisableCompression = true
	return &Gateway{BaseURLs: bases, Retry: retry, HTTP: &http.Client{Transport: transport}, Digests: NewDigestRegistry()}
}

// chatMessage and chatRequest are the request body of a generation.
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

// errorResponse is the body that reports a refusal or failure.
type errorResponse struct {
	Error *struct {
		Code       string `json:"code"`
		Verdict    string `json:"verdict"`
		RetryAfter int64  `json:"retry_after_ms"`
		Ticket     string `json:"ticket"`
	} `json:"error"`
}

func (f errorResponse) outcome() outcome {
	v := verdict.Parse(f.Error.Verdict)
	return outcome{
		verdict:    v,
		code:       f.Error.Code,
		retryAfter: time.Duration(f.Error.RetryAfter) * time.Millisecond,
		final:      permanent(verdict.Reason(f.Error.Code)),
	}
}

// permanent reports whether a retry would fail for the same reason.
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

// send posts a request to a random daemon. It calls read for a response with a
// success status.
func (g *Gateway) send(ctx context.Context, random *rand.Rand, p post, read func(*http.Response) outcome) outcome {
	bases := g.BaseURLs()
	if len(bases) == 0 {
		return failed(verdict.NotRun, CodeUnreachable)
	}
	request, err := p.newRequest(ctx, bases[random.IntN(len(bases))])
	if err != nil {
		return outcome{verdict: verdict.NotRun, code: CodeUnreadable, final: true}
	}
	response, err := g.HTTP.Do(request)
	if err != nil {
		return transportFailure(ctx, err)
	}
	defer response.Body.Close() //nolint:errcheck // the body was read or is not needed
	if response.StatusCode/100 == 2 {
		return read(response)
	}
	return readErrorResponse(ctx, response)
}

// transportFailure returns the outcome of a request without a response. It did
// not run for certain only if the connection could not be opened.
func transportFailure(ctx context.Context, err error) outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return failedOrTimedOut(ctx, verdict.NotRun, CodeUnreachable)
	}
	return failedOrTimedOut(ctx, verdict.MayHaveRun, CodeCut)
}

func readErrorResponse(ctx context.Context, response *http.Response) outcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody))
	if err != nil {
		return failedOrTimedOut(ctx, verdict.MayHaveRun, CodeCut)
	}
	var f errorResponse
	if json.Unmarshal(body, &f) != nil || f.Error == nil {
		return failed(verdict.MayHaveRun, CodeUnreadable)
	}
	return f.outcome()
}

// post is a POST request to a daemon.
type post struct {
	path     string
	body     []byte
	key      string
	priority int
	header   map[string]string
}

func (p post) newRequest(ctx context.Context, base string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+p.path, bytes.NewReader(p.body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.GetBody = nil // prevents net/http from sending the request again
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+p.key)
	request.Header.Set("Carobspoke-Priority", strconv.Itoa(p.priority))
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, (time.Until(deadline) - DeadlineGrace).Milliseconds())
		request.Header.Set("Carobspoke-Timeout-Ms", strconv.FormatInt(left, 10))
	}
	for name, value := range p.header {
		request.Header.Set(name, value)
	}
	return request, nil
}
