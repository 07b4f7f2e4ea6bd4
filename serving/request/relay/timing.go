package relay

import (
	"time"

	"carobspoke.example/core/version/routing"
)

// Class groups requests whose times can be compared.
type Class string

// Classes of requests. Those of streams go by the length of the prompt, as the
// sizes of the users' traffic fall apart.
const (
	ShortPrompt Class = "short_prompt"
	LongPrompt  Class = "long_prompt"
	GiantPrompt Class = "giant_prompt"
	Call        Class = "call"
	OnceCall    Class = "once_call"
)

// Bounds of prompts, in tokens.
const (
	longFrom  = 25_000
	giantFrom = 150_000
)

// classOf returns the class of a request.
func classOf(r *routing.Route, f *Facts) Class {
	switch {
	case r.Kind == routing.NonIdempotent:
		return OnceCall
	case r.Kind != routing.Streaming:
		return Call
	case f.PromptTokens >= giantFrom:
		return GiantPrompt
	case f.PromptTokens >= longFrom:
		return LongPrompt
	default:
		return ShortPrompt
	}
}

// Timing is how long the stages of an answered request took.
type Timing struct {
	Kind  routing.Kind
	Class Class
	// Queue is the time until the first send, First that to the first event
	// and Whole that to the end, all from the request's arrival. Pause is the
	// longest time between two events, zero for a call.
	Queue, First, Pause, Whole time.Duration
	// Sent is the time from the last send to the first event, and Predicted
	// what was predicted for it. Both are zero unless one send gave the
	// answer.
	Sent, Predicted time.Duration
}

// timing returns the stages of an answered request.
func (q *request) timing(now time.Time) *Timing {
	t := &Timing{Kind: q.route.Kind, Class: classOf(q.route, &q.facts), Whole: now.Sub(q.started), Pause: q.longestPause}
	t.First = t.Whole
	if !q.firstEvent.IsZero() {
		t.First = q.firstEvent.Sub(q.started)
	}
	if !q.firstSend.IsZero() {
		t.Queue = q.firstSend.Sub(q.started)
	}
	if q.sends == 1 && q.predicted > 0 {
		t.Sent, t.Predicted = t.First-t.Queue, q.predicted
	}
	return t
}
