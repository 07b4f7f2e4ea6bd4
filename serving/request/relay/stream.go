package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
)

// forwardStream forwards events as they arrive.
func (a *attempt) forwardStream() error {
	response := a.exchange.Response
	events := newEventReader(response.Body)
	timeouts := nextEventTimeouts(a.route)
	limit := streamLimit{answerTokens: a.info.AnswerTokens}
	for {
		next, err := events.next()
		switch {
		case errors.Is(err, io.EOF):
			return a.finishStream()
		case err != nil:
			a.partialEvent = a.partialEvent || events.partial()
			a.exchange.Abort()
			return a.exchange.BodyError(a.ctx, err)
		}
		if err := limit.add(&next); err != nil {
			a.exchange.Abort()
			return err
		}
		if next.comment && !a.answerStarted {
			continue
		}
		if err := a.forwardEvent(&next, timeouts); err != nil {
			a.exchange.Abort()
			return err
		}
	}
}

// forwardEvent forwards one event. A comment is no sign that the target works on the
// answer, so it does not reset the watchdog.
func (a *attempt) forwardEvent(next *event, timeouts eventTimeouts) error {
	if !next.comment {
		if a.lastReply.events++; a.lastReply.events == 1 {
			a.eventsSince = time.Now()
		}
		a.recordEvent(timeouts)
		a.recordLastingAnswer()
		if !isNextEvent(a.lastEventID, next.id) || a.lastReply.events == 1 && a.lastEventID != "" && next.id == "" {
			return verdict.Newf(verdict.Ran, verdict.AnswerMismatch, "event %q follows event %q", next.id, a.lastEventID)
		}
		if err := a.startAnswer(a.exchange.Response); err != nil {
			return err
		}
	}
	if _, err := a.w.Write(next.raw); err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.CallerGone, "the caller has gone")
	}
	_ = http.NewResponseController(a.w).Flush() // the next write returns the error
	switch {
	case next.id != "":
		a.lastEventID = next.id
	case !next.comment:
		a.unnumbered.Store(true)
	}
	return nil
}

// streamLimit bounds what a target may send as a stream. A faulty target may send
// events or comments without end.
type streamLimit struct {
	// answerTokens is the maximum length of the answer, zero if unknown. Each
	// event holds at least one token.
	answerTokens int
	events       int
	commentBytes int
}

// extraEvents is the number of events without a token that an answer may have.
const extraEvents = 16

// add counts an event. It returns an error if the stream exceeds its bounds.
func (l *streamLimit) add(next *event) error {
	if next.comment {
		l.commentBytes += len(next.raw)
		if l.commentBytes > maxEventBytes {
			return verdict.Newf(verdict.Ran, verdict.AnswerMismatch, "over %d bytes of comments without an event", maxEventBytes)
		}
		return nil
	}
	l.commentBytes = 0
	l.events++
	if l.answerTokens > 0 && l.events > l.answerTokens+extraEvents {
		return verdict.Newf(verdict.Ran, verdict.AnswerMismatch, "more than %d events for %d tokens", l.events, l.answerTokens)
	}
	return nil
}

// recordEvent records the arrival of an event. If no other attempt may follow,
// it stops the watchdog: a slow target still answers, and no other target
// would.
func (a *attempt) recordEvent(next eventTimeouts) {
	a.relay.Board.RecordActivity(a.placed.Key, a.placed.Decision.Target)
	now := time.Now()
	if !a.lastEventAt.IsZero() {
		a.longestPause = max(a.longestPause, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
	if a.mayRetry() {
		a.watchdog.reset(next)
		return
	}
	a.watchdog.stop()
}

// startAnswer sends the header before the first event. A resumed stream keeps
// the header of its first target. An answer that ends with the caller's connection is
// reset from now on unless it is completed, see completeAnswer.
func (a *attempt) startAnswer(response *http.Response) error {
	a.relay.Board.FirstEvent(a.placed.Key)
	if a.answerStarted {
		return nil
	}
	if endsWithConnection(a.r) {
		if err := setLinger(a.r, lingerReset); err != nil {
			return verdict.Wrap(err, verdict.Ran, verdict.Internal, "the answer could not be broken off visibly")
		}
	}
	a.answerStarted = true
	a.firstEventAt = time.Now()
	copyHeader(a.w.Header(), response.Header)
	a.w.WriteHeader(response.StatusCode)
	return nil
}

// finishStream completes the answer, which may have no events. It returns an error if the
// attempt had none although an earlier one began another, or if nothing but the end of the
// connection marks the end of the body: a target that crashes after the head looks the
// same.
func (a *attempt) finishStream() error {
	if a.lastReply.events == 0 && (a.partialEvent || a.lastReply.framing == framingClose) {
		a.exchange.Abort()
		return verdict.New(verdict.MayHaveRun, verdict.AnswerCut, "the stream ended before its first event")
	}
	if err := a.startAnswer(a.exchange.Response); err != nil {
		a.exchange.Abort()
		return err
	}
	a.exchange.Release()
	return a.completeAnswer()
}

// completeAnswer lets the caller's connection end in order. All events have been sent
// before.
func (a *attempt) completeAnswer() error {
	if !endsWithConnection(a.r) {
		return nil
	}
	if err := setLinger(a.r, lingerDefault); err != nil {
		return verdict.Wrap(err, verdict.Ran, verdict.CallerGone, "the caller has gone")
	}
	return nil
}

// isNextEvent reports whether an event may follow the last one of the same run: its ID
// must be the next number. Events without an ID are not checked, and any other ID may
// follow one that is not a number.
func isNextEvent(last, id string) bool {
	if last == "" || id == "" {
		return true
	}
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return last != id
	}
	after, err := strconv.ParseUint(id, 10, 64)
	return err == nil && after == before+1
}
