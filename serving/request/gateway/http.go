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

// Limits of a listener for callers.
const (
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout = 5 * time.Second
	// MaxHeaderBytes bounds a request's header.
	MaxHeaderBytes = 32 << 10
	// IdleTimeout closes connections on which nothing is asked.
	IdleTimeout = 2 * time.Minute
)

// Headers by which a call is known again.
const (
	TicketHeader = "Carobspoke-Ticket"
	KeyHeader    = "Idempotency-Key"
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

// Limit bounds a request's body in bytes and in the time that reading it may
// take, and holds a response's status back until its first byte.
func Limit(next http.Handler, maxBody int64, bodyTimeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		controller := http.NewResponseController(w)
		_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout)) // not all writers have deadlines
		r.Body = &timedBody{ReadCloser: http.MaxBytesReader(w, r.Body, maxBody), controller: controller}
		late := &lateWriter{ResponseWriter: w}
		ctx := failure.WithResponseHeader(r.Context(), w.Header())
		if r.Header.Get(TicketHeader) != "" || r.Header.Get(KeyHeader) != "" {
			ctx = failure.WithPossibleResend(ctx)
		}
		next.ServeHTTP(late, r.WithContext(ctx))
		late.commit()
	})
}

// timedBody ends the time limit on reading a request's body once it is read.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.done()
	}
	return n, err
}

// done lifts the limit.
func (b *timedBody) done() {
	_ = b.controller.SetReadDeadline(time.Time{}) // not all writers have deadlines
}

// Decoder is goa's request decoder for JSON, with errors that say which limit
// was met.
func Decoder(r *http.Request) goahttp.Decoder { return &decoder{request: r} }

type decoder struct {
	request *http.Request
}

// Decode implements goahttp.Decoder.
func (d *decoder) Decode(value any) error {
	err := json.NewDecoder(d.request.Body).Decode(value)
	if body, ok := d.request.Body.(*timedBody); ok {
		body.done()
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return goa.NewServiceError(err, string(verdict.BodyTooLarge), false, false, false)
	}
	return err
}

// NothingHere answers requests to paths that no service has, in the failure's
// form.
func NothingHere(w http.ResponseWriter, _ *http.Request) {
	body := failure.NewBody(verdict.New(verdict.NotRun, verdict.BadRequest, "there is nothing at this path"))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusNotFound)
	_ = json.NewEncoder(w).Encode(body) // the caller is gone otherwise
}

// Fallback lets a muxer answer paths that no service has.
func Fallback(mux goahttp.Muxer) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		mux.Handle(method, "/{*path}", NothingHere)
	}
}

// Encoder is goa's response encoder: JSON, whatever the caller would accept.
func Encoder(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w)
}

// lateWriter holds back the status until the first byte of the body, so that
// an error before it can still choose another.
type lateWriter struct {
	http.ResponseWriter
	status int
	sent   bool
}

// WriteHeader implements http.ResponseWriter.
func (w *lateWriter) WriteHeader(status int) {
	if !w.sent {
		w.status = status
	}
}

// Write implements http.ResponseWriter.
func (w *lateWriter) Write(data []byte) (int, error) {
	w.commit()
	return w.ResponseWriter.Write(data)
}

// Flush implements http.Flusher.
func (w *lateWriter) Flush() {
	if !w.sent {
		return
	}
	if flusher, ok := w.ResponseWriter.(http.Flusher); ok {
		flusher.Flush()
	}
}

// Unwrap serves http.ResponseController.
func (w *lateWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *lateWriter) commit() {
	if w.sent {
		return
	}
	w.sent = true
	if w.status != 0 {
		w.ResponseWriter.WriteHeader(w.status)
	}
}
