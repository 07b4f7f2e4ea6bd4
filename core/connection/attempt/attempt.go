// Package attempt checks the frames of one answer across the attempts that
// produce it.
//
// Each attempt of a request has a number, larger than those before it. A
// frame of an earlier attempt comes late and is discarded; a frame of an
// attempt that was never made belongs to somebody else. Within the attempt
// the offsets follow each other without gap or repetition, whatever engine
// sends them, and only an end frame with the right total makes the answer
// whole.
package attempt

import (
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Action says what to do with a frame.
type Action uint8

const (
	// Discard a late frame.
	Discard Action = iota
	// Deliver the frame's token to the caller.
	Deliver
	// Finish the answer, which is whole.
	Finish
)

// Checker checks the frames of one answer. It is not safe for concurrent use.
type Checker struct {
	attempt  uint32
	next     int
	finished bool
}

// New returns a checker of an answer whose tokens from the offset from on are
// wanted. No frame is accepted before Begin.
func New(from int) *Checker {
	return &Checker{next: from}
}

// Begin starts the next attempt and returns its number and the offset of the
// first token that is still wanted.
func (c *Checker) Begin() (number uint32, from int) {
	c.attempt++
	return c.attempt, c.next
}

// Next returns the offset of the first token that is still wanted.
func (c *Checker) Next() int { return c.next }

// Finished reports whether the answer is whole.
func (c *Checker) Finished() bool { return c.finished }

// Accept says what to do with a frame. Its errors end the attempt, never the
// answer; their verdict is Ran.
func (c *Checker) Accept(f target.Frame) (Action, error) {
	switch {
	case f.Attempt < c.attempt:
		return Discard, nil
	case f.Attempt > c.attempt:
		return Discard, mismatch("the answer is of attempt %d, not %d", f.Attempt, c.attempt)
	case c.finished:
		return Discard, mismatch("a frame follows the end")
	case f.End:
		return c.end(f)
	case f.Offset != c.next:
		return Discard, mismatch("token %d came, not %d", f.Offset, c.next)
	}
	c.next++
	return Deliver, nil
}

func (c *Checker) end(f target.Frame) (Action, error) {
	if f.Failure != "" {
		return Discard, verdict.New(verdict.Ran, verdict.TargetFailed, "the engine ended the answer early")
	}
	if f.Offset != c.next {
		return Discard, mismatch("the answer ends after %d tokens of %d", c.next, f.Offset)
	}
	c.finished = true
	return Finish, nil
}

func mismatch(format string, args ...any) error {
	return verdict.Newf(verdict.Ran, verdict.AnswerMismatch, format, args...)
}
