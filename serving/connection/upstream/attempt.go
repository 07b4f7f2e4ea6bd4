package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
)

// maxStaleAnswers is the maximum number of answers to earlier requests that are
// skipped on a connection before it is closed.
const maxStaleAnswers = 2

// Attempt is a single attempt to send a request to a target.
type Attempt struct {
	Target  names.Target
	Address string
	// Request is the caller's request. Body and Header replace its body and
	// header.
	Request *http.Request
	Header  http.Header
	Body    []byte
	// NewConnection requests a new connection, for requests that must not
	// be sent on an idle connection that the target may be about to close.
	NewConnection bool
	// IsOwnAnswer reports whether an answer belongs to this request rather
	// than to an earlier one on the connection.
	IsOwnAnswer func(*http.Response) bool
}

// Exchange is an attempt whose answer's header has arrived. Either Release
// or Abort must be called to end it.
type Exchange struct {
	Response *http.Response

	conn    *Conn
	pool    *Pool
	target  names.Target
	written chan error
	stop    func() bool
}

// Do writes a request and waits for the header of its answer. The connection is
// closed when ctx ends. Errors are of type *verdict.Error.
func (p *Pool) Do(ctx context.Context, a *Attempt) (*Exchange, error) {
	conn, _, err := p.get(ctx, a.Target, a.Address, a.NewConnection)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.TargetUnreachable, "the target cannot be reached")
	}
	x := &Exchange{conn: conn, pool: p, target: a.Target, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks pending reads and writes
	request := newRequest(a)
	x.write(request, len(a.Body))
	if err := x.readHeader(request, a.IsOwnAnswer); err != nil {
		x.Abort()
		return nil, attemptError(ctx, err)
	}
	return x, nil
}

// newRequest returns the request to write.
func newRequest(a *Attempt) *http.Request {
	out := &http.Request{
		Method:        a.Request.Method,
		URL:           a.Request.URL,
		Host:          a.Request.Host,
		Header:        a.Header,
		ContentLength: int64(len(a.Body)),
		ProtoMajor:    1, ProtoMinor: 1,
	}
	if len(a.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(a.Body))
	}
	if _, ok := a.Header["User-Agent"]; !ok {
		a.Header["User-Agent"] = []string{""} // prevents net/http from adding a default value
	}
	return out
}

// maxInlineBody is the size in bytes up to which a body is written without a
// goroutine. A body of that size fits into the socket's send buffer.
const maxInlineBody = 8 << 10

// write writes the request. A large body is written concurrently with reading
// the answer, since a target may answer before it has read the complete body.
func (x *Exchange) write(request *http.Request, body int) {
	if body <= maxInlineBody {
		x.written <- request.Write(x.conn)
		return
	}
	go func() { x.written <- request.Write(x.conn) }()
}

// readHeader reads the header of the answer to this request. It skips up to
// maxStaleAnswers answers to earlier requests.
func (x *Exchange) readHeader(request *http.Request, isOwn func(*http.Response) bool) error {
	for range maxStaleAnswers + 1 {
		response, err := x.readFinalResponse(request) //nolint:bodyclose // the connection is closed or reused as a whole
		if err != nil {
			return err
		}
		if isOwn(response) {
			x.Response = response
			return nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return errors.New("the connection ended with an answer to an earlier request")
		}
	}
	return errors.New("too many answers to earlier requests on the connection")
}

// readFinalResponse reads the next final answer and skips interim (1xx) ones.
func (x *Exchange) readFinalResponse(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// attemptError returns the error of a request of which bytes may have been
// written to the socket.
func attemptError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.DeadlineExceeded, "the target did not answer in time")
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.AnswerCut, "the connection to the target broke")
}

// BodyError returns an error with a verdict for an error of reading the body.
func (x *Exchange) BodyError(ctx context.Context, err error) error {
	return attemptError(ctx, err)
}

// Abort closes the connection, so that the target stops working on the request.
func (x *Exchange) Abort() {
	x.stop()
	_ = x.conn.Close() // the connection is not reused
}

// Release returns the connection to the pool after the complete answer has been
// read, or closes it if it cannot be reused.
func (x *Exchange) Release() {
	if !x.stop() || !x.reusable() {
		x.Abort()
		return
	}
	x.conn.idleUntil = time.Now().Add(idleTimeout(x.Response))
	x.pool.put(x.target, x.conn)
}

// reusable reports whether the request was written completely, the target keeps
// the connection open, and no data follows the answer.
func (x *Exchange) reusable() bool {
	select {
	case err := <-x.written:
		return err == nil && !x.Response.Close && x.conn.reader.Buffered() == 0
	default:
		return false
	}
}
