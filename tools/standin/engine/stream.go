package engine

import (
	"time"

	"carobspoke.example/core/target"
)

// phase is how far a stream has come.
type phase int

const (
	waiting phase = iota
	prefilling
	decoding
	finished
	failed
)

// stream is one generation. Its fields are guarded by the engine's mutex.
type stream struct {
	submit  target.Submit
	digest  uint64
	arrived uint64
	phase   phase
	failure string
	// readyAt is when the stream's adapter is loaded.
	readyAt time.Time
	// partsKnown is set once the parts at other engines were found.
	partsKnown bool
	// prompt is the length of the prompt that this engine itself holds, in
	// tokens; remote is that of the parts that others hold.
	prompt int
	remote int
	// toPrefill and prefilled are in tokens.
	toPrefill int
	prefilled int
	// next is the offset of the next token; end is that of the end.
	next int
	end  int
	// own is how many blocks the stream owns.
	own int
	// ownsMemory is set if own came from a reservation.
	ownsMemory bool
	entries    []*entry
	handle     *handle
	changed    chan struct{} // closed at each change
}

// active reports whether the stream is in the batch.
func (s *stream) active() bool { return s.phase == prefilling || s.phase == decoding }

// over reports whether the stream makes no more tokens.
func (s *stream) over() bool { return s.phase == finished || s.phase == failed }

// cacheable reports whether the stream reads and fills the prefix cache. A
// prompt that starts elsewhere does not, nor does one that is pinned whole.
func (s *stream) cacheable() bool {
	return s.submit.Handle == "" && len(s.submit.Parts) == 0 && s.submit.PinHandle == "" && s.submit.Reservation == ""
}

// context is the number of tokens that a decode step reads.
func (s *stream) context() int { return s.prompt + s.remote + s.next }

func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// before orders streams by priority, and by arrival within one.
func (s *stream) before(other *stream) bool {
	if s.submit.Priority != other.submit.Priority {
		return s.submit.Priority > other.submit.Priority
	}
	return s.arrived < other.arrived
}
