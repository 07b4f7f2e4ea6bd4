// Package attempt validates the frames of one answer across the attempts that
// produce it.
//
// The attempts of a request are numbered in increasing order. A frame of an
// earlier attempt is stale and is discarded. A frame of an attempt that was not
// started belongs to another request and is an error. Token offsets must be
// consecutive, without gaps or repetitions, across all engines that send them.
// The answer is complete only after an end frame with the right number of
// tokens.
package attempt

import (
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Action is what the receiver of a frame must do with it.
type Action uint8

const (
	// Discard means to drop the frame.
	Discard Action = iota
	// Deliver means to pass the frame's token to the caller.
	Deliver
	// Finish means that the answer is complete.
	Finish
)

// Checker validates the frames of one answer. It is not safe for concurrent use.
type Checker struct {
	attempt  uint32
	next     int
	finished bool
}

// New returns a Checker for an answer of which the tokens from offset onwards are
// expected. Begin must be called before the first frame.
func New(offset int) *Checker {
	return &Checker{next: offset}
}

// Begin starts the next attempt and returns its number and the offset of the
// next expected token.
func (c *Checker) Begin() (number uint32, offset int) {
	c.attempt++
	return c.attempt, c.next
}

// Next returns the offset of the next expected token.
func (c *Checker) Next() int { return c.next }

// Finished reports whether the answer is complete.
func (c *Checker) Finished() bool { return c.finished }

// Accept validates a frame and returns what to do with it. An error ends the
// attempt, but another attempt may continue the answer. Its verdict is Ran.
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
