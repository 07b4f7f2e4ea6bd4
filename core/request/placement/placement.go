// Package placement selects the targets of a request. Filters drop the targets
// that cannot take it, and models predict the cost of using each of the others.
// A light prompt takes the first target in order that is fast enough, or else the
// fastest, a heavy one the cheapest set of targets, which prefill it in parallel,
// and a call to a plain service the least loaded target.
//
// # Load patterns
//
// A prompt is light if it fits into the memory of one engine and either its prefill
// takes less than Settings.HeavyPrefill or the engines cannot prefill in parallel.
// All other prompts are heavy.
//
// Engines serve a mix of both. While an engine prefills a long prompt, all answers
// that it generates are delayed, and their callers accept pauses only up to
// GapTarget. Light prompts are therefore packed onto as few engines as can serve
// them in time, in the order of Candidate.Order. Heavy prompts take the cheapest
// engines and, among equally cheap ones, the last in that order. How many engines
// serve light prompts thus follows from the load, and no assignment is stored.
//
// A heavy prompt is prefilled by several engines in parallel. Every possible number
// of engines is rated, and the one with the lowest total cost is chosen: the cost
// of the time to its first token plus that of the other answers that it delays.
//
// Requests are never queued in the daemon: each is dispatched or refused at
// once.
package placement

import (
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/process/refusals"
	"carobspoke.example/core/request/overload"
	"carobspoke.example/core/verdict"
	"carobspoke.example/core/version/routing"
)

// Request holds the properties of a request that placement depends on.
type Request struct {
	// PromptTokens and AnswerTokens are zero for calls to plain services.
	PromptTokens int
	AnswerTokens int
	// LatencyTarget is the route's desired time to the first event, and
	// GapTarget the longest acceptable time between events.
	LatencyTarget time.Duration
	GapTarget     time.Duration
	// TimeLeft is the time until the whole answer is due.
	TimeLeft time.Duration
	// TimeToShutdown is the time until the daemon shuts down, by which the
	// whole answer must be delivered; zero if no shutdown is planned.
	TimeToShutdown time.Duration
	// AnswerStarted reports whether part of the answer was already delivered.
	// Refusing such a request would cut off its answer, so FirstEventTimeout
	// and TimeToShutdown do not apply to it: it is refused for lack of time only
	// if its first event is predicted to arrive after TimeLeft.
	AnswerStarted bool
	// FirstEventTimeout is how long the caller waits for the first event before
	// it gives up; zero if unknown.
	FirstEventTimeout time.Duration
	// Rank is the caller's priority; 0 is the most urgent.
	Rank int
	// Customer is the customer that the request belongs to; empty if unknown.
	Customer names.Customer
	// AnswerHint is the caller's estimate of the answer's length, in tokens; zero if
	// it gave none. It is right at the median and often far off.
	AnswerHint int
	// Fingerprint identifies the request among those that its caller sends again; zero
	// if unknown. Returned reports whether it was refused a short time ago, as far as the
	// daemon that decides knows.
	Fingerprint refusals.Fingerprint
	Returned    bool
	// Retried reports whether an attempt of the request was sent to a target before, so
	// that it may have run.
	Retried bool
	// Regions are the regions that the request may reach; empty if there is no
	// restriction.
	Regions []names.Region
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
	// Limited reports whether the target has named how many requests a second it takes.
	Limited bool
	// Cold reports whether the target has not warmed up yet, so that it bears few
	// requests a second.
	Cold bool
	// Order is the target's position among those of its service, in [0, 1). It
	// is the same at all daemons that know each other's dispatches.
	Order float64
}

// Helper is a target that prefills a part of the prompt for another.
type Helper struct {
	Target names.Target
	// ReservedTokens is the memory to reserve there, in tokens; zero if
	// Decision.Target holds the whole prompt.
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
	// Limit is the rate that Target has named, in requests per second, and LimitAge the
	// time since it did so. Limit is zero if the target has named none. Otherwise the
	// decision is a leave to send one request, see package ratelimits.
	Limit    float64
	LimitAge time.Duration
	// ColdLeave reports whether the decision is a leave to send one request to a cold
	// target.
	ColdLeave bool
	// Refusal is set if the request is refused: no target is available, none
	// can serve it in time, its prompt does not fit into the available engines,
	// or the daemon shuts down before the answer would end.
	Refusal *verdict.Error
}

// Placer places the requests of one daemon. It is not safe for concurrent use.
type Placer struct {
	settings Settings
	random   *rand.Rand
	// services holds what is remembered of the requests for engines.
	services map[names.Service]*overload.State
}

// New returns a Placer with the given settings and source of randomness.
func New(s Settings, random *rand.Rand) *Placer {
	return &Placer{settings: s, random: random, services: make(map[names.Service]*overload.State)}
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
	in := *r
	in.AnswerTokens = overload.ExpectedAnswer(r.AnswerTokens, r.AnswerHint)
	a := p.assess(&in, service, usable)
	d := p.placePrompt(a, usable)
	if d.Refusal == nil {
		a.state.Placed(r.Customer, Size(&in), a.now)
	}
	d.Priority = adjustPriority(d.Priority, r.Rank)
	return d
}

// adjustPriority returns the engine priority (0 is the highest) minus one for
// callers whose rank is below the default, who are more urgent, and plus one for
// those above it. Among prompts of the same kind the more urgent caller thus goes
// first.
func adjustPriority(priority, rank int) int {
	return min(max(priority+min(max(rank-overload.DefaultRank, -1), 1), 0), lowestPriority)
}

// filter drops the targets in r.Exclude, those with an open breaker and, for short
// requests, unresponsive ones. If the last two kinds are all that is left, it
// returns those targets, since the request may still succeed there.
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

// isShort reports whether the prompt is so short that a healthy target sends
// something before that target would count as unresponsive.
func (r *Request) isShort() bool { return r.PromptTokens < shortPromptTokens }

// shortPromptTokens bounds the prompts that every engine prefills before it
// would count as unresponsive. An engine that prefills a longer prompt may send
// nothing for a whole pass.
const shortPromptTokens = 25_000

func excluded(r *Request, id names.Target) bool {
	for _, e := range r.Exclude {
		if e == id {
			return true
		}
	}
	return false
}

// placeCall selects the target with the lowest cost: its requests per slot plus
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
