package targetapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/connection/upstream"
	"github.com/pkg/errors"
)

// Limits and headers of the HTTP API of targets.
const (
	// DialTimeout bounds the set-up of a connection.
	DialTimeout = 500 * time.Millisecond
	// MaxIdlePerTarget is the maximum number of idle connections kept for
	// each target.
	MaxIdlePerTarget = 64
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout = 30 * time.Second
	// ControlTimeout bounds control calls, which are not made for a request
	// of a caller.
	ControlTimeout = 2 * time.Second
	// MaxReplyBytes bounds an answer that is not streamed.
	MaxReplyBytes = 8 << 20
	// maxHeaderBytes bounds the header of an answer, interim (1xx) answers
	// included.
	maxHeaderBytes = 64 << 10
	// maxRefusalBytes bounds the part of a refusal's body that is read.
	maxRefusalBytes = 4 << 10
	// MaxFrameBytes bounds the size of a frame of a stream.
	MaxFrameBytes = 64 << 10
	// NotRunHeader is "1" on an answer if the target did nothing for the
	// request.
	NotRunHeader = "Not-Run"
)

// Client is an HTTP client of a target, an engine or a plain service. It calls
// this API, with JSON bodies; a stream is a sequence of frames, one per line:
//
//	POST   /v1/streams                      target.Submit; answers frames
//	GET    /v1/streams/ID?from=N&attempt=N  frames
//	DELETE /v1/streams/ID
//	POST   /v1/orders                       target.Order
//	GET    /v1/report                       target.Report
//	GET    /v1/events?after=N               []target.CacheEvent
//	GET    /v1/holdings                     target.Holdings
//	POST   /v1/handles                      target.Reservation
//	DELETE /v1/handles/ID
//	POST   /v1/exports                      Export; answers target.Handle
//	POST   /v1/imports                      Import; answers target.Handle
//	POST   /v1/calls                        target.Call; answers target.Reply
type Client struct {
	base string
	http *http.Client
}

// Export is the request body of an export.
type Export struct {
	Stream target.StreamID `json:"stream"`
	As     target.HandleID `json:"as"`
}

// Import is the request body of an import.
type Import struct {
	From target.Part     `json:"from"`
	As   target.HandleID `json:"as"`
}

// NewTransport returns a transport for all clients of a process to share. With
// it, Client sends no request twice: see Client.send.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: DialTimeout}).DialContext,
		MaxIdleConnsPerHost: MaxIdlePerTarget,
		IdleConnTimeout:     IdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// NewClient returns a client of the target at address, which is "IP:port".
func NewClient(address string, transport http.RoundTripper) *Client {
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// noRedirect makes the client return a redirect instead of following it, which
// would be a second request, possibly with another method.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Submit implements Engine.
func (c *Client) Submit(ctx context.Context, s target.Submit) (Stream, error) {
	return c.stream(ctx, http.MethodPost, "/v1/streams", s)
}

// Resume implements Engine.
func (c *Client) Resume(ctx context.Context, id target.StreamID, attempt uint32, from int) (Stream, error) {
	query := url.Values{"from": {strconv.Itoa(from)}, "attempt": {strconv.FormatUint(uint64(attempt), 10)}}
	return c.stream(ctx, http.MethodGet, "/v1/streams/"+url.PathEscape(string(id))+"?"+query.Encode(), nil)
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id target.StreamID) error {
	return c.control(ctx, http.MethodDelete, "/v1/streams/"+url.PathEscape(string(id)), nil, nil)
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, o target.Order) error {
	return c.control(ctx, http.MethodPost, "/v1/orders", o, nil)
}

// Report implements Engine.
func (c *Client) Report(ctx context.Context) (target.Report, error) {
	var r target.Report
	err := c.control(ctx, http.MethodGet, "/v1/report", nil, &r)
	return r, err
}

// Events implements Engine.
func (c *Client) Events(ctx context.Context, after uint64) ([]target.CacheEvent, error) {
	var events []target.CacheEvent
	err := c.control(ctx, http.MethodGet, "/v1/events?after="+strconv.FormatUint(after, 10), nil, &events)
	return events, err
}

// Holdings implements Engine.
func (c *Client) Holdings(ctx context.Context) (target.Holdings, error) {
	var h target.Holdings
	err := c.control(ctx, http.MethodGet, "/v1/holdings", nil, &h)
	return h, err
}

// Reserve implements Engine.
func (c *Client) Reserve(ctx context.Context, r target.Reservation) error {
	return c.control(ctx, http.MethodPost, "/v1/handles", r, nil)
}

// Free implements Engine.
func (c *Client) Free(ctx context.Context, id target.HandleID) error {
	return c.control(ctx, http.MethodDelete, "/v1/handles/"+url.PathEscape(string(id)), nil, nil)
}

// Export implements Engine.
func (c *Client) Export(ctx context.Context, id target.StreamID, as target.HandleID) (target.Handle, error) {
	var h target.Handle
	err := c.control(ctx, http.MethodPost, "/v1/exports", Export{Stream: id, As: as}, &h)
	return h, err
}

// Import implements Engine. It returns after the blocks have been copied, so
// that ControlTimeout does not apply and only ctx bounds it.
func (c *Client) Import(ctx context.Context, from target.Part, as target.HandleID) (target.Handle, error) {
	var h target.Handle
	err := c.exchange(ctx, http.MethodPost, "/v1/imports", Import{From: from, As: as}, &h)
	return h, err
}

// Call implements Service.
func (c *Client) Call(ctx context.Context, call target.Call) (target.Reply, error) {
	var reply target.Reply
	if err := c.exchange(ctx, http.MethodPost, "/v1/calls", call, &reply); err != nil {
		return reply, err
	}
	if reply.ID != call.ID || reply.Attempt != call.Attempt {
		return target.Reply{}, verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "the service answered another call")
	}
	return reply, nil
}

// control makes a call within ControlTimeout.
func (c *Client) control(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, ControlTimeout)
	defer cancel()
	return c.exchange(ctx, method, path, in, out)
}

// exchange sends in as JSON and decodes the answer into out, unless out is nil.
func (c *Client) exchange(ctx context.Context, method, path string, in, out any) error {
	response, err := c.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	defer response.Body.Close() //nolint:errcheck // the body was read or is discarded
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxReplyBytes+1))
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.AnswerCut, "the target's answer ended early")
	}
	if len(body) > MaxReplyBytes {
		return verdict.Newf(verdict.MayHaveRun, verdict.AnswerMismatch, "the target's answer exceeds %d bytes", MaxReplyBytes)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.AnswerMismatch, "the target's answer is not understood")
	}
	return nil
}

func (c *Client) stream(ctx context.Context, method, path string, in any) (Stream, error) {
	response, err := c.send(ctx, method, path, in) //nolint:bodyclose // closed by Close of the stream
	if err != nil {
		return nil, err
	}
	return newFrameReader(response), nil
}

// send makes one attempt. The request is written to at most one connection: the
// transport cannot resend it, as its body cannot be rewound and no header marks
// it as idempotent.
func (c *Client) send(ctx context.Context, method, path string, in any) (*http.Response, error) {
	trace := &writeTrace{}
	request, err := newRequest(trace.attach(ctx), method, c.base+path, in)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, sendError(ctx, err, trace.verdict())
	}
	if err := upstream.CheckHead(response); err != nil {
		_ = response.Body.Close() // the answer is not used
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.AnswerMismatch, "the target sent bytes that are no answer")
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()                                 //nolint:errcheck // the body is discarded
	_, _ = io.CopyN(io.Discard, response.Body, maxRefusalBytes) // so that the connection can be reused
	return nil, statusError(response)
}

func newRequest(ctx context.Context, method, address string, in any) (*http.Request, error) {
	if in == nil {
		return http.NewRequestWithContext(ctx, method, address, http.NoBody)
	}
	encoded, err := json.Marshal(in)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.Internal, "the request cannot be encoded")
	}
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(encoded))
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.Internal, "the request cannot be built")
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

// sendError returns the error of a request that got no answer.
func sendError(ctx context.Context, err error, v verdict.Verdict) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.Wrap(err, v, verdict.DeadlineExceeded, "the target did not answer in time")
	}
	if ctx.Err() != nil {
		return verdict.Wrap(err, v, verdict.CallerGone, "the request was given up")
	}
	if v == verdict.NotRun {
		return verdict.Wrap(err, v, verdict.TargetUnreachable, "the target cannot be reached")
	}
	return verdict.Wrap(err, v, verdict.TargetFailed, "the connection to the target failed")
}

// statusError returns the error for an answer whose status is not 2xx.
func statusError(response *http.Response) error {
	cause := errors.Errorf("status %d", response.StatusCode)
	if response.Header.Get(NotRunHeader) == "1" {
		return verdict.Wrap(cause, verdict.NotRun, verdict.TargetRefused, "the target refused the request").
			WithRetryAfter(retryAfter(response.Header))
	}
	if response.StatusCode == http.StatusNotFound {
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.StreamUnknown, "the target does not hold this")
	}
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.TargetFailed, "the target failed")
}

// retryAfter returns the delay in the Retry-After header, or 0 if it is missing
// or not a number of seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
