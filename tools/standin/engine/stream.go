package engine

import (
	"time"

	"carobspoke.example/core/target"
)

// phase is the state of a stream.
type phase int

const (
	waiting phase = iota
	prefilling
	decoding
	finished
	failed
)

// stream is one generation. The engine's mutex guards its fields.
type stream struct {
	submit     target.Submit
	digest     uint64
	arrivalSeq uint64
	phase      phase
	failure    string
	// readyAt is the time at which the stream's adapter is loaded.
	readyAt time.Time
	// partsFound is set once other engines have confirmed that they hold the
	// stream's parts.
	partsFound bool
	// localTokens is the number of prompt tokens that this engine holds, and
	// remoteTokens the number in the parts that other engines hold.
	localTokens  int
	remoteTokens int
	// toPrefill is the number of tokens to prefill in total, and prefilled the
	// number of those that are done.
	toPrefill int
	prefilled int
	// nextOffset is the offset of the next token; endOffset is the length of the
	// whole answer.
	nextOffset int
	endOffset  int
	// ownBlocks is the number of blocks that the stream owns.
	ownBlocks int
	// fromReservation is set if ownBlocks come from a reservation.
	fromReservation bool
	entries         []*entry
	handle          *handle
	changed         chan struct{} // closed at each change
}

// active reports whether the stream is in the batch.
func (s *stream) active() bool { return s.phase == prefilling || s.phase == decoding }

// ended reports whether the stream is finished or failed.
func (s *stream) ended() bool { return s.phase == finished || s.phase == failed }

// cacheable reports whether the stream uses the prefix cache. It does not if its
// prompt starts with an imported handle or with parts at other engines, if its
// prompt will be pinned, or if its memory comes from a reservation.
func (s *stream) cacheable() bool {
	return s.submit.Handle == "" && len(s.submit.Parts) == 0 && s.submit.PinHandle == "" && s.submit.Reservation == ""
}

// context returns the number of tokens that a decode step reads.
func (s *stream) context() int { return s.localTokens + s.remoteTokens + s.nextOffset }

// notify wakes the readers that wait for a change of the stream.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// precedes reports whether the stream is served before the other: the one with the
// higher priority first, and at equal priority the one that arrived first.
func (s *stream) precedes(other *stream) bool {
	if s.submit.Priority != other.submit.Priority {
		return s.submit.Priority > other.submit.Priority
	}
	return s.arrivalSeq < other.arrivalSeq
}
