package relay

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"carobspoke.example/core/verdict"
	"github.com/pkg/errors"
)

// stream passes events on as they come.
func (a *attempt) stream() error {
	response := a.exchange.Response
	events := newEventReader(response.Body)
	controller := http.NewResponseController(a.w)
	gap := gapLimits(a.route)
	for {
		next, err := events.next()
		switch {
		case errors.Is(err, io.EOF):
			return a.streamEnded()
		case err != nil:
			a.exchange.Abort()
			return a.exchange.BodyError(a.ctx, err)
		}
		a.heard(gap)
		if !follows(a.lastID, next.id) {
			a.exchange.Abort()
			return verdict.Newf(verdict.Ran, verdict.AnswerMismatch, "event %q follows event %q", next.id, a.lastID)
		}
		a.begin(response)
		if _, err := a.w.Write(next.raw); err != nil {
			a.exchange.Abort()
			return verdict.Wrap(err, verdict.Ran, verdict.CallerGone, "the caller has gone")
		}
		_ = controller.Flush() // the next write tells
		a.lastID = next.id
	}
}

// heard notes that an event came. Silence ends an attempt only where another
// may follow it: a target that is slow still answers, and nobody else would.
func (a *attempt) heard(gap limits) {
	a.relay.Board.Heard(a.placed.Decision.Target)
	now := time.Now()
	if !a.lastEvent.IsZero() {
		a.longestPause = max(a.longestPause, now.Sub(a.lastEvent))
	}
	a.lastEvent = now
	if a.mayRepeat() {
		a.watchdog.feed(gap)
		return
	}
	a.watchdog.stop()
}

// begin sends the header before the first event. A resumed stream keeps the
// header of its first target.
func (a *attempt) begin(response *http.Response) {
	a.relay.Board.FirstEvent(a.placed.Key)
	if a.begun {
		return
	}
	a.begun = true
	a.firstEvent = time.Now()
	copyHeader(a.w.Header(), response.Header)
	a.w.WriteHeader(response.StatusCode)
}

// streamEnded ends the answer. A stream without events is no answer.
func (a *attempt) streamEnded() error {
	if !a.begun {
		a.exchange.Abort()
		return verdict.New(verdict.MayHaveRun, verdict.AnswerCut, "the stream ended before its first event")
	}
	a.exchange.Release()
	return nil
}

// follows reports whether an event may come after another: its number is the
// next one. Events without numbers may come in any order.
func follows(last, id string) bool {
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
