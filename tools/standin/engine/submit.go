package engine

import (
	"net/http"
	"time"

	"carobspoke.example/core/target"
)

// refusal is why the engine did nothing for a request.
type refusal struct {
	status  int
	message string
}

// submit accepts a stream. An ID that the engine holds already is joined, not
// run again.
func (e *Server) submit(request target.Submit, now time.Time) (*stream, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if held, ok := e.streams[request.Stream]; ok && held.phase != failed {
		return held, nil
	}
	e.normalise(&request)
	s := e.newStreamLocked(request)
	if r := e.refuseLocked(s, now); r != nil {
		return nil, r
	}
	e.acceptLocked(s, now)
	return s, nil
}

func (e *Server) normalise(request *target.Submit) {
	if request.PromptTokens == 0 {
		request.PromptTokens = (len(request.Prompt) + 3) / 4
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = e.config.MaxAnswer
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
		submit:     request,
		digest:     Digest(request.Prompt),
		arrived:    e.arrivals,
		partsKnown: len(request.Parts) == 0,
		prompt:     max(0, request.PromptTokens-remote),
		remote:     remote,
		next:       request.StartOffset,
		end:        request.MaxTokens,
		changed:    make(chan struct{}),
	}
}

func (e *Server) refuseLocked(s *stream, now time.Time) *refusal {
	switch {
	case e.serves.state.Loading:
		return &refusal{http.StatusServiceUnavailable, "loading"}
	case s.submit.Model != e.serves.state.Model:
		return &refusal{http.StatusConflict, "another model is served"}
	case !s.submit.Deadline.IsZero() && now.After(s.submit.Deadline):
		return &refusal{http.StatusRequestTimeout, "deadline passed"}
	case e.waitingLocked() >= e.config.MaxWaiting:
		return &refusal{http.StatusServiceUnavailable, "too many waiting"}
	}
	return e.refuseMemoryLocked(s)
}

// refuseMemoryLocked refuses what cannot fit beside the pinned handles, which
// the engine never frees by itself.
func (e *Server) refuseMemoryLocked(s *stream) *refusal {
	if s.submit.Reservation != "" {
		if _, ok := e.reservationLocked(s); !ok {
			return &refusal{http.StatusConflict, "no such reservation"}
		}
		return nil
	}
	tokens := s.prompt + s.end
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

func (e *Server) acceptLocked(s *stream, now time.Time) {
	if s.submit.Handle != "" {
		s.handle = e.handles[s.submit.Handle]
		s.handle.users++
	}
	if held, ok := e.reservationLocked(s); ok {
		delete(e.handles, s.submit.Reservation)
		s.own = held.info.Blocks
		s.ownsMemory = true
	}
	s.readyAt = e.adapterReadyLocked(s.submit.Adapter, now)
	e.streams[s.submit.Stream] = s
	e.running[s.submit.Stream] = s
	if len(e.submits) >= maxSubmits {
		e.submits = e.submits[1:]
	}
	e.submits = append(e.submits, s.submit)
	if !s.partsKnown {
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

// cancel ends a stream and forgets it.
func (e *Server) cancel(id target.StreamID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok {
		return
	}
	e.failLocked(s, FailureCancelled)
	delete(e.streams, id)
}
