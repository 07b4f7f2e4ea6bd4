// Package admission implements admission control: for each request that
// reaches a daemon, it decides whether the request starts or is refused, and on
// which target it runs.
//
// # Contract
//
// Admit returns one Action for each request without waiting:
//
//   - Start: send the request to Action.Decision.Target with Action.Priority.
//     The dispatch is already counted as load. The code that drives the
//     controller must call Finished exactly once for it, and FirstToken before
//     that if a token arrived.
//   - Refuse: return Action.Refusal to the caller. Its verdict is NotRun: the
//     request was sent to no target.
//   - Span: the prompt exceeds the memory of every single engine that serves
//     the model, but fits into that of several; package span runs it. The
//     request counts as in flight but as load of no target. The driving code
//     must call Finished exactly once for it, and record its parts with
//     Table().Dispatched and Table().Finished.
//
// A retry is a new Arrival with a new ID and the failed targets in Exclude.
// Retry budgets are enforced elsewhere.
//
// # Guarantees
//
// A request is refused immediately when its predicted completion is past its
// deadline, or when the queueing delay at its target is above the limit for
// the request. The daemon does not queue requests, and the controller never
// cancels an admitted one. The queues that it fills are bounded in tokens by
// MaxQueueTime times each target's prefill rate, and the memory of the requests
// in flight is bounded in bytes by MaxInFlightBytes.
//
// The queue limit is lower for customers that recently used more than their
// share, see package fairness, and higher for requests with a longer prefill,
// for which the same wait is a smaller part of the total time.
//
// A Controller is not safe for concurrent use; the caller holds a lock around
// it. It does no I/O. Admit takes time linear in the number of the model's
// targets that this daemon keeps; all other operations take constant time.
package admission

import (
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/class"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/request/fairness"
	"carobspoke.example/core/request/overload"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Kind is the kind of an Action.
type Kind uint8

// Kinds of actions, described in the package comment.
const (
	Start Kind = iota
	Refuse
	Span
)

// Action is the result of the admission of a request.
type Action struct {
	Kind Kind
	// Request is the request with its class filled in.
	Request facts.Request
	// Decision is set for Start.
	Decision choice.Decision
	// Priority is the engine priority to submit the request with. It is set
	// for Start and Span.
	Priority int
	// Refusal is set for Refuse.
	Refusal *verdict.Error
}

// Arrival is a request to be admitted.
type Arrival struct {
	Request facts.Request
	// Share is the customer's weight in the manifest.
	Share float64
	// Bytes is the daemon memory that the request occupies while in flight.
	Bytes int
	// Exclude lists targets that must not get the request, such as those on
	// which an earlier attempt failed.
	Exclude []names.Target
	// Explain makes the decision record its steps.
	Explain bool
}

// Cache estimates the content of the targets' prefix caches.
type Cache interface {
	// Tokens returns the estimated number of tokens of a request's prompt
	// that a target has cached.
	Tokens(t names.Target, r *facts.Request) int
}

// NoCache is a Cache that reports every prefix cache as empty.
type NoCache struct{}

// Tokens implements Cache.
func (NoCache) Tokens(names.Target, *facts.Request) int { return 0 }

// Controller admits requests. See the package comment for its contract.
type Controller struct {
	settings        Settings
	table           *load.Table
	chooser         choice.Chooser
	cache           Cache
	random          *rand.Rand
	usage           *fairness.Usage
	models          map[names.Model]*modelState
	inFlight        map[string]inFlightRequest
	inFlightBytes   int
	bytesByCustomer map[names.Customer]int
}

// inFlightRequest is a request that was admitted and has not finished.
type inFlightRequest struct {
	model        names.Model
	customer     names.Customer
	bytes        int
	firstTokenAt time.Time
}

// modelState holds the statistics of one model's requests.
type modelState struct {
	prompts class.PromptStats
	answers class.AnswerStats
	// returns spreads the callers that are refused for lack of capacity.
	returns overload.Returns
}

// New returns a controller that takes over the given load table. From then on
// other code may change the table only by Apply and by recording the parts of
// spans.
func New(s Settings, table *load.Table, chooser choice.Chooser, cache Cache, random *rand.Rand) *Controller {
	return &Controller{
		settings:        s,
		table:           table,
		chooser:         chooser,
		cache:           cache,
		random:          random,
		usage:           fairness.New(),
		models:          make(map[names.Model]*modelState),
		inFlight:        make(map[string]inFlightRequest),
		bytesByCustomer: make(map[names.Customer]int),
	}
}

// Table returns the controller's table of targets.
func (c *Controller) Table() *load.Table { return c.table }

// InFlight returns the number of requests in flight, that is admitted and not
// finished, and the daemon memory that they occupy in bytes.
func (c *Controller) InFlight() (requests, bytes int) { return len(c.inFlight), c.inFlightBytes }

// Bounds returns the current length class bounds of a model.
func (c *Controller) Bounds(model names.Model) class.Bounds { return c.stateOf(model).prompts.Bounds() }

// Admit decides whether a request is admitted or refused. The contract of the
// returned Action is in the package comment.
func (c *Controller) Admit(now time.Time, a Arrival) Action {
	m := c.stateOf(a.Request.Model)
	m.prompts.Observe(a.Request.PromptTokens)
	candidates := c.candidates(&a, now)
	c.setReserve(m, candidates)
	a.Request.Class = classify(m, &a.Request, largestEngine(candidates))
	if !c.hasMemoryFor(&a) {
		return refuse(&a, c.refusalWithRetry(verdict.QueueFull, "too much is in flight", 0))
	}
	if a.Request.Class == target.Spanning {
		return c.admitSpan(now, &a, candidates)
	}
	return c.place(now, m, &a, candidates)
}

// Explain returns what Admit would return, with the steps of the decision. It
// admits nothing and counts nothing, but consumes random numbers.
func (c *Controller) Explain(now time.Time, a Arrival) Action {
	a.Explain = true
	m := c.stateOf(a.Request.Model)
	candidates := c.candidates(&a, now)
	c.setReserve(m, candidates)
	a.Request.Class = classify(m, &a.Request, largestEngine(candidates))
	if a.Request.Class == target.Spanning {
		return Action{Kind: Span, Request: a.Request}
	}
	unchanged := *m
	action, _ := c.decide(now, &unchanged, &a, candidates)
	return action
}

// place chooses a target for a request and starts the request there, or refuses
// it.
func (c *Controller) place(now time.Time, m *modelState, a *Arrival, candidates []choice.Candidate) Action {
	action, chosen := c.decide(now, m, a, candidates)
	if action.Kind == Start {
		c.start(now, a, chosen)
	}
	return action
}

// decide chooses a target, or refuses the request if no target can serve it, if
// its predicted completion is past the deadline, or if the queue at the chosen
// target is over the limit. It does not record the request.
func (c *Controller) decide(now time.Time, m *modelState, a *Arrival, candidates []choice.Candidate) (Action, *choice.Candidate) {
	d := c.chooser.Choose(a.Request, candidates, now, c.random, a.Explain)
	if d.Refusal != nil {
		return refusePlaced(a, d, c.withRetryAfter(d.Refusal, 0)), nil
	}
	chosen := findCandidate(candidates, d.Target)
	end := c.predictEnd(now, m, a, d, chosen)
	if overrun := end.Sub(a.Request.Deadline); overrun > 0 && !a.Request.Deadline.IsZero() {
		return refusePlaced(a, d, c.refuseLate(now, m, a, chosen, len(candidates), overrun)), nil
	}
	limit := fairness.ScaleLimit(c.settings.queueLimit(chosen.PrefillTime(&a.Request)), c.usage.RatioToAverage(now, a.Request.Customer))
	if excess := chosen.QueueTime() - limit; excess > 0 {
		return refusePlaced(a, d, c.refuseOverloaded(now, m, a, chosen, len(candidates), excess, "too much is waiting")), nil
	}
	return Action{Kind: Start, Request: a.Request, Decision: d, Priority: Priority(&a.Request)}, chosen
}

// start records the dispatch of a request to the chosen target.
func (c *Controller) start(now time.Time, a *Arrival, chosen *choice.Candidate) {
	cost := choice.CostAt(&a.Request, chosen)
	c.table.Dispatched(load.Dispatch{
		ID:     a.Request.ID,
		Target: chosen.Target,
		Tokens: cost.Prefill,
		Blocks: cost.Blocks,
	}, now)
	c.usage.Add(now, a.Request.Customer, a.Share, cost.Prefill)
	c.addInFlight(a)
}

// admitSpan admits a prompt that exceeds the memory of every single engine, or
// refuses it if it also exceeds that of the engines that one prompt may use.
func (c *Controller) admitSpan(now time.Time, a *Arrival, candidates []choice.Candidate) Action {
	if !fitsSpan(a, candidates, c.settings.MaxSpanEngines) {
		return refuse(a, verdict.Newf(verdict.NotRun, verdict.PromptTooLong,
			"%d tokens are more than the engines that one prompt may use can hold", a.Request.PromptTokens))
	}
	c.usage.Add(now, a.Request.Customer, a.Share, a.Request.PromptTokens)
	c.addInFlight(a)
	return Action{Kind: Span, Request: a.Request, Priority: Priority(&a.Request)}
}

// FirstToken records that the first token of a started request arrived.
func (c *Controller) FirstToken(now time.Time, id string) {
	c.table.FirstToken(id, now)
	r, ok := c.inFlight[id]
	if !ok {
		return
	}
	r.firstTokenAt = now
	c.inFlight[id] = r
}

// Finished records the end of an admitted request. answerTokens is the length
// of the answer in tokens if the answer is complete, and zero otherwise.
func (c *Controller) Finished(now time.Time, id string, outcome load.Outcome, answerTokens int) {
	c.table.Finished(id, outcome, now)
	r, ok := c.inFlight[id]
	if !ok {
		return
	}
	c.removeInFlight(id, r)
	if outcome == load.Success && answerTokens > 0 {
		c.stateOf(r.model).answers.Observe(answerTokens, now.Sub(r.firstTokenAt))
	}
}

// Report records a target's load report. It returns false if the report is not
// newer than the stored one, or if this daemon does not keep the target.
func (c *Controller) Report(now time.Time, r target.Report) bool { return c.table.Report(r, now) }

// stateOf returns the state of a model and creates it at first use.
func (c *Controller) stateOf(name names.Model) *modelState {
	m := c.models[name]
	if m == nil {
		m = &modelState{}
		c.models[name] = m
	}
	return m
}

// hasMemoryFor reports whether the request fits into the memory for requests
// in flight. A customer's requests, including this one, may not occupy more
// than what then stays free, so that one customer alone can take at most half.
func (c *Controller) hasMemoryFor(a *Arrival) bool {
	left := c.settings.MaxInFlightBytes - c.inFlightBytes - a.Bytes
	return c.bytesByCustomer[a.Request.Customer]+a.Bytes <= left
}

func (c *Controller) addInFlight(a *Arrival) {
	c.inFlight[a.Request.ID] = inFlightRequest{model: a.Request.Model, customer: a.Request.Customer, bytes: a.Bytes}
	c.inFlightBytes += a.Bytes
	c.bytesByCustomer[a.Request.Customer] += a.Bytes
}

func (c *Controller) removeInFlight(id string, r inFlightRequest) {
	delete(c.inFlight, id)
	c.inFlightBytes -= r.bytes
	c.bytesByCustomer[r.customer] -= r.bytes
	if c.bytesByCustomer[r.customer] == 0 {
		delete(c.bytesByCustomer, r.customer)
	}
}

// candidates returns the model's targets that the arrival does not exclude,
// with the estimated prefix cache hits.
func (c *Controller) candidates(a *Arrival, now time.Time) []choice.Candidate {
	candidates := c.table.Candidates(a.Request.Model, now)
	kept := candidates[:0]
	for _, candidate := range candidates {
		if contains(a.Exclude, candidate.Target) {
			continue
		}
		candidate.CachedTokens = c.cache.Tokens(candidate.Target, &a.Request)
		kept = append(kept, candidate)
	}
	return kept
}

// Candidates returns the targets of a model with Reserved set, for planning a
// span. CachedTokens is left at zero.
func (c *Controller) Candidates(model names.Model, now time.Time) []choice.Candidate {
	candidates := c.table.Candidates(model, now)
	c.setReserve(c.stateOf(model), candidates)
	return candidates
}

// setReserve sets Reserved for the targets of the reserve, those with the lowest
// ranks. The size of the reserve follows the share of the prefill work that may
// use it, so that it does not exceed what short prefills can use. It has at
// least one target if the model has several.
func (c *Controller) setReserve(m *modelState, candidates []choice.Candidate) {
	if c.settings.MaxReserveShare <= 0 || len(candidates) == 0 {
		return
	}
	limit := int(c.settings.MaxReservePrefillTime.Seconds() * candidates[0].PrefillRate())
	work := m.prompts.WorkShareUpTo(min(limit, m.prompts.Bounds().Short))
	share := min(c.settings.MaxReserveShare, max(work*c.settings.ReserveHeadroom, minReserveShare))
	for i := range candidates {
		candidates[i].Reserved = candidates[i].Rank < share
	}
}

// SetMaxReserveShare sets the largest share of a model's targets that the
// reserve may take. Zero or less means DefaultMaxReserveShare.
func (c *Controller) SetMaxReserveShare(share float64) {
	if share <= 0 {
		share = DefaultMaxReserveShare
	}
	c.settings.MaxReserveShare = share
}

// minReserveShare is a share of the targets so small that only the first of
// several targets, whose rank is zero, lies below it.
const minReserveShare = 1e-6

// classify returns the length class of a request. A prompt that fits into one
// engine only without the largest allowed answer counts as Spanning, since the
// answer needs memory too.
func classify(m *modelState, r *facts.Request, engineTokens int) target.Class {
	if engineTokens > 0 && r.PromptTokens+r.MaxTokens > engineTokens {
		return target.Spanning
	}
	return m.prompts.Bounds().Classify(r.PromptTokens, engineTokens)
}
