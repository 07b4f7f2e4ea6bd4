package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
)

// Limits of what a target may send. A faulty target may send without end.
const (
	// maxStaleAnswers is the maximum number of answers to earlier requests that are
	// skipped on a connection before it is closed, and maxStaleBytes the maximum
	// size of the body of one of them.
	maxStaleAnswers = 2
	maxStaleBytes   = 1 << 20
	// maxHeadBytes is the maximum size of all that precedes the body of an answer:
	// its status line and header, interim (1xx) answers, and the status lines and
	// headers of skipped answers.
	maxHeadBytes = 64 << 10
)

// errNoAnswer is the cause of a failure where a target sent bytes that are no answer
// to the request.
var errNoAnswer = errors.New("the target sent bytes that are no answer")

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
	// than to an earlier one on the connection. reused is true if the
	// connection carried an earlier one.
	IsOwnAnswer func(response *http.Response, reused bool) bool
	// Permit is called when a connection is open, right before the request is
	// written. If it returns an error, which must be a *verdict.Error with NotRun,
	// nothing is written and Do returns the error. Nil permits all.
	Permit func() error
}

// Exchange is an attempt whose answer's header has arrived. Either Release
// or Abort must be called to end it.
type Exchange struct {
	Response *http.Response

	conn    *Conn
	pool    *Pool
	target  names.Target
	reused  bool // the connection carried another request before
	written chan error
	stop    func() bool
	// ended records the end of the exchange, once.
	ended func()
}

// Through returns the peer through which the target is reached; empty if it is reached
// directly.
func (x *Exchange) Through() names.Host { return x.conn.through }

// pending records that the answer is pending until ended is called.
func (x *Exchange) pending() {
	x.ended = func() {}
	if x.conn.through == "" {
		x.pool.quiet.begin()
		x.ended = sync.OnceFunc(x.pool.quiet.end)
	}
}

// Do writes a request and waits for the header of its answer. The connection is
// closed when ctx ends. Errors are of type *verdict.Error.
func (p *Pool) Do(ctx context.Context, a *Attempt) (*Exchange, error) {
	conn, reused, err := p.get(ctx, a.Target, a.Address, a.NewConnection)
	switch {
	case errors.Is(err, ErrNoPath):
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.PeerUnreachable, "this host and others are cut off from targets")
	case err != nil:
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.TargetUnreachable, "the target cannot be reached")
	}
	if a.Permit != nil {
		if err := a.Permit(); err != nil {
			_ = conn.Close() // nothing was written
			return nil, err
		}
	}
	x := &Exchange{conn: conn, pool: p, target: a.Target, reused: reused, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks pending reads and writes
	x.pending()
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
		x.written <- x.send(request)
		return
	}
	go func() { x.written <- x.send(request) }()
}

// readHeader reads the header of the answer to this request. It skips up to
// maxStaleAnswers answers to earlier requests.
func (x *Exchange) readHeader(request *http.Request, isOwn func(*http.Response, bool) bool) error {
	x.conn.limitHead(maxHeadBytes)
	defer x.conn.unlimitHead()
	for range maxStaleAnswers + 1 {
		response, err := x.readFinalResponse(request) //nolint:bodyclose // the connection is closed or reused as a whole
		if err != nil {
			return err
		}
		if isOwn(response, x.reused) {
			if endsWithConnection(response) {
				response.Body = &closeFramedBody{ReadCloser: response.Body, exchange: x}
			}
			x.Response = response
			return nil
		}
		if err := x.skipBody(response); err != nil {
			return err
		}
	}
	return errors.Wrap(errNoAnswer, "too many answers to earlier requests on the connection")
}

// skipBody reads the body of an answer to an earlier request.
func (x *Exchange) skipBody(response *http.Response) error {
	left := x.conn.unlimitHead()
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes+1))
	x.conn.limitHead(left)
	switch {
	case err != nil:
		return errors.Wrap(err, "answer to an earlier request")
	case n > maxStaleBytes:
		return errors.Wrapf(errNoAnswer, "an answer to an earlier request exceeds %d bytes", maxStaleBytes)
	case response.Close:
		return errors.Wrap(io.ErrUnexpectedEOF, "the connection ended with an answer to an earlier request")
	default:
		return nil
	}
}

// readFinalResponse reads the next final answer and skips interim (1xx) ones.
func (x *Exchange) readFinalResponse(request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(x.conn.reader, request)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if err := CheckHead(response); err != nil {
			return nil, err
		}
		if !IsInterim(response) {
			return response, nil
		}
	}
}

// attemptError returns the error of a request of which bytes may have been
// written to the socket.
func attemptError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.DeadlineExceeded, "the target did not answer in time")
	case isConnectionError(err):
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.AnswerCut, "the connection to the target broke")
	default:
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.AnswerMismatch, "the target sent bytes that are no answer")
	}
}

// isConnectionError reports whether an error of reading an answer means that the
// connection ended. All other errors mean that the bytes are no answer.
func isConnectionError(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// BodyError returns an error with a verdict for an error of reading the body.
func (x *Exchange) BodyError(ctx context.Context, err error) error {
	return attemptError(ctx, err)
}

// Abort closes the connection, so that the target stops working on the request.
func (x *Exchange) Abort() {
	x.ended()
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
	x.ended()
	x.conn.idleUntil = time.Now().Add(idleTimeout(x.Response))
	x.pool.put(x.target, x.conn)
}

// reusable reports whether the request was written completely, the target keeps
// the connection open, and no data follows the answer.
func (x *Exchange) reusable() bool {
	select {
	case err := <-x.written:
		return err == nil && !x.Response.Close && x.conn.through == "" && x.conn.reader.Buffered() == 0
	default:
		return false
	}
}
