package engine

import (
	"slices"
	"strings"
	"time"
)

// chunk is the prefill work for one stream in one step.
type chunk struct {
	stream *stream
	tokens int
}

// step is the work of one iteration of the batch loop.
type step struct {
	decode   []*stream
	chunks   []chunk
	duration time.Duration // modelled
	crash    bool          // a prompt with the crash trigger is about to be prefilled
}

func (s step) empty() bool { return len(s.decode) == 0 && len(s.chunks) == 0 && !s.crash }

// planStepLocked admits waiting streams to the batch and returns the next
// step.
func (e *Server) planStepLocked(now time.Time) step {
	e.expireLocked(now)
	ordered := e.orderedLocked()
	e.admitLocked(ordered, now)
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
			next.crash = next.crash || e.triggersCrash(s)
		}
	}
	next.duration = e.config.stepTime(next)
	return next
}

// triggersCrash reports whether the stream is about to be prefilled and its
// prompt contains the crash trigger.
func (e *Server) triggersCrash(s *stream) bool {
	return s.prefilled == 0 && strings.Contains(s.submit.Prompt, e.config.CrashTrigger)
}

// orderedLocked returns the streams that have not ended, by priority and then
// by arrival.
func (e *Server) orderedLocked() []*stream {
	ordered := make([]*stream, 0, len(e.running))
	for _, s := range e.running {
		ordered = append(ordered, s)
	}
	slices.SortFunc(ordered, func(a, b *stream) int {
		if a.precedes(b) {
			return -1
		}
		return 1
	})
	return ordered
}

// admitLocked moves waiting streams to the batch in the given order. It stops at
// the first one for which there is not enough memory.
func (e *Server) admitLocked(ordered []*stream, now time.Time) {
	for _, s := range ordered {
		if s.phase != waiting || now.Before(s.readyAt) || !s.partsFound {
			continue
		}
		if !e.reserveStreamMemoryLocked(s) {
			return
		}
		s.phase = prefilling
		if s.toPrefill == s.prefilled {
			e.prefillDoneLocked(s)
		}
	}
}

// reserveStreamMemoryLocked reserves memory for the whole answer and for the part
// of the prompt that neither the prefix cache nor the stream's handle holds. It
// returns false if there is not enough memory.
func (e *Server) reserveStreamMemoryLocked(s *stream) bool {
	if s.fromReservation {
		s.toPrefill = s.localTokens + s.submit.StartOffset
		return true
	}
	var entries []*entry
	if s.cacheable() {
		entries = e.memory.match(s.submit.Scope, s.submit.Prefixes)
	}
	cached := min(e.config.tokensCovered(len(entries)), s.localTokens)
	if s.handle != nil {
		cached = max(cached, s.handle.info.Tokens)
	}
	needed := e.config.blocksFor(max(0, s.localTokens+s.endOffset-cached))
	if !e.memory.reserveBlocks(needed) {
		e.memory.releaseEntries(entries)
		return false
	}
	s.entries = entries
	s.ownBlocks = needed
	s.toPrefill = max(0, s.localTokens+s.submit.StartOffset-cached)
	return true
}

// applyStepLocked records the results of a step that has completed.
func (e *Server) applyStepLocked(done step) {
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
		s.nextOffset++
		if s.nextOffset >= s.endOffset {
			e.finishLocked(s)
			continue
		}
		s.notify()
	}
}

// prefillDoneLocked adds the prompt's prefixes to the cache, then starts decoding
// or, if the submit asked for a handle, pins the prompt.
func (e *Server) prefillDoneLocked(s *stream) {
	e.cachePrefixesLocked(s)
	if s.submit.PinHandle != "" {
		e.pinLocked(s)
		return
	}
	s.phase = decoding
	if s.nextOffset >= s.endOffset {
		e.finishLocked(s)
	}
}

// cachePrefixesLocked transfers blocks of the prefilled prompt from the stream to
// new cache entries, from the first prefix that was not cached on.
func (e *Server) cachePrefixesLocked(s *stream) {
	if !s.cacheable() {
		return
	}
	for i := len(s.entries); i < len(s.submit.Prefixes); i++ {
		blocks := e.config.blocksFor(e.config.tokensCovered(i+1) - e.config.tokensCovered(i))
		if e.config.tokensCovered(i+1) > s.localTokens || blocks > s.ownBlocks {
			return
		}
		added := e.memory.insert(prefixKey{s.submit.Scope, s.submit.Prefixes[i]}, blocks)
		if added == nil {
			return
		}
		s.ownBlocks -= blocks
		s.entries = append(s.entries, added)
	}
}

// finishLocked marks the stream as complete. Its memory is released immediately;
// its tokens remain readable until its deadline.
func (e *Server) finishLocked(s *stream) {
	s.phase = finished
	delete(e.running, s.submit.Stream)
	e.releaseLocked(s)
	s.notify()
}

// failLocked ends the stream with a failure, unless it has already ended.
func (e *Server) failLocked(s *stream, failure string) {
	if s.ended() {
		return
	}
	s.phase = failed
	delete(e.running, s.submit.Stream)
	s.failure = failure
	e.releaseLocked(s)
	s.notify()
}

func (e *Server) releaseLocked(s *stream) {
	e.memory.releaseBlocks(s.ownBlocks)
	s.ownBlocks = 0
	e.memory.releaseEntries(s.entries)
	s.entries = nil
	if s.handle != nil {
		e.releaseHandleLocked(s.handle)
		s.handle = nil
	}
}

// expiryInterval is the interval between scans for ended streams whose deadline
// has passed.
const expiryInterval = 200 * time.Millisecond

// expireLocked fails running streams whose deadline has passed and, once per
// expiryInterval, removes all expired streams.
func (e *Server) expireLocked(now time.Time) {
	for _, s := range e.running {
		if !s.submit.Deadline.IsZero() && !now.Before(s.submit.Deadline) {
			e.failLocked(s, FailureDeadline)
		}
	}
	if now.Sub(e.lastExpiry) < expiryInterval {
		return
	}
	e.lastExpiry = now
	for id, s := range e.streams {
		if s.submit.Deadline.IsZero() || now.Before(s.submit.Deadline) {
			continue
		}
		delete(e.streams, id)
	}
}

// stepTime returns the modelled duration of a step.
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
		total += c.prefillTime(work.stream.remoteTokens+work.stream.prefilled, work.tokens)
	}
	return total
}

// prefillTime returns the modelled time to prefill tokens that follow a context
// of the given length, in tokens.
func (c Config) prefillTime(context, tokens int) time.Duration {
	slowdown := 1 + (float64(context)+float64(tokens)/2)/c.PrefillDoublingContext
	return time.Duration(float64(tokens) / c.PrefillRate * slowdown * float64(time.Second))
}

// blocksFor returns the number of blocks that hold the given number of tokens.
func (c Config) blocksFor(tokens int) int {
	return (tokens + c.BlockTokens - 1) / c.BlockTokens
}
