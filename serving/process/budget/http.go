package budget

import (
	"io"
	"net/http"

	core "carobspoke.example/core/process/budget"
)

// exchangeHeaderBytes estimates the bytes of all headers, down to IP, of a request
// and its answer on an open connection.
const exchangeHeaderBytes = 600

// Transport counts the requests and answers of an HTTP client for a mechanism.
// A request and its answer count as one message.
type Transport struct {
	Next      http.RoundTripper
	Meter     *Meter
	Mechanism core.Mechanism
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	sent := exchangeHeaderBytes + int(max(r.ContentLength, 0))
	response, err := t.Next.RoundTrip(r)
	t.Meter.CountMessage(t.Mechanism, sent)
	if err != nil {
		return nil, err
	}
	response.Body = &countedBody{ReadCloser: response.Body, transport: t}
	return response, nil
}

// countedBody counts the bytes that are read from an answer's body.
type countedBody struct {
	io.ReadCloser
	transport *Transport
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.transport.Meter.add(b.transport.Mechanism, core.Usage{Bytes: uint64(n)})
	return n, err
}
