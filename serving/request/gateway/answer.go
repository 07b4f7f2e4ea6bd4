package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"

	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/failure"
)

// StreamHeader carries a stream's ticket.
const StreamHeader = "Carobspoke-Stream"

// answer is the body of a response: goa calls WriteTo, which runs the
// generation on the request's own goroutine.
type answer struct {
	ctx        context.Context //nolint:containedctx // goa hands the body over without one
	cancel     context.CancelFunc
	service    *Service
	generation Generation
	form       *form
}

// Read implements io.Reader, which goa does not use for a WriterTo.
func (a *answer) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (a *answer) Close() error {
	a.cancel()
	return nil
}

// WriteTo implements io.WriterTo. It returns zero bytes and an error if the
// generation ended before its first token, so that goa writes the error with
// a status of its own.
func (a *answer) WriteTo(w io.Writer) (int64, error) {
	defer a.cancel()
	out := newOutput(w)
	sink := a.sink(out)
	err := a.service.Runner.Run(WithBatch(a.ctx, out.Batch), a.generation, sink)
	if err == nil {
		err = sink.whole()
	}
	a.report(err)
	if err == nil {
		return sink.written(), nil
	}
	if sink.written() == 0 {
		return 0, err
	}
	sink.failed(err)
	return sink.written(), nil
}

func (a *answer) report(err error) {
	if err == nil {
		a.service.Ended(nil)
		a.service.log(a.generation, nil)
		return
	}
	e := verdict.From(err)
	a.service.Ended(e)
	a.service.log(a.generation, e)
}

func (a *answer) sink(out *output) responseSink {
	if a.form.stream {
		return &eventSink{output: out, form: a.form}
	}
	return &documentSink{output: out, form: a.form, promptTokens: a.generation.Facts.PromptTokens}
}

// responseSink is a Sink that writes a response.
type responseSink interface {
	Sink
	// whole closes an answer that is complete.
	whole() error
	// failed closes an answer that is not.
	failed(err error)
	// written returns the bytes written so far.
	written() int64
}

// Batch sends the tokens of an answer that arrived together to the caller
// together. Whoever reads the tokens says with Hold whether the next one has
// arrived, and calls Flush before it waits for one; without a call of Hold
// each token is sent at once. A Batch is used by the goroutine that runs the
// answer. A nil Batch does nothing.
type Batch struct {
	flush func()
	hold  bool
	held  bool
}

// NewBatch returns a batch that is sent by flush.
func NewBatch(flush func()) *Batch { return &Batch{flush: flush} }

type batchKey struct{}

// WithBatch returns the context to run an answer with.
func WithBatch(ctx context.Context, b *Batch) context.Context {
	return context.WithValue(ctx, batchKey{}, b)
}

// BatchOf returns the batch of the answer that is run with ctx, or nil.
func BatchOf(ctx context.Context) *Batch {
	b, _ := ctx.Value(batchKey{}).(*Batch)
	return b
}

// Hold says whether what is written next may wait for a Flush.
func (b *Batch) Hold(hold bool) {
	if b != nil {
		b.hold = hold
	}
}

// Flush sends what was held back.
func (b *Batch) Flush() {
	if b == nil || !b.held {
		return
	}
	b.held = false
	b.flush()
}

// Wrote is told of each write. It sends what was written, unless it may wait.
func (b *Batch) Wrote() {
	b.held = true
	if !b.hold {
		b.Flush()
	}
}

// output writes to a caller and counts.
type output struct {
	*Batch
	w      io.Writer
	header http.Header
	count  int64
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

func (o *output) written() int64 { return o.count }

func (o *output) write(data []byte) error {
	n, err := o.w.Write(data)
	o.count += int64(n)
	if err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.CallerGone, "the caller is gone")
	}
	o.Wrote()
	return nil
}

// eventSink writes server-sent events, one for each token.
type eventSink struct {
	*output
	form *form
}

// Started implements Sink.
func (s *eventSink) Started(ticket string) {
	if s.count == 0 {
		s.header.Set(StreamHeader, ticket)
		return
	}
	_ = s.write(s.form.ticket(ticket)) // the next token meets the same error
}

// Token implements Sink.
func (s *eventSink) Token(offset int, text string) error {
	return s.write(s.form.token(offset, text))
}

func (s *eventSink) whole() error { return s.write(s.form.end()) }

func (s *eventSink) failed(err error) {
	_ = s.write(s.form.failed(failure.NewBody(err))) // the caller is gone as well
}

// documentSink collects an answer and writes it as one document.
type documentSink struct {
	*output
	form         *form
	promptTokens int
	text         strings.Builder
	tokens       int
}

// Started implements Sink.
func (s *documentSink) Started(ticket string) { s.header.Set(StreamHeader, ticket) }

// Token implements Sink.
func (s *documentSink) Token(_ int, text string) error {
	s.text.WriteString(text)
	s.tokens++
	return nil
}

func (s *documentSink) whole() error {
	return s.write(s.form.document(s.text.String(), s.promptTokens, s.tokens))
}

func (s *documentSink) failed(error) {}
