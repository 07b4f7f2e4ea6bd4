package watching

import (
	"container/list"
	"time"
)

const (
	// maxClockDrift is the largest difference between the rates of two hosts' clocks, as one
	// part in so many.
	maxClockDrift = 5000
	// maxSenders bounds the senders that are remembered.
	maxSenders = 4096
	// clockResolution is the unit of the times in messages, which are rounded down.
	clockResolution = time.Millisecond
	// maxBoundError is how much too low a bound may be without a new round trip. It decays
	// by as much in 100 s.
	maxBoundError = 20 * time.Millisecond
	// minAskPause is the least time between two questions to a sender whose clock is not
	// known.
	minAskPause = 500 * time.Millisecond
	// recheckPause is the time without a message that shows a bound to be precise after which
	// the sender is asked again. It doubles with each further question that has not made the
	// bound precise, maxRecheckDoublings times: the sender or this daemon is slow, or far away.
	recheckPause        = 4 * time.Second
	maxRecheckDoublings = 4
	// largeBoundError is how much too low a bound may be without an early repetition of a
	// question that was slow, as the first one often is. The pauses begin at earlyPause and double
	// up to maxEarlyDoublings times.
	largeBoundError   = 250 * time.Millisecond
	earlyPause        = time.Second
	maxEarlyDoublings = 6
)

// Clocks translates times of other daemons' clocks into the own one, so that a moment is never
// taken for later than it was, however long messages and processes wait. All clocks are those of
// package boottime: they also run while their host is suspended, show any time and drift apart
// by at most one part in maxClockDrift. S identifies a sender and must differ for each start of
// a daemon, since the clock of a host starts from zero when it is booted.
//
// If this daemon asked at a, by its clock, and the other one read its own clock at r while it
// answered, then r was not before a. What the other clock shows at m is therefore not before
// a + (m - r), less the drift. The way back does not matter. A one-way message shows the
// opposite: its sending was not after its reading. The two together bound the error.
//
// The load that it is for: daemons on hosts that are short of processor time run in a part of
// each tenth of a second only, each at a phase of its own. Between the same two daemons all
// messages then wait about as long, and their fastest one has waited, too; see Delay. Round
// trips wait as well, which makes the bound too low, never too high.
//
// A clock that jumps ahead of the other by more than the messages take, of a virtual machine
// that was stopped for instance, is noticed by the next message and makes the clock of the
// sender unknown. One that falls back makes the bound too low until the next round trip.
//
// The least recently used senders beyond maxSenders are forgotten. The zero value is ready for
// use. It is not safe for concurrent use.
type Clocks[S comparable] struct {
	senders map[S]*list.Element
	// used holds the senders, the most recently used one first.
	used list.List
}

// senderClock is what is known of the clock of a sender.
type senderClock[S comparable] struct {
	sender S
	// trip is the round trip with the highest bound, if known is true.
	trip  roundTrip
	known bool
	// fastest is the message that took the shortest time, if timed is true.
	fastest fastest
	timed   bool
	// preciseAt is when a message last showed the bound to be precise, and questions counts
	// those since. askedAt is the time of the last question, if asked is true.
	preciseAt, askedAt time.Duration
	questions          int
	asked              bool
}

// roundTrip is a question and its answer: when it was asked by the own clock, and what the clock
// of the other daemon showed while it answered.
type roundTrip struct{ asked, read time.Duration }

// local returns the latest moment by the own clock that is certainly not after the given one of
// the other clock.
func (t roundTrip) local(moment time.Duration) time.Duration {
	since := moment - t.read
	drift := (max(since, -since) + maxClockDrift - 1) / maxClockDrift
	return t.asked + since - drift - clockResolution
}

// RoundTrip records that a daemon answered a question: asked is the own time before the question
// was sent, read the time of the other clock while it was answered. asked must be that of the
// question which was answered, since that of a later one makes the bound too high: the answer
// has to repeat it.
func (c *Clocks[S]) RoundTrip(of S, asked, read time.Duration) {
	s, trip := c.sender(of), roundTrip{asked: asked, read: read}
	if at := max(read, s.trip.read); !s.known || trip.local(at) >= s.trip.local(at) {
		s.trip, s.known = trip, true
	}
}

// Local returns the latest moment by the own clock that is certainly not after the given one of
// the sender's clock, which came in a message read at readAt, and is at most readAt. known is
// false if there was no round trip or if the clock jumped; a message then shows nothing, unless
// one relies on Delay. MustAsk must have been called for the message before, since it notices
// smaller jumps.
func (c *Clocks[S]) Local(of S, moment, readAt time.Duration) (local time.Duration, known bool) {
	element, ok := c.senders[of]
	if !ok {
		return 0, false
	}
	c.used.MoveToFront(element)
	s := element.Value.(*senderClock[S])
	s.checkJump(moment, readAt)
	if !s.known {
		return 0, false
	}
	return s.trip.local(moment), true
}

// MustAsk reports whether a daemon must be asked for its clock, given a message that it sent at
// sentAt by its clock and that was read at readAt by the own one. It must if its clock is not
// known, or if no recent message shows that the bound is at most maxBoundError too low. The
// caller then sends a question: MustAsk counts it, and the next one follows after a pause.
func (c *Clocks[S]) MustAsk(of S, sentAt, readAt time.Duration) bool {
	s := c.sender(of)
	s.checkJump(sentAt, readAt)
	boundError := readAt - s.trip.local(sentAt)
	if s.known && boundError <= maxBoundError {
		s.questions, s.preciseAt = 0, max(s.preciseAt, readAt)
		return false
	}
	if s.asked && readAt < s.nextQuestion(boundError) {
		return false
	}
	s.questions++
	s.asked, s.askedAt = true, readAt
	return true
}

// nextQuestion returns the time of the next question to a sender that was asked before. boundError
// is how much too low the bound is at most.
func (s *senderClock[S]) nextQuestion(boundError time.Duration) time.Duration {
	switch {
	case !s.known:
		return s.askedAt + minAskPause
	case boundError > largeBoundError:
		return s.askedAt + earlyPause<<min(max(s.questions-1, 0), maxEarlyDoublings)
	}
	return max(s.askedAt, s.preciseAt) + recheckPause<<min(max(s.questions-1, 0), maxRecheckDoublings)
}

// Delay returns how much longer a message took than the fastest one of its sender, which counts
// as not held up. It is for senders of earlier releases, which tell no moments, and too low if
// all messages wait.
func (c *Clocks[S]) Delay(of S, sentAt, readAt time.Duration) time.Duration {
	s := c.sender(of)
	delay := s.fastest.delay(sentAt, readAt)
	if s.timed && delay > 0 {
		return delay
	}
	s.fastest, s.timed = fastest{offset: readAt - sentAt, readAt: readAt}, true
	return 0
}

// checkJump forgets the round trip if a moment of the sender's clock that was before readAt would
// be after it: one of the clocks has jumped.
func (s *senderClock[S]) checkJump(moment, readAt time.Duration) {
	if s.known && s.trip.local(moment) > readAt {
		s.known = false
	}
}

// sender returns what is known of a sender's clock, as the most recently used one.
func (c *Clocks[S]) sender(of S) *senderClock[S] {
	if element, ok := c.senders[of]; ok {
		c.used.MoveToFront(element)
		return element.Value.(*senderClock[S])
	}
	if c.senders == nil {
		c.senders = make(map[S]*list.Element)
	}
	if len(c.senders) >= maxSenders {
		oldest := c.used.Back()
		delete(c.senders, c.used.Remove(oldest).(*senderClock[S]).sender)
	}
	s := &senderClock[S]{sender: of}
	c.senders[of] = c.used.PushFront(s)
	return s
}

// fastest is the message of a sender that was read the least time after it was sent.
type fastest struct{ offset, readAt time.Duration }

// delay returns how much longer a message took than the fastest one; negative for a faster one.
func (f fastest) delay(sentAt, readAt time.Duration) time.Duration {
	return readAt - sentAt - f.offset - (readAt-f.readAt)/maxClockDrift
}
