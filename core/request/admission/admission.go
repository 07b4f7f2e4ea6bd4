// Package admission decides for each request that reaches a daemon whether it
// starts or is refused, and where it runs.
//
// # Contract
//
// Arrive answers each request at once with one Action:
//
//   - Start: send the request to Action.Decision.Target with Action.Priority.
//     The dispatch is already counted; the shell must call Finished exactly
//     once for it, and FirstToken before if a token came.
//   - Refuse: answer the caller with Action.Refusal. Its verdict is NotRun: no
//     target has seen the request.
//   - Span: the prompt is over the memory of every single engine that serves
//     the model, but not over that of several; package span runs it. It is
//     counted like a started request, at no target: the shell must call
//     Finished exactly once for it, and make the parts known with
//     Table().Dispatched and Table().Finished.
//
// A retry is a new arrival under a new ID, with the targets that failed in
// Exclude. Budgets for retries are not kept here.
//
// # Promises
//
// A request is refused at once when its predicted end is past its deadline, or
// when the queue at its target, in time, is above its limit. Nothing waits in
// the daemon, and nothing that was admitted is given up by the controller. The
// queues that it fills are bounded in tokens by MaxQueue at each target's
// prefill rate, and what it holds itself in bytes by MaxBytes.
//
// The limit is lower for customers that got more than their share of late, see
// package fairness, and higher for longer prefills, which can stand a longer
// wait in relation to their own time.
//
// A Controller is not safe for concurrent use; the shell holds one lock around
// it. It does no I/O. Arrive takes time linear in the targets of the model that
// this daemon keeps; all else takes constant time.
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
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Kind says what an action asks the shell to do.
type Kind uint8

// Kinds of actions.
const (
	Start Kind = iota
	Refuse
	Span
)

// Action is what the shell must do for a request.
type Action struct {
	Kind Kind
	// Request is the request with its class filled in.
	Request facts.Request
	// Decision is set for Start.
	Decision choice.Decision
	// Priority is what to ask of the engine, for Start and Span.
	Priority int
	// Refusal is set for Refuse.
	Refusal *verdict.Error
}

// Arrival is a request to be admitted.
type Arrival struct {
	Request facts.Request
	// Share is the customer's weight in the manifest.
	Share float64
	// Bytes is what the request takes of the daemon's memory.
	Bytes int
	// Exclude names targets that must not get the request again.
	Exclude []names.Target
	// Explain records the steps of the decision.
	Explain bool
}

// Cache tells what the prefix caches of targets are thought to hold.
type Cache interface {
	// Tokens returns how much of a request's prompt a target has cached, in
	// tokens.
	Tokens(t names.Target, r *facts.Request) int
}

// NoCache is a Cache that knows nothing.
type NoCache struct{}

// Tokens implements Cache.
func (NoCache) Tokens(names.Target, *facts.Request) int { return 0 }

// Controller admits requests. See the package comment for its contract.
type Controller struct {
	settings Settings
	table    *load.Table
	chooser  choice.Chooser
	cache    Cache
	random   *rand.Rand
	usage    *fairness.Usage
	models   map[names.Model]*modelState
	held     map[string]held
	bytes    int
	byOwner  map[names.Customer]int
}

// held is a request that was admitted and has not finished.
type held struct {
	model    names.Model
	customer names.Customer
	bytes    int
	first    time.Time
}

// modelState is what is known of one model's requests.
type modelState struct {
	mix     class.Mix
	answers class.Answers
}

// New returns a controller over a table, which it alone changes from now on
// except for Apply and the parts of spans.
func New(s Settings, table *load.Table, chooser choice.Chooser, cache Cache, random *rand.Rand) *Controller {
	return &Controller{
		settings: s,
		table:    table,
		chooser:  chooser,
		cache:    cache,
		random:   random,
		usage:    fairness.New(),
		models:   make(map[names.Model]*modelState),
		held:     make(map[string]held),
		byOwner:  make(map[names.Customer]int),
	}
}

// Table returns the controller's table of targets.
func (c *Controller) Table() *load.Table { return c.table }

// Held returns the number of requests that were admitted and have not
// finished, and their bytes.
func (c *Controller) Held() (requests, bytes int) { return len(c.held), c.bytes }

// Bounds returns the class bounds of a model.
func (c *Controller) Bounds(model names.Model) class.Bounds { return c.model(model).mix.Bounds() }

// Arrive admits or refuses a request.
func (c *Controller) Arrive(now time.Time, a Arrival) Action {
	m := c.model(a.Request.Model)
	m.mix.Observe(a.Request.PromptTokens)
	candidates := c.candidates(&a, now)
	c.setReserve(m, candidates)
	a.Request.Class = classify(m, &a.Request, largestEngine(candidates))
	if !c.hasRoom(&a) {
		return refuse(&a, c.retryLater(verdict.QueueFull, "too much is in flight", 0))
	}
	if a.Request.Class == target.Spanning {
		return c.span(now, &a, candidates)
	}
	return c.place(now, m, &a, candidates)
}

// Explain says what Arrive would answer, with all steps, and changes nothing
// but the random numbers to come.
func (c *Controller) Explain(now time.Time, a Arrival) Action {
	a.Explain = true
	m := c.model(a.Request.Model)
	candidates := c.candidates(&a, now)
	c.setReserve(m, candidates)
	a.Request.Class = classify(m, &a.Request, largestEngine(candidates))
	if a.Request.Class == target.Spanning {
		return Action{Kind: Span, Request: a.Request}
	}
	action, _ := c.decide(now, m, &a, candidates)
	return action
}

// place starts a request at the target that is chosen for it, or refuses it.
func (c *Controller) place(now time.Time, m *modelState, a *Arrival, candidates []choice.Candidate) Action {
	action, chosen := c.decide(now, m, a, candidates)
	if action.Kind == Start {
		c.start(now, a, chosen)
	}
	return action
}

// decide chooses a target, and refuses if it cannot serve the request in time.
func (c *Controller) decide(now time.Time, m *modelState, a *Arrival, candidates []choice.Candidate) (Action, *choice.Candidate) {
	d := c.chooser.Choose(a.Request, candidates, now, c.random, a.Explain)
	if d.Refusal != nil {
		return refusePlaced(a, d, c.withRetryAfter(d.Refusal, 0)), nil
	}
	chosen := find(candidates, d.Target)
	end := c.end(now, m, a, d, chosen)
	if late := end.Sub(a.Request.Deadline); late > 0 && !a.Request.Deadline.IsZero() {
		return refusePlaced(a, d, c.late(now, m, a, chosen, late)), nil
	}
	limit := fairness.Limit(c.settings.limit(chosen.PrefillTime(&a.Request)), c.usage.Ratio(now, a.Request.Customer))
	if over := chosen.QueueTime() - limit; over > 0 {
		return refusePlaced(a, d, c.retryLater(verdict.Overloaded, "too much is waiting", over)), nil
	}
	return Action{Kind: Start, Request: a.Request, Decision: d, Priority: Priority(&a.Request)}, chosen
}

func (c *Controller) start(now time.Time, a *Arrival, chosen *choice.Candidate) {
	cost := choice.CostAt(&a.Request, chosen)
	c.table.Dispatched(load.Dispatch{
		ID:     a.Request.ID,
		Target: chosen.Target,
		Tokens: cost.Prefill,
		Blocks: cost.Blocks,
	}, now)
	c.usage.Add(now, a.Request.Customer, a.Share, cost.Prefill)
	c.hold(a)
}

// span admits a prompt that is over the memory of each engine, or refuses it if
// it is also over that of several.
func (c *Controller) span(now time.Time, a *Arrival, candidates []choice.Candidate) Action {
	if !fitsSpan(a, candidates, c.settings.SpanEngines) {
		return refuse(a, verdict.Newf(verdict.NotRun, verdict.PromptTooLong,
			"%d tokens are more than the engines that one prompt may use can hold", a.Request.PromptTokens))
	}
	c.usage.Add(now, a.Request.Customer, a.Share, a.Request.PromptTokens)
	c.hold(a)
	return Action{Kind: Span, Request: a.Request, Priority: Priority(&a.Request)}
}

// FirstToken notes that a started request's first token came.
func (c *Controller) FirstToken(now time.Time, id string) {
	c.table.FirstToken(id, now)
	h, ok := c.held[id]
	if !ok {
		return
	}
	h.first = now
	c.held[id] = h
}

// Finished notes the end of an admitted request. answerTokens is the length of
// a complete answer, in tokens, and zero otherwise.
func (c *Controller) Finished(now time.Time, id string, outcome load.Outcome, answerTokens int) {
	c.table.Finished(id, outcome, now)
	h, ok := c.held[id]
	if !ok {
		return
	}
	c.release(id, h)
	if outcome == load.Success && answerTokens > 0 {
		c.model(h.model).answers.Observe(answerTokens, now.Sub(h.first))
	}
}

// Report takes in a target's report. It returns false for one that is older
// than that already held, or of a target that is not kept.
func (c *Controller) Report(now time.Time, r target.Report) bool { return c.table.Report(r, now) }

func (c *Controller) model(name names.Model) *modelState {
	m := c.models[name]
	if m == nil {
		m = &modelState{}
		c.models[name] = m
	}
	return m
}

// hasRoom reports whether the daemon's memory has room for a request. A
// customer may hold no more than what is left free, so that it can never take
// all, and alone it may take half.
func (c *Controller) hasRoom(a *Arrival) bool {
	left := c.settings.MaxBytes - c.bytes - a.Bytes
	return c.byOwner[a.Request.Customer]+a.Bytes <= left
}

func (c *Controller) hold(a *Arrival) {
	c.held[a.Request.ID] = held{model: a.Request.Model, customer: a.Request.Customer, bytes: a.Bytes}
	c.bytes += a.Bytes
	c.byOwner[a.Request.Customer] += a.Bytes
}

func (c *Controller) release(id string, h held) {
	delete(c.held, id)
	c.bytes -= h.bytes
	c.byOwner[h.customer] -= h.bytes
	if c.byOwner[h.customer] == 0 {
		delete(c.byOwner, h.customer)
	}
}

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

// Candidates returns the targets of a model with the reserve marked, for
// planning a span.
func (c *Controller) Candidates(model names.Model, now time.Time) []choice.Candidate {
	candidates := c.table.Candidates(model, now)
	c.setReserve(c.model(model), candidates)
	return candidates
}

// setReserve marks the targets of the reserve. Its size follows the share of
// the work that may use it, so that it is never larger than short work can
// fill, and at least one target where there are several.
func (c *Controller) setReserve(m *modelState, candidates []choice.Candidate) {
	if c.settings.MaxReserve <= 0 || len(candidates) == 0 {
		return
	}
	limit := int(c.settings.LendLimit.Seconds() * candidates[0].PrefillRate())
	work := m.mix.WorkBelow(min(limit, m.mix.Bounds().Short))
	share := min(c.settings.MaxReserve, max(work*c.settings.ReserveHeadroom, smallestReserve))
	for i := range candidates {
		candidates[i].Reserved = candidates[i].Rank < share
	}
}

// SetMaxReserve bounds the share of the targets in the reserve from now on.
// Zero means the default.
func (c *Controller) SetMaxReserve(share float64) {
	if share <= 0 {
		share = DefaultMaxReserve
	}
	c.settings.MaxReserve = share
}

// smallestReserve is a share that only the first of several targets is below.
const smallestReserve = 1e-6

// classify returns the class of a request. Its answer needs memory too.
func classify(m *modelState, r *facts.Request, engineTokens int) target.Class {
	if engineTokens > 0 && r.PromptTokens+r.MaxTokens > engineTokens {
		return target.Spanning
	}
	return m.mix.Bounds().Classify(r.PromptTokens, engineTokens)
}
