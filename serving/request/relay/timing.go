package relay

import (
	"time"

	"carobspoke.example/core/version/routing"
)

// Class groups requests whose times are comparable.
type Class string

// Classes of requests. Streams are classified by the length of the prompt,
// because prompts of the users' traffic form groups of distinct sizes.
const (
	ShortPrompt       Class = "short_prompt"
	LongPrompt        Class = "long_prompt"
	GiantPrompt       Class = "giant_prompt"
	IdempotentCall    Class = "call"
	NonIdempotentCall Class = "once_call"
)

// Minimum lengths of long and giant prompts, in tokens.
const (
	longPromptTokens  = 25_000
	giantPromptTokens = 150_000
)

// classOf returns the class of a request.
func classOf(r *routing.Route, f *RequestInfo) Class {
	switch {
	case r.Kind == routing.NonIdempotent:
		return NonIdempotentCall
	case r.Kind != routing.Streaming:
		return IdempotentCall
	case f.PromptTokens >= giantPromptTokens:
		return GiantPrompt
	case f.PromptTokens >= longPromptTokens:
		return LongPrompt
	default:
		return ShortPrompt
	}
}

// Timing holds the durations of the stages of an answered request.
type Timing struct {
	Kind  routing.Kind
	Class Class
	// Priority is the caller's priority; 0 is the most urgent.
	Priority int
	// Queue is the time to the first send, FirstEvent the time to the first
	// event and Total the time to the end, all since the request's arrival.
	// LongestPause is the longest time between two events, zero for a call.
	Queue, FirstEvent, LongestPause, Total time.Duration
	// SendToFirstEvent is the time from the send to the first event, and
	// Predicted is the predicted value. Both are zero if the request was sent
	// more than once.
	SendToFirstEvent, Predicted time.Duration
}

// timing returns the durations of the stages of an answered request.
func (q *request) timing(now time.Time) *Timing {
	t := &Timing{Kind: q.route.Kind, Class: classOf(q.route, &q.info), Priority: q.priority(), Total: now.Sub(q.started), LongestPause: q.longestPause}
	t.FirstEvent = t.Total
	if !q.firstEventAt.IsZero() {
		t.FirstEvent = q.firstEventAt.Sub(q.started)
	}
	if !q.firstPlacedAt.IsZero() {
		t.Queue = q.firstPlacedAt.Sub(q.started)
	}
	if q.sends == 1 && q.predictedFirstEvent > 0 {
		t.SendToFirstEvent, t.Predicted = t.FirstEvent-t.Queue, q.predictedFirstEvent
	}
	return t
}
