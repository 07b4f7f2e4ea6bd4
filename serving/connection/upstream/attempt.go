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

// maxStale is how many answers to earlier requests are skipped on a
// connection before it is given up.
const maxStale = 2

// Send is one attempt at a target.
type Send struct {
	Target  names.Target
	Address string
	// Request is what the caller asked; its body is replaced by Body and its
	// header by Header.
	Request *http.Request
	Header  http.Header
	Body    []byte
	// Fresh asks for a connection of its own, for requests that must not
	// meet a connection which the target is just closing.
	Fresh bool
	// Ours reports whether an answer belongs to this request and not to an
	// earlier one on the connection.
	Ours func(*http.Response) bool
}

// Exchange is an answer whose header has come.
type Exchange struct {
	Response *http.Response

	conn    *Conn
	pool    *Pool
	target  names.Target
	written chan error
	stop    func() bool
}

// Do writes a request and waits for the header of its answer. When ctx ends
// the connection is closed. An error is a *verdict.Error.
func (p *Pool) Do(ctx context.Context, s *Send) (*Exchange, error) {
	conn, _, err := p.get(ctx, s.Target, s.Address, s.Fresh)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.TargetUnreachable, "the target cannot be reached")
	}
	x := &Exchange{conn: conn, pool: p, target: s.Target, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks reads and writes
	request := outgoing(s)
	x.write(request, len(s.Body))
	if err := x.readHeader(request, s.Ours); err != nil {
		x.Abort()
		return nil, sent(ctx, err)
	}
	return x, nil
}

func outgoing(s *Send) *http.Request {
	out := &http.Request{
		Method:        s.Request.Method,
		URL:           s.Request.URL,
		Host:          s.Request.Host,
		Header:        s.Header,
		ContentLength: int64(len(s.Body)),
		ProtoMajor:    1, ProtoMinor: 1,
	}
	if len(s.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(s.Body))
	}
	if _, ok := s.Header["User-Agent"]; !ok {
		s.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	return out
}

// smallBody is the size up to which a body is written without a goroutine; it
// fits the socket's buffer.
const smallBody = 8 << 10

// write writes the request. A large one is written beside the reading of the
// answer, since a target may answer before it has read the whole body.
func (x *Exchange) write(request *http.Request, body int) {
	if body <= smallBody {
		x.written <- request.Write(x.conn)
		return
	}
	go func() { x.written <- request.Write(x.conn) }()
}

func (x *Exchange) readHeader(request *http.Request, ours func(*http.Response) bool) error {
	for range maxStale + 1 {
		response, err := x.readFinal(request) //nolint:bodyclose // the connection is closed or reused as a whole
		if err != nil {
			return err
		}
		if ours(response) {
			x.Response = response
			return nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return errors.New("an answer to another request ended the connection")
		}
	}
	return errors.New("answers to other requests came")
}

// readFinal reads the next answer that is not an interim one.
func (x *Exchange) readFinal(request *http.Request) (*http.Response, error) {
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

// sent is the error of a request that was handed to a socket.
func sent(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.DeadlineExceeded, "the target did not answer in time")
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.AnswerCut, "the connection to the target broke")
}

// Failed turns an error of reading the body into one with a verdict.
func (x *Exchange) Failed(ctx context.Context, err error) error {
	return sent(ctx, err)
}

// Abort closes the connection, which ends the work at the target.
func (x *Exchange) Abort() {
	x.stop()
	_ = x.conn.Close() // it carries no further request
}

// Done gives the connection back after a whole answer.
func (x *Exchange) Done() {
	if !x.stop() || !x.reusable() {
		x.Abort()
		return
	}
	x.conn.idleUntil = time.Now().Add(idleFor(x.Response))
	x.pool.put(x.target, x.conn)
}

// reusable reports whether the request was written whole, the target keeps the
// connection, and nothing follows the answer.
func (x *Exchange) reusable() bool {
	select {
	case err := <-x.written:
		return err == nil && !x.Response.Close && x.conn.reader.Buffered() == 0
	default:
		return false
	}
}
