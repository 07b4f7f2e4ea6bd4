package engine

import (
	"net/http"
	"time"

	"carobspoke.example/core/target"
)

// refusal is the HTTP answer to a request on which the engine did not act.
type refusal struct {
	status  int
	message string
}

// submit accepts or refuses a stream. If a stream with the same ID exists and has
// not failed, submit returns it and does not run the prompt again.
func (e *Server) submit(request target.Submit, now time.Time) (*stream, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.streams[request.Stream]; ok && held.phase != failed {
		return held, nil
	}
	e.normalise(&request)
	s := e.newStreamLocked(request)
	if r := e.checkAdmissionLocked(s, now); r != nil {
		return nil, r
	}
	e.acceptLocked(s, now)
	return s, nil
}

// normalise replaces missing values. It estimates the length of the prompt as one
// token per four bytes.
func (e *Server) normalise(request *target.Submit) {
	if request.PromptTokens == 0 {
		request.PromptTokens = (len(request.Prompt) + 3) / 4
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = e.config.DefaultMaxTokens
	}
	if request.PinHandle != "" {
		request.MaxTokens = 0
	}
}

func (e *Server) newStreamLocked(request target.Submit) *stream {
	remote := 0
	for _, part := range request.Parts {
		remote += part.Tokens
	}
	e.arrivals++
	return &stream{
		submit:       request,
		digest:       PromptDigest(request.Prompt),
		arrivalSeq:   e.arrivals,
		partsFound:   len(request.Parts) == 0,
		localTokens:  max(0, request.PromptTokens-remote),
		remoteTokens: remote,
		nextOffset:   request.StartOffset,
		endOffset:    request.MaxTokens,
		changed:      make(chan struct{}),
	}
}

// checkAdmissionLocked returns a refusal if the engine cannot accept the stream,
// otherwise nil.
func (e *Server) checkAdmissionLocked(s *stream, now time.Time) *refusal {
	switch {
	case e.serving.state.Loading:
		return &refusal{http.StatusServiceUnavailable, "loading"}
	case s.submit.Model != e.serving.state.Model:
		return &refusal{http.StatusConflict, "another model is served"}
	case !s.submit.Deadline.IsZero() && now.After(s.submit.Deadline):
		return &refusal{http.StatusRequestTimeout, "deadline passed"}
	case e.waitingLocked() >= e.config.MaxWaiting:
		return &refusal{http.StatusServiceUnavailable, "too many waiting"}
	}
	return e.checkMemoryLocked(s)
}

// checkMemoryLocked returns a refusal if the stream does not fit into the memory
// that pinned handles leave, because the engine never evicts handles.
func (e *Server) checkMemoryLocked(s *stream) *refusal {
	if s.submit.Reservation != "" {
		if _, ok := e.reservationLocked(s); !ok {
			return &refusal{http.StatusConflict, "no such reservation"}
		}
		return nil
	}
	tokens := s.localTokens + s.endOffset
	if s.submit.Handle != "" {
		held, ok := e.handles[s.submit.Handle]
		if !ok || held.info.Scope != s.submit.Scope {
			return &refusal{http.StatusConflict, "no such handle"}
		}
		tokens -= held.info.Tokens
	}
	if e.config.blocksFor(tokens) > e.config.Blocks-e.pinnedLocked() {
		return &refusal{http.StatusInsufficientStorage, "memory exhausted"}
	}
	if _, taken := e.handles[s.submit.PinHandle]; taken {
		return &refusal{http.StatusConflict, "the handle exists"}
	}
	return nil
}

// acceptLocked registers the stream as waiting. It takes over the memory of its
// reservation.
func (e *Server) acceptLocked(s *stream, now time.Time) {
	if s.submit.Handle != "" {
		s.handle = e.handles[s.submit.Handle]
		s.handle.users++
	}
	if held, ok := e.reservationLocked(s); ok {
		delete(e.handles, s.submit.Reservation)
		s.ownBlocks = held.info.Blocks
		s.fromReservation = true
	}
	s.readyAt = e.adapterReadyLocked(s.submit.Adapter, now)
	e.streams[s.submit.Stream] = s
	e.running[s.submit.Stream] = s
	if len(e.submits) >= maxRecordedSubmits {
		e.submits = e.submits[1:]
	}
	e.submits = append(e.submits, s.submit)
	if !s.partsFound {
		go e.watchParts(s)
	}
	e.wakeBatch()
}

func (e *Server) waitingLocked() int {
	count := 0
	for _, s := range e.running {
		if s.phase == waiting {
			count++
		}
	}
	return count
}

// cancelStream fails a stream and removes it.
func (e *Server) cancelStream(id target.StreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return
	}
	e.failLocked(s, FailureCancelled)
	delete(e.streams, id)
}
