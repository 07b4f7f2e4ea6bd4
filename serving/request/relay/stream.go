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
	controller := http.NewResponseController(a.w)
	timeouts := nextEventTimeouts(a.route)
	for {
		next, err := events.next()
		switch {
		case errors.Is(err, io.EOF):
			return a.finishStream()
		case err != nil:
			a.exchange.Abort()
			return a.exchange.BodyError(a.ctx, err)
		}
		a.recordEvent(timeouts)
		if !isNextEvent(a.lastEventID, next.id) {
			a.exchange.Abort()
			return verdict.Newf(verdict.Ran, verdict.AnswerMismatch, "event %q follows event %q", next.id, a.lastEventID)
		}
		a.startAnswer(response)
		if _, err := a.w.Write(next.raw); err != nil {
			a.exchange.Abort()
			return verdict.Wrap(err, verdict.Ran, verdict.CallerGone, "the caller has gone")
		}
		_ = controller.Flush() // the next write returns the error
		a.lastEventID = next.id
	}
}

// recordEvent records the arrival of an event. If no other attempt may follow,
// it stops the watchdog: a slow target still answers, and no other target
// would.
func (a *attempt) recordEvent(next eventTimeouts) {
	a.relay.Board.RecordActivity(a.placed.Decision.Target)
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
// the header of its first target.
func (a *attempt) startAnswer(response *http.Response) {
	a.relay.Board.FirstEvent(a.placed.Key)
	if a.answerStarted {
		return
	}
	a.answerStarted = true
	a.firstEventAt = time.Now()
	copyHeader(a.w.Header(), response.Header)
	a.w.WriteHeader(response.StatusCode)
}

// finishStream completes the answer. It returns an error if the stream had no
// events.
func (a *attempt) finishStream() error {
	if !a.answerStarted {
		a.exchange.Abort()
		return verdict.New(verdict.MayHaveRun, verdict.AnswerCut, "the stream ended before its first event")
	}
	a.exchange.Release()
	return nil
}

// isNextEvent reports whether an event may follow the last one: its ID must be
// the next number. Events without an ID are not checked, and any other ID may
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
