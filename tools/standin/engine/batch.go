package engine

import (
	"slices"
	"strings"
	"time"
)

// chunk is prefill work of one stream in one step.
type chunk struct {
	stream *stream
	tokens int
}

// step is the work of one iteration of the batch.
type step struct {
	decode   []*stream
	chunks   []chunk
	duration time.Duration // modelled
	crash    bool
}

func (s step) empty() bool { return len(s.decode) == 0 && len(s.chunks) == 0 && !s.crash }

// planLocked moves streams from waiting to the batch and returns the next
// step.
func (e *Server) planLocked(now time.Time) step {
	e.expireLocked(now)
	ordered := e.orderedLocked()
	e.joinLocked(ordered, now)
	var next step
	budget := e.config.ChunkTokens
	for _, s := range ordered {
		switch {
		case s.phase == decoding && len(next.decode) < e.config.MaxBatch:
			next.decode = append(next.decode, s)
		case s.phase == prefilling && budget > 0:
			tokens := min(budget, s.toPrefill-s.prefilled)
			budget -= tokens
			next.chunks = append(next.chunks, chunk{s, tokens})
			next.crash = next.crash || e.crashes(s)
		}
	}
	next.duration = e.config.stepTime(next)
	return next
}

func (e *Server) crashes(s *stream) bool {
	return s.prefilled == 0 && strings.Contains(s.submit.Prompt, e.config.CrashMark)
}

// orderedLocked returns the streams that are not over, in order of priority.
func (e *Server) orderedLocked() []*stream {
	ordered := make([]*stream, 0, len(e.running))
	for _, s := range e.running {
		ordered = append(ordered, s)
	}
	slices.SortFunc(ordered, func(a, b *stream) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	return ordered
}

// joinLocked lets waiting streams join in order, until one does not fit.
func (e *Server) joinLocked(ordered []*stream, now time.Time) {
	for _, s := range ordered {
		if s.phase != waiting || now.Before(s.readyAt) || !s.partsKnown {
			continue
		}
		if !e.reserveLocked(s) {
			return
		}
		s.phase = prefilling
		if s.toPrefill == s.prefilled {
			e.prefillDoneLocked(s)
		}
	}
}

// reserveLocked takes the stream's memory: what is not cached and not in its
// handle of the prompt, and the whole answer.
func (e *Server) reserveLocked(s *stream) bool {
	if s.ownsMemory {
		s.toPrefill = s.prompt + s.submit.StartOffset
		return true
	}
	var entries []*entry
	if s.cacheable() {
		entries = e.memory.match(s.submit.Scope, s.submit.Prefixes)
	}
	cached := min(e.config.covers(len(entries)), s.prompt)
	if s.handle != nil {
		cached = max(cached, s.handle.info.Tokens)
	}
	own := e.config.blocksFor(max(0, s.prompt+s.end-cached))
	if !e.memory.reserve(own) {
		e.memory.leave(entries)
		return false
	}
	s.entries = entries
	s.own = own
	s.toPrefill = max(0, s.prompt+s.submit.StartOffset-cached)
	return true
}

// applyLocked makes the step's results visible.
func (e *Server) applyLocked(done step) {
	for _, c := range done.chunks {
		if c.stream.phase != prefilling {
			continue
		}
		c.stream.prefilled += c.tokens
		if c.stream.prefilled >= c.stream.toPrefill {
			e.prefillDoneLocked(c.stream)
		}
	}
	for _, s := range done.decode {
		if s.phase != decoding {
			continue
		}
		s.next++
		if s.next >= s.end {
			e.finishLocked(s)
			continue
		}
		s.wake()
	}
}

// prefillDoneLocked gives the prompt's prefixes to the cache and starts to
// decode, or pins a held prompt.
func (e *Server) prefillDoneLocked(s *stream) {
	e.cacheLocked(s)
	if s.submit.PinHandle != "" {
		e.holdLocked(s)
		return
	}
	s.phase = decoding
	if s.next >= s.end {
		e.finishLocked(s)
	}
}

func (e *Server) cacheLocked(s *stream) {
	if !s.cacheable() {
		return
	}
	for i := len(s.entries); i < len(s.submit.Prefixes); i++ {
		blocks := e.config.blocksFor(e.config.covers(i+1) - e.config.covers(i))
		if e.config.covers(i+1) > s.prompt || blocks > s.own {
			return
		}
		added := e.memory.insert(prefixKey{s.submit.Scope, s.submit.Prefixes[i]}, blocks)
		if added == nil {
			return
		}
		s.own -= blocks
		s.entries = append(s.entries, added)
	}
}

// finishLocked ends a whole answer. The stream stays readable until its
// deadline; its memory is free at once.
func (e *Server) finishLocked(s *stream) {
	s.phase = finished
	delete(e.running, s.submit.Stream)
	e.releaseLocked(s)
	s.wake()
}

func (e *Server) failLocked(s *stream, failure string) {
	if s.over() {
		return
	}
	s.phase = failed
	delete(e.running, s.submit.Stream)
	s.failure = failure
	e.releaseLocked(s)
	s.wake()
}

func (e *Server) releaseLocked(s *stream) {
	e.memory.release(s.own)
	s.own = 0
	e.memory.leave(s.entries)
	s.entries = nil
	if s.handle != nil {
		e.leaveHandleLocked(s.handle)
		s.handle = nil
	}
}

// expireEvery is the time between two searches for streams that are over and
// past their deadline.
const expireEvery = 200 * time.Millisecond

// expireLocked drops streams whose deadline has passed.
func (e *Server) expireLocked(now time.Time) {
	for _, s := range e.running {
		if !s.submit.Deadline.IsZero() && !now.Before(s.submit.Deadline) {
			e.failLocked(s, FailureDeadline)
		}
	}
	if now.Sub(e.expired) < expireEvery {
		return
	}
	e.expired = now
	for id, s := range e.streams {
		if s.submit.Deadline.IsZero() || now.Before(s.submit.Deadline) {
			continue
		}
		delete(e.streams, id)
	}
}

// stepTime is the modelled duration of a step.
func (c Config) stepTime(s step) time.Duration {
	if s.empty() {
		return 0
	}
	total := c.StepBase
	for _, running := range s.decode {
		total += c.StepPerStream
		total += time.Duration(running.context()) * c.StepPerToken
		total += time.Duration(len(running.submit.Parts)) * c.StepPerPart
	}
	for _, work := range s.chunks {
		total += c.prefillTime(work.stream.remote+work.stream.prefilled, work.tokens)
	}
	return total
}

// prefillTime is the modelled time to prefill tokens after a context.
func (c Config) prefillTime(context, tokens int) time.Duration {
	slowdown := 1 + (float64(context)+float64(tokens)/2)/c.PrefillContext
	return time.Duration(float64(tokens) / c.PrefillRate * slowdown * float64(time.Second))
}

func (c Config) blocksFor(tokens int) int {
	return (tokens + c.BlockTokens - 1) / c.BlockTokens
}
