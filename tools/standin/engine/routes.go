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

// retryAfterSeconds is what a refusal tells its caller.
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
	if !decode(w, r, &request) {
		return
	}
	s, refused := e.submit(request, time.Now())
	if refused != nil {
		refuse(w, refused.status, refused.message)
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

// writeFrames writes a stream's tokens as they come, and its end.
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
		next, end, changed := e.look(s)
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

// look returns the tokens so far, the end frame if the stream is over, and
// what is closed at the next change.
func (e *Server) look(s *stream) (next int, end *target.Frame, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s.phase {
	case finished:
		end = &target.Frame{Offset: s.end, End: true}
	case failed:
		end = &target.Frame{Offset: s.next, End: true, Failure: s.failure}
	}
	return s.next, end, s.changed
}

func (e *Server) deleteStream(w http.ResponseWriter, r *http.Request) {
	e.cancel(target.StreamID(r.PathValue("id")))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if !decode(w, r, &o) {
		return
	}
	if err := e.order(o); err != nil {
		refuse(w, http.StatusConflict, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Server) getReport(w http.ResponseWriter, _ *http.Request) {
	answer(w, e.report(time.Now()))
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
	answer(w, events)
}

func (e *Server) getHoldings(w http.ResponseWriter, _ *http.Request) {
	answer(w, e.holdings())
}

func (e *Server) postHandle(w http.ResponseWriter, r *http.Request) {
	var request target.Reservation
	if !decode(w, r, &request) {
		return
	}
	if err := e.reserve(request); err != nil {
		refuse(w, http.StatusInsufficientStorage, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Server) deleteHandle(w http.ResponseWriter, r *http.Request) {
	e.free(target.HandleID(r.PathValue("id")))
	w.WriteHeader(http.StatusNoContent)
}

func (e *Server) getPart(w http.ResponseWriter, r *http.Request) {
	info, ok := e.findHandle(target.HandleID(r.PathValue("id")))
	if !ok {
		http.Error(w, "no such handle", http.StatusNotFound)
		return
	}
	answer(w, info)
}

func (e *Server) postExport(w http.ResponseWriter, r *http.Request) {
	var request targetapi.Export
	if !decode(w, r, &request) {
		return
	}
	info, err := e.export(request.Stream, request.As)
	answerHandle(w, info, err)
}

func (e *Server) postImport(w http.ResponseWriter, r *http.Request) {
	var request targetapi.Import
	if !decode(w, r, &request) {
		return
	}
	info, err := e.importHandle(request.From, request.As)
	answerHandle(w, info, err)
}

func answerHandle(w http.ResponseWriter, info target.Handle, err error) {
	switch {
	case err == nil:
		answer(w, info)
	case errors.Is(err, errFull), errors.Is(err, errTaken):
		refuse(w, http.StatusInsufficientStorage, err.Error())
	case errors.Is(err, errNoStream):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusBadGateway)
	}
}

// refuse says that nothing was done.
func refuse(w http.ResponseWriter, status int, message string) {
	w.Header().Set(targetapi.NotRunHeader, "1")
	w.Header().Set("Retry-After", retryAfterSeconds)
	http.Error(w, message, status)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
