package relay

import (
	"net/http"

	"carobspoke.example/core/names"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// replySummary describes the answer of a target to one attempt, for the log.
type replySummary struct {
	status  int
	framing string
	// through is the peer through which the target was reached; empty if it was reached
	// directly.
	through names.Host
	// events is the number of events that the attempt has forwarded.
	events int
}

// Framings of a body, as logged.
const (
	framingChunks = "chunks"
	framingLength = "length"
	// framingClose is that of a body that ends with its connection.
	framingClose = "close"
)

// summarise returns the summary of an answer of which only the head was read.
func summarise(response *http.Response) replySummary {
	s := replySummary{status: response.StatusCode, framing: framingClose}
	switch {
	case response.ContentLength >= 0:
		s.framing = framingLength
	case len(response.TransferEncoding) > 0:
		s.framing = framingChunks
	}
	return s
}

// field returns the log field of the latest answer. It is omitted if no target has
// answered.
func (s replySummary) field() zap.Field {
	if s.status == 0 {
		return zap.Skip()
	}
	return zap.Object("reply", s)
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s replySummary) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddInt("status", s.status)
	e.AddString("framing", s.framing)
	e.AddInt("events", s.events)
	if s.through != "" {
		e.AddString("through", string(s.through))
	}
	return nil
}
