package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"carobspoke.example/core/target"
	"carobspoke.example/serving/connection/targetapi"
	"github.com/pkg/errors"
)

// retryAfterSeconds is the Retry-After header of a refusal.
const retryAfterSeconds = "1"

func (e *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams", e.postStream)
	mux.HandleFunc("GET /v1/streams/{id}", e.getStream)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.deleteStream)
	mux.HandleFunc("POST /v1/orders", e.postOrder)
	mux.HandleFunc("GET /v1/report", e.getReport)
	mux.HandleFunc("GET /v1/events", e.getEvents)
	mux.HandleFunc("GET /v1/holdings", e.getHoldings)
	mux.HandleFunc("POST /v1/handles", e.postHandle)
	mux.HandleFunc("DELETE /v1/handles/{id}", e.deleteHandle)
	mux.HandleFunc("GET /v1/parts/{id}", e.getPart)
	mux.HandleFunc("POST /v1/exports", e.postExport)
	mux.HandleFunc("POST /v1/imports", e.postImport)
	return mux
}

func (e *Server) postStream(w http.ResponseWriter, r *http.Request) {
	var request target.Submit
	if !decodeBody(w, r, &request) {
		return
	}
	s, refused := e.submit(request, time.Now())
	if refused != nil {
		writeRefusal(w, refused.status, refused.message)
		return
	}
	e.writeFrames(w, r, s, request.StartOffset, request.Attempt)
}

func (e *Server) getStream(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt, err := strconv.ParseUint(r.URL.Query().Get("attempt"), 10, 32)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s := e.findStream(target.StreamID(r.PathValue("id")))
	if s == nil || from < s.submit.StartOffset {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.writeFrames(w, r, s, from, uint32(attempt))
}

func (e *Server) findStream(id target.StreamID) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// writeFrames writes the stream's tokens from an offset on as they become
// available, then the end frame.
func (e *Server) writeFrames(w http.ResponseWriter, r *http.Request, s *stream, from int, attempt uint32) {
	report := e.report(time.Now())
	w.Header().Set(target.ReportHeader, report.HeaderText())
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	if controller.Flush() != nil {
		return
	}
	encoder := json.NewEncoder(w)
	for {
		next, end, changed := e.snapshot(s)
		for ; from < next; from++ {
			frame := target.Frame{Attempt: attempt, Offset: from, Text: tokenText(s.digest, from)}
			if encoder.Encode(frame) != nil {
				return
			}
		}
		if end != nil {
			end.Attempt = attempt
			_ = encoder.Encode(end)
			return
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// snapshot returns the offset of the next token, the end frame if the stream has
// ended, and a channel that is closed at the next change.
func (e *Server) snapshot(s *stream) (next int, end *target.Frame, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s.phase {
	case finished:
		end = &target.Frame{Offset: s.endOffset, End: true}
	case failed:
		end = &target.Frame{Offset: s.nextOffset, End: true, Failure: s.failure}
	}
	return s.nextOffset, end, s.changed
}

func (e *Server) deleteStream(w http.ResponseWriter, r *http.Request) {
	e.cancelStream(target.StreamID(r.PathValue("id")))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if !decodeBody(w, r, &o) {
		return
	}
	if err := e.applyOrder(o); err != nil {
		writeRefusal(w, http.StatusConflict, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Server) getReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.report(time.Now()))
}

func (e *Server) getEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	events := e.events.after(after, time.Now().Add(-e.config.EventDelay))
	e.mu.Unlock()
	writeJSON(w, events)
}

func (e *Server) getHoldings(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.holdings())
}

func (e *Server) postHandle(w http.ResponseWriter, r *http.Request) {
	var request target.Reservation
	if !decodeBody(w, r, &request) {
		return
	}
	if err := e.reserveHandle(request); err != nil {
		writeRefusal(w, http.StatusInsufficientStorage, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Server) deleteHandle(w http.ResponseWriter, r *http.Request) {
	e.freeHandle(target.HandleID(r.PathValue("id")))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Server) getPart(w http.ResponseWriter, r *http.Request) {
	info, ok := e.findHandle(target.HandleID(r.PathValue("id")))
	if !ok {
		http.Error(w, "no such handle", http.StatusNotFound)
		return
	}
	writeJSON(w, info)
}

func (e *Server) postExport(w http.ResponseWriter, r *http.Request) {
	var request targetapi.Export
	if !decodeBody(w, r, &request) {
		return
	}
	info, err := e.exportStream(request.Stream, request.As)
	writeHandle(w, info, err)
}

func (e *Server) postImport(w http.ResponseWriter, r *http.Request) {
	var request targetapi.Import
	if !decodeBody(w, r, &request) {
		return
	}
	info, err := e.importHandle(request.From, request.As)
	writeHandle(w, info, err)
}

func writeHandle(w http.ResponseWriter, info target.Handle, err error) {
	switch {
	case err == nil:
		writeJSON(w, info)
	case errors.Is(err, errOutOfMemory), errors.Is(err, errHandleExists):
		writeRefusal(w, http.StatusInsufficientStorage, err.Error())
	case errors.Is(err, errNoSuchStream):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusBadGateway)
	}
}

// writeRefusal answers that the engine did not act on the request, so that it is
// safe to send it elsewhere.
func writeRefusal(w http.ResponseWriter, status int, message string) {
	w.Header().Set(targetapi.NotRunHeader, "1")
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, message, status)
}

func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
