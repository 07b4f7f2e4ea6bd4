// Package placement selects the targets of a request. Filters drop the targets
// that cannot take it, cost models predict the cost of using each of the
// others, and the cheapest is chosen, or several that prefill one prompt in
// parallel.
//
// # Load patterns
//
// Engines serve a mix of short prompts, whose callers accept no pause, and long
// ones. While an engine prefills a long prompt, all answers that it generates
// are delayed. Light prompts are therefore packed onto as few engines as can
// serve them in time, in an order that is the same at all daemons, and heavy
// prompts take engines from the other end of that order. The boundary between
// the two moves with the mix and needs no stored assignment.
//
// A heavy prompt is prefilled by several engines in parallel. Engines are added
// while they shorten the time to its first token by more than they delay other
// answers.
//
// Requests are never queued in the daemon: each is dispatched or refused at
// once.
package placement

import (
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
)

// Request holds the properties of a request that placement depends on.
type Request struct {
	// PromptTokens and AnswerTokens are zero for calls to plain services.
	PromptTokens int
	AnswerTokens int
	// LatencyTarget and GapTarget are the route's.
	LatencyTarget time.Duration
	GapTarget     time.Duration
	// TimeLeft is the time until the whole answer is due.
	TimeLeft time.Duration
	// TimeToShutdown is the time until the daemon shuts down, by which the
	// whole answer must be delivered; zero if no shutdown is planned.
	TimeToShutdown time.Duration
	// AnswerStarted reports whether part of the answer was already delivered.
	// Refusing such a request would cut off its answer, so it is refused only
	// if its first event is predicted to miss the deadline.
	AnswerStarted bool
	// FirstEventTimeout is how long the caller waits for the first event before
	// it gives up; zero if unknown.
	FirstEventTimeout time.Duration
	// Rank is the caller's priority; 0 is the most urgent.
	Rank int
	// Exclude lists targets that must not get the request again.
	Exclude []names.Target
}

// Candidate is a target of the request's service.
type Candidate struct {
	Target names.Target
	Slots  int
	Load   inflight.Load
	// BreakerOpen reports whether the target is excluded because of recent
	// failures, and FailureScore is a decaying measure of them.
	BreakerOpen  bool
	FailureScore float64
	// Unresponsive reports whether the target has requests in flight but has
	// sent nothing for too long.
	Unresponsive bool
	// Order is the target's position among those of its service, from 0 to 1.
	// All daemons compute the same value.
	Order float64
}

// Helper is a target that prefills a part of the prompt for another.
type Helper struct {
	Target names.Target
	// ReservedTokens is the memory to reserve there, in tokens; zero if the
	// first target holds the whole prompt.
	ReservedTokens int
}

// Decision is the placement of a request, or its refusal.
type Decision struct {
	Target  names.Target
	Helpers []Helper
	// Load is the load of Target on which the decision is based.
	Load inflight.Load
	// FirstEvent is the predicted time to the first event, and Completion the
	// predicted time to the end of the answer.
	FirstEvent time.Duration
	Completion time.Duration
	// Parts is the work that the request adds to each target.
	Parts []inflight.Part
	// Priority is the priority to request from the engine, from 0 (highest)
	// to 9.
	Priority int
	// Refusal is set when no target can serve the request in time.
	Refusal *verdict.Error
}

// Placer places the requests of one daemon.
type Placer struct {
	settings Settings
	random   *rand.Rand
}

// New returns a Placer with the given settings and source of randomness.
func New(s Settings, random *rand.Rand) *Placer {
	return &Placer{settings: s, random: random}
}

// Place selects the targets of a request among the candidates of its service.
func (p *Placer) Place(r *Request, service *routing.Service, candidates []Candidate) Decision {
	usable := filter(r, candidates)
	if len(usable) == 0 {
		return Decision{Refusal: verdict.New(verdict.NotRun, verdict.NoTarget, "no target of the service is available").WithRetryAfter(p.settings.NoTargetRetryAfter)}
	}
	if service.Engine == nil || r.PromptTokens == 0 {
		return p.placeCall(usable)
	}
	d := p.placePrompt(r, service.Engine, usable)
	d.Priority = adjustPriority(d.Priority, r.Rank)
	return d
}

// defaultRank is the rank of callers without a configured priority.
const defaultRank = 1

// adjustPriority raises or lowers an engine priority by one step for callers
// above or below the default rank, so that among prompts of the same kind the
// more urgent caller goes first.
func adjustPriority(priority, rank int) int {
	return min(max(priority+min(max(rank-defaultRank, -1), 1), 0), lowestPriority)
}

// filter drops targets that already failed the request, and unhealthy ones. If
// only unhealthy targets are left it returns those, since the request may still
// succeed there.
func filter(r *Request, candidates []Candidate) []Candidate {
	usable := make([]Candidate, 0, len(candidates))
	var unhealthy []Candidate
	for _, c := range candidates {
		switch {
		case excluded(r, c.Target):
		case c.BreakerOpen || c.Unresponsive && r.isShort():
			unhealthy = append(unhealthy, c)
		default:
			usable = append(usable, c)
		}
	}
	if len(usable) == 0 {
		return unhealthy
	}
	return usable
}

// isShort reports whether a healthy target answers the request before it would
// count as unresponsive.
func (r *Request) isShort() bool { return r.PromptTokens < shortPromptTokens }

// shortPromptTokens bounds the prompts that every engine prefills before it
// would count as unresponsive. While an engine prefills a longer prompt, it may
// send nothing for a whole pass.
const shortPromptTokens = 25_000

func excluded(r *Request, id names.Target) bool {
	for _, e := range r.Exclude {
		if e == id {
			return true
		}
	}
	return false
}

// placeCall selects the target with the fewest requests per slot, after adding
// its failure score. Ties are broken at random.
func (p *Placer) placeCall(usable []Candidate) Decision {
	best, bestCost := 0, 0.0
	offset := p.random.IntN(len(usable))
	for i := range usable {
		at := (offset + i) % len(usable)
		c := &usable[at]
		cost := float64(c.Load.Requests)/float64(max(c.Slots, 1)) + c.FailureScore
		if i == 0 || cost < bestCost {
			best, bestCost = at, cost
		}
	}
	c := &usable[best]
	return Decision{Target: c.Target, Load: c.Load, Parts: []inflight.Part{{Target: c.Target}}, Priority: defaultPriority}
}
