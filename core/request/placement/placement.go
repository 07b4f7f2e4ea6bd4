// Package placement decides where a request runs: filters drop the targets
// that cannot take it, scorers predict what each of the rest would cost, and a
// picker takes one, or several that read one prompt together.
//
// # Load patterns
//
// Short prompts whose callers accept no pause share engines with long ones. An
// engine that reads a long prompt delays every answer that it writes. Light
// prompts are therefore packed onto as few engines as can serve them in time,
// in one order that all daemons share, and heavy ones take the engines from the
// other end of that order. The border between both moves with the mix, without
// a stored assignment.
//
// A heavy prompt is read by several engines at once, as many as shorten the
// time to its first token by more than they delay others.
//
// Nothing waits in the daemon: a request is sent at once or refused at once.
package placement

import (
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
)

// Request is what placement knows of a request.
type Request struct {
	// PromptTokens and AnswerTokens are zero for calls to plain services.
	PromptTokens int
	AnswerTokens int
	// LatencyTarget and GapTarget are the route's.
	LatencyTarget time.Duration
	GapTarget     time.Duration
	// Left is the time until the request must have its whole answer.
	Left time.Duration
	// Ends is when the daemon ends, from now; zero if it stays. The whole
	// answer must be out by then.
	Ends time.Duration
	// Begun says that the caller has a part of the answer. Giving the request
	// up would break it off, so that it is placed unless it is hopeless.
	Begun bool
	// Patience is how long callers wait for the first event before they leave;
	// zero if that is not known.
	Patience time.Duration
	// Rank is the caller's priority; 0 is the most urgent.
	Rank int
	// Exclude names targets that must not get the request again.
	Exclude []names.Target
}

// Candidate is a target of the request's service.
type Candidate struct {
	Target names.Target
	Slots  int
	Load   inflight.Load
	// Spared targets failed of late; Score is how much.
	Spared bool
	Score  float64
	// Silent targets owe answers, and nothing comes from them.
	Silent bool
	// Order is the target's place among those of its service, from 0 to 1;
	// all daemons compute the same.
	Order float64
}

// Helper is a target that reads a part of the prompt.
type Helper struct {
	Target names.Target
	// Reserve is the memory to set aside there, in tokens; zero if the first
	// target holds the whole prompt.
	Reserve int
}

// Decision is where a request goes, or why it goes nowhere.
type Decision struct {
	Target  names.Target
	Helpers []Helper
	// Load is what was known of the target's work.
	Load inflight.Load
	// FirstEvent is the predicted time to the first event, Whole that to the
	// end of the answer.
	FirstEvent time.Duration
	Whole      time.Duration
	// Parts is what the request puts on each target.
	Parts []inflight.Part
	// Priority is what to ask of the engine, 0 to 9, 0 first.
	Priority int
	// Refusal is set when no target can serve the request in time.
	Refusal *verdict.Error
}

// Placer places the requests of one daemon.
type Placer struct {
	settings Settings
	random   *rand.Rand
}

// New returns a placer.
func New(s Settings, random *rand.Rand) *Placer {
	return &Placer{settings: s, random: random}
}

// Place decides about a request for a service.
func (p *Placer) Place(r *Request, service *routing.Service, candidates []Candidate) Decision {
	usable := filter(r, candidates)
	if len(usable) == 0 {
		return Decision{Refusal: verdict.New(verdict.NotRun, verdict.NoTarget, "no target of the service is available").WithRetryAfter(p.settings.NoTargetRetry)}
	}
	if service.Engine == nil || r.PromptTokens == 0 {
		return p.placeCall(usable)
	}
	d := p.placePrompt(r, service.Engine, usable)
	d.Priority = ranked(d.Priority, r.Rank)
	return d
}

// usualRank is the rank of callers that no configuration sets apart.
const usualRank = 1

// ranked moves a priority by one place for callers above or below the usual
// rank: among equal prompts the more urgent caller goes first.
func ranked(priority, rank int) int {
	return min(max(priority+min(max(rank-usualRank, -1), 1), 0), lowestPriority)
}

// filter drops targets that failed the request or fail others. If all fail,
// the least bad are better than none.
func filter(r *Request, candidates []Candidate) []Candidate {
	usable := make([]Candidate, 0, len(candidates))
	var spared []Candidate
	for _, c := range candidates {
		switch {
		case excluded(r, c.Target):
		case c.Spared || c.Silent && r.light():
			spared = append(spared, c)
		default:
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return spared
	}
	return usable
}

// light reports whether the request is one that targets answer within the time
// that counts as silence.
func (r *Request) light() bool { return r.PromptTokens < lightTokens }

// lightTokens bounds the prompts that no engine reads for longer than that; an
// engine that reads longer ones may be silent for a pass.
const lightTokens = 25_000

func excluded(r *Request, id names.Target) bool {
	for _, e := range r.Exclude {
		if e == id {
			return true
		}
	}
	return false
}

// placeCall takes the target with the fewest requests for its slots.
func (p *Placer) placeCall(usable []Candidate) Decision {
	best, bestCost := 0, 0.0
	from := p.random.IntN(len(usable))
	for i := range usable {
		at := (from + i) % len(usable)
		c := &usable[at]
		cost := float64(c.Load.Requests)/float64(max(c.Slots, 1)) + c.Score
		if i == 0 || cost < bestCost {
			best, bestCost = at, cost
		}
	}
	c := &usable[best]
	return Decision{Target: c.Target, Load: c.Load, Parts: []inflight.Part{{Target: c.Target}}, Priority: defaultPriority}
}
