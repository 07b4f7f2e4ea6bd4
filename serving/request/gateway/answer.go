package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"

	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/failure"
)

// StreamHeader is the response header with the ticket of the stream.
const StreamHeader = "Carobspoke-Stream"

// answerBody is the body of a response. goa calls WriteTo, which runs the
// generation on the goroutine that serves the request.
type answerBody struct {
	ctx        context.Context //nolint:containedctx // goa calls WriteTo without a context
	cancel     context.CancelFunc
	service    *Service
	generation Generation
	encoder    *answerEncoder
}

// Read implements io.Reader. goa does not call it, as it prefers io.WriterTo.
func (a *answerBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (a *answerBody) Close() error {
	a.cancel()
	return nil
}

// WriteTo implements io.WriterTo. If the generation fails before its first
// token, it returns zero bytes and an error, so that goa can still send the
// error with its status.
func (a *answerBody) WriteTo(w io.Writer) (int64, error) {
	defer a.cancel()
	out := newOutput(w)
	sink := a.sink(out)
	err := a.service.Runner.Run(WithBatch(a.ctx, out.Batch), a.generation, sink)
	if err == nil {
		err = sink.finish()
	}
	a.report(err)
	if err == nil {
		return sink.written(), nil
	}
	if sink.written() == 0 {
		return 0, err
	}
	sink.fail(err)
	return sink.written(), nil
}

func (a *answerBody) report(err error) {
	if err == nil {
		a.service.OnEnd(nil)
		a.service.log(a.generation, nil)
		return
	}
	e := verdict.From(err)
	a.service.OnEnd(e)
	a.service.log(a.generation, e)
}

func (a *answerBody) sink(out *output) responseSink {
	if a.encoder.stream {
		return &eventSink{output: out, encoder: a.encoder}
	}
	return &documentSink{output: out, encoder: a.encoder, promptTokens: a.generation.Facts.PromptTokens}
}

// responseSink is a Sink that writes a response.
type responseSink interface {
	Sink
	// finish ends a complete answer.
	finish() error
	// fail ends an answer that could not be completed.
	fail(err error)
	// written returns the number of bytes written so far.
	written() int64
}

// Batch sends tokens of an answer that arrived together to the caller with one
// flush. The reader of the tokens calls DeferFlush to set whether the next
// token has already arrived, and Flush before it waits for a token. Without a
// call of DeferFlush each token is flushed immediately. A Batch may only be
// used by the goroutine that runs the answer. DeferFlush and Flush of a nil
// Batch do nothing.
type Batch struct {
	flush    func()
	deferred bool
	pending  bool
}

// NewBatch returns a batch that calls flush to send pending writes.
func NewBatch(flush func()) *Batch { return &Batch{flush: flush} }

type batchKey struct{}

// WithBatch returns a copy of ctx that carries the batch of an answer.
func WithBatch(ctx context.Context, b *Batch) context.Context {
	return context.WithValue(ctx, batchKey{}, b)
}

// BatchFromContext returns the batch that ctx carries, or nil.
func BatchFromContext(ctx context.Context) *Batch {
	b, _ := ctx.Value(batchKey{}).(*Batch)
	return b
}

// DeferFlush sets whether the following writes may be deferred until Flush.
func (b *Batch) DeferFlush(deferred bool) {
	if b != nil {
		b.deferred = deferred
	}
}

// Flush sends the deferred writes.
func (b *Batch) Flush() {
	if b == nil || !b.pending {
		return
	}
	b.pending = false
	b.flush()
}

// AfterWrite must be called after each write. It flushes the write unless
// writes are deferred.
func (b *Batch) AfterWrite() {
	b.pending = true
	if !b.deferred {
		b.Flush()
	}
}

// output writes to a caller, flushes by batch and counts the bytes.
type output struct {
	*Batch
	w            io.Writer
	header       http.Header
	bytesWritten int64
}

func newOutput(w io.Writer) *output {
	out := &output{w: w, header: http.Header{}, Batch: NewBatch(func() {})}
	if response, ok := w.(http.ResponseWriter); ok {
		out.header = response.Header()
	}
	if flusher, ok := w.(http.Flusher); ok {
		out.flush = flusher.Flush
	}
	return out
}

func (o *output) written() int64 { return o.bytesWritten }

func (o *output) write(data []byte) error {
	n, err := o.w.Write(data)
	o.bytesWritten += int64(n)
	if err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.CallerGone, "the caller is gone")
	}
	o.AfterWrite()
	return nil
}

// eventSink writes an answer as server-sent events, one per token.
type eventSink struct {
	*output
	encoder *answerEncoder
}

// SetTicket implements Sink.
func (s *eventSink) SetTicket(ticket string) {
	if s.bytesWritten == 0 {
		s.header.Set(StreamHeader, ticket)
		return
	}
	_ = s.write(s.encoder.ticketComment(ticket)) // the write of the next token returns the same error
}

// Token implements Sink.
func (s *eventSink) Token(offset int, text string) error {
	return s.write(s.encoder.tokenEvent(offset, text))
}

func (s *eventSink) finish() error { return s.write(s.encoder.endEvents()) }

func (s *eventSink) fail(err error) {
	_ = s.write(s.encoder.errorEvent(failure.NewBody(err))) // a write error means that the caller has disconnected
}

// documentSink collects an answer and writes it as one JSON document.
type documentSink struct {
	*output
	encoder      *answerEncoder
	promptTokens int
	text         strings.Builder
	tokens       int
}

// SetTicket implements Sink.
func (s *documentSink) SetTicket(ticket string) { s.header.Set(StreamHeader, ticket) }

// Token implements Sink.
func (s *documentSink) Token(_ int, text string) error {
	s.text.WriteString(text)
	s.tokens++
	return nil
}

func (s *documentSink) finish() error {
	return s.write(s.encoder.document(s.text.String(), s.promptTokens, s.tokens))
}

// fail does nothing: it is only called if writing the document itself failed.
func (s *documentSink) fail(error) {}
