// Package admission decides for each request that reaches a daemon whether it
// starts now, waits, or is refused, and where it runs.
//
// # Contract
//
// A Controller is driven by events. Each takes the current time and returns
// the actions that the shell must carry out, in order:
//
//   - Start: send the request to Action.Decision.Target. The dispatch is
//     already counted; the shell must call Finished exactly once for it, and
//     FirstToken before if a token came.
//   - Refuse: answer the caller with Action.Refusal. Its verdict is NotRun: no
//     target has seen the request.
//   - Span: the prompt is over the memory of every single engine that serves
//     the model, but not over that of several; package span runs it. The
//     controller keeps nothing about it. A span's parts are made known with
//     Table().Dispatched and Table().Finished.
//
// Every request that arrived gets exactly one action, in the answer to Arrive
// or to a later event, unless the shell withdraws it with Cancel. A request
// that has started is never given up by the controller. A waiting request is
// refused if it turns out that it can no longer meet its deadline.
//
// A retry is a new arrival under a new ID, with the targets that failed in
// Exclude. Budgets for retries are not kept here.
//
// Wait is true while requests wait: the shell then calls Tick every
// TickInterval, since estimated queues drain without any event.
//
// # Promises
//
// A request is refused at once when its predicted end is past its deadline.
// Waiting work is bounded in tokens and bytes for each model and class.
// Requests wait in the daemon, in fair order, and not at the targets: a
// request starts only when the queue at its target is below a window.
//
// A Controller is not safe for concurrent use; the shell holds one lock around
// it. It does no I/O. An event takes time logarithmic in the customers that
// wait, and linear in the targets of the model that this daemon keeps.
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

// TickInterval is the time between two ticks while requests wait.
const TickInterval = 20 * time.Millisecond

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
	ID   string
	// Request is the request with its class filled in.
	Request facts.Request
	// Decision is set for Start.
	Decision choice.Decision
	// Priority is what to ask of the engine, for Start.
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
	models   map[names.Model]*modelState
	order    []names.Model // models in the order of their first request
	waiting  map[string]*waiting
	daemons  int
}

// waiting is a request that has not been decided on.
type waiting struct {
	arrival Arrival
	lane    *lane
}

// modelState is what is known of one model's requests.
type modelState struct {
	mix     class.Mix
	answers class.Answers
	lanes   [laneCount]*lane
}

// laneCount is the number of classes that wait apart from each other: no
// class waits behind the head of another.
const laneCount = int(target.Long) + 1

// lane holds the waiting requests of one model and class.
type lane struct {
	queue *fairness.Queue
	meter meter
}

// New returns a controller over a table, which it alone changes from now on
// except for Apply.
func New(s Settings, table *load.Table, chooser choice.Chooser, cache Cache, random *rand.Rand) *Controller {
	return &Controller{
		settings: s,
		table:    table,
		chooser:  chooser,
		cache:    cache,
		random:   random,
		models:   make(map[names.Model]*modelState),
		waiting:  make(map[string]*waiting),
		daemons:  1,
	}
}

// Table returns the controller's table of targets.
func (c *Controller) Table() *load.Table { return c.table }

// SetDaemons tells how many daemons share the targets, this one included.
func (c *Controller) SetDaemons(n int) { c.daemons = max(n, 1) }

// Wait reports whether requests wait.
func (c *Controller) Wait() bool { return len(c.waiting) > 0 }

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return len(c.waiting) }

// Bounds returns the class bounds of a model.
func (c *Controller) Bounds(model names.Model) class.Bounds {
	if m := c.models[model]; m != nil {
		return m.mix.Bounds()
	}
	return (&class.Mix{}).Bounds()
}

// Arrive takes in a request.
func (c *Controller) Arrive(now time.Time, a Arrival) []Action {
	m := c.model(a.Request.Model)
	m.mix.Observe(a.Request.PromptTokens)
	candidates := c.candidates(&a, now)
	a.Request.Class = classify(m, &a.Request, largestEngine(candidates))
	if a.Request.Class == target.Spanning {
		return []Action{c.spanOrRefuse(&a, candidates)}
	}
	l := m.lanes[a.Request.Class]
	if refusal := c.refusal(now, m, l, &a, candidates); refusal != nil {
		return []Action{refuse(&a, refusal)}
	}
	if !l.queue.Push(item(&a)) {
		return []Action{refuse(&a, c.queueFull(now, l, &a))}
	}
	c.waiting[a.Request.ID] = &waiting{arrival: a, lane: l}
	return c.pump(now, m, nil)
}

// FirstToken notes that a started request's first token came.
func (c *Controller) FirstToken(now time.Time, id string) []Action {
	c.table.FirstToken(id)
	return c.Tick(now)
}

// Finished notes the end of a started request. answerTokens is the length of a
// complete answer, in tokens, and zero otherwise.
func (c *Controller) Finished(now time.Time, r *facts.Request, outcome load.Outcome, answerTokens int) []Action {
	c.table.Finished(r.ID, outcome, now)
	if outcome == load.Success && answerTokens > 0 {
		c.model(r.Model).answers.Observe(answerTokens)
	}
	return c.Tick(now)
}

// Report takes in a target's report. It returns false in fresh for one that
// was discarded.
func (c *Controller) Report(now time.Time, r target.Report) (actions []Action, fresh bool) {
	if !c.table.Report(r, now) {
		return nil, false
	}
	return c.Tick(now), true
}

// Cancel withdraws a waiting request, and reports whether it was waiting. A
// started request ends with Finished instead.
func (c *Controller) Cancel(id string) bool {
	w := c.waiting[id]
	if w == nil {
		return false
	}
	delete(c.waiting, id)
	w.lane.queue.Remove(id)
	return true
}

// Tick starts or refuses what waits, as far as the time allows.
func (c *Controller) Tick(now time.Time) []Action {
	if len(c.waiting) == 0 {
		return nil
	}
	var actions []Action
	for _, name := range c.order {
		actions = c.pump(now, c.models[name], actions)
	}
	return actions
}

func (c *Controller) model(name names.Model) *modelState {
	m := c.models[name]
	if m != nil {
		return m
	}
	m = &modelState{}
	for i := range m.lanes {
		m.lanes[i] = &lane{queue: fairness.New(c.settings.Room)}
	}
	c.models[name] = m
	c.order = append(c.order, name)
	return m
}

// classify returns the class of a request. Its answer needs memory too.
func classify(m *modelState, r *facts.Request, engineTokens int) target.Class {
	if engineTokens > 0 && r.PromptTokens+r.MaxTokens > engineTokens {
		return target.Spanning
	}
	return m.mix.Bounds().Classify(r.PromptTokens, engineTokens)
}

// pump handles the heads of a model's lanes, short requests first.
func (c *Controller) pump(now time.Time, m *modelState, actions []Action) []Action {
	for _, l := range m.lanes {
		for {
			action, done := c.head(now, m, l)
			if !done {
				break
			}
			actions = append(actions, action)
		}
	}
	return actions
}

// head decides on a lane's next request; false leaves it waiting.
func (c *Controller) head(now time.Time, m *modelState, l *lane) (Action, bool) {
	next, ok := l.queue.Peek()
	if !ok {
		return Action{}, false
	}
	a := &c.waiting[next.ID].arrival
	candidates := c.candidates(a, now)
	d := c.chooser.Choose(a.Request, candidates, now, c.random, false)
	if d.Refusal != nil {
		return c.take(l, refuse(a, c.withRetryAfter(d.Refusal, 0)))
	}
	chosen := find(candidates, d.Target)
	if chosen.QueueTime() > c.settings.window(a.Request.Class, chosen.PrefillTime(&a.Request)) {
		return Action{}, false
	}
	if late := c.lateness(now, m, a, d, chosen, 0); late > 0 {
		return c.take(l, refuse(a, c.late(now, m, a, chosen, late)))
	}
	c.start(now, l, a, chosen)
	return c.take(l, Action{
		Kind:     Start,
		ID:       a.Request.ID,
		Request:  a.Request,
		Decision: d,
		Priority: Priority(&a.Request),
	})
}

// take removes the head of a lane.
func (c *Controller) take(l *lane, action Action) (Action, bool) {
	l.queue.Pop()
	delete(c.waiting, action.ID)
	return action, true
}

func (c *Controller) start(now time.Time, l *lane, a *Arrival, chosen *choice.Candidate) {
	cost := choice.CostAt(&a.Request, chosen)
	l.meter.add(now, float64(a.Request.PromptTokens))
	c.table.Dispatched(load.Dispatch{
		ID:     a.Request.ID,
		Target: chosen.Target,
		Tokens: cost.Prefill,
		Blocks: cost.Blocks,
	}, now)
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
