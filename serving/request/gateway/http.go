package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"carobspoke.example/core/verdict"
	"carobspoke.example/serving/request/failure"
	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
)

// Limits of an HTTP server for callers.
const (
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout = 5 * time.Second
	// MaxHeaderBytes bounds the size of a request's header.
	MaxHeaderBytes = 32 << 10
	// IdleTimeout is the time after which a keep-alive connection without
	// requests is closed.
	IdleTimeout = 2 * time.Minute
)

// Headers that identify a call, so that a repeat of it is recognised.
const (
	TicketHeader         = "Carobspoke-Ticket"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// NewServer returns an HTTP server with the limits of the caller interface.
func NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: HeaderTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		IdleTimeout:       IdleTimeout,
	}
}

// LimitBody bounds the size of a request's body in bytes and the time taken to
// read it, and defers the response's status until the first byte of its body.
func LimitBody(next http.Handler, maxBody int64, bodyTimeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // not every ResponseWriter supports deadlines
		r.Body = &timedBody{ReadCloser: http.MaxBytesReader(w, r.Body, maxBody), controller: controller}
		deferred := &deferredStatusWriter{ResponseWriter: w}
		ctx := failure.WithResponseHeader(r.Context(), w.Header())
		if r.Header.Get(TicketHeader) != "" || r.Header.Get(IdempotencyKeyHeader) != "" {
			ctx = failure.WithPossibleResend(ctx)
		}
		next.ServeHTTP(deferred, r.WithContext(ctx))
		deferred.sendStatus()
	})
}

// timedBody is a request body that lifts its read deadline once it is read.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.liftDeadline()
	}
	return n, err
}

// liftDeadline lifts the read deadline of the connection.
func (b *timedBody) liftDeadline() {
	_ = b.controller.SetReadDeadline(time.Time{}) // not every ResponseWriter supports deadlines
}

// Decoder returns a JSON request decoder for goa. If the body exceeds the size
// limit, its error is a goa service error named verdict.BodyTooLarge.
func Decoder(r *http.Request) goahttp.Decoder { return &decoder{request: r} }

type decoder struct {
	request *http.Request
}

// Decode implements goahttp.Decoder.
func (d *decoder) Decode(value any) error {
	err := json.NewDecoder(d.request.Body).Decode(value)
	if body, ok := d.request.Body.(*timedBody); ok {
		body.liftDeadline()
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return goa.NewServiceError(err, string(verdict.BodyTooLarge), false, false, false)
	}
	return err
}

// NotFound answers requests to unknown paths with status 404 and the common
// error body.
func NotFound(w http.ResponseWriter, _ *http.Request) {
	body := failure.NewBody(verdict.New(verdict.NotRun, verdict.BadRequest, "there is nothing at this path"))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusNotFound)
	_ = json.NewEncoder(w).Encode(body) // a write error means that the caller has disconnected
}

// HandleNotFound registers NotFound for all paths that have no other handler.
func HandleNotFound(mux goahttp.Muxer) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		mux.Handle(method, "/{*path}", NotFound)
	}
}

// Encoder returns a JSON response encoder for goa. It ignores the Accept
// header.
func Encoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w)
}

// deferredStatusWriter defers the status until the first byte of the body, so
// that an error that occurs earlier can still set another status.
type deferredStatusWriter struct {
	http.ResponseWriter
	status int
	sent   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *deferredStatusWriter) WriteHeader(status int) {
	if !w.sent {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *deferredStatusWriter) Write(data []byte) (int, error) {
	w.sendStatus()
	return w.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (w *deferredStatusWriter) Flush() {
	if !w.sent {
		return
	}
	if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}

// Unwrap returns the underlying writer; http.ResponseController calls it.
func (w *deferredStatusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// sendStatus sends the deferred status, unless it was sent already.
func (w *deferredStatusWriter) sendStatus() {
	if w.sent {
		return
	}
	w.sent = true
	if w.status != 0 {
		w.ResponseWriter.WriteHeader(w.status)
	}
}
