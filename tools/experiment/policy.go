package experiment

import (
	"math/rand/v2"
	"strconv"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/process/prefix"
	"carobspoke.example/core/request/admission"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// decider makes the admission and placement decisions of one daemon.
type decider interface {
	admit(now time.Time, r facts.Request) admission.Action
	recordReport(now time.Time, r target.Report)
	lastCacheSeq(t names.Target) uint64
	applyCacheEvents(t names.Target, events []target.CacheEvent)
	firstToken(now time.Time, id string)
	finished(now time.Time, id string, at names.Target, outcome load.Outcome, tokens int)
}

// policy is a named constructor of deciders, one per daemon.
type policy struct {
	name string
	make func(s size, index int, seed uint64) decider
}

func targetName(i int) names.Target { return names.Target("engine" + strconv.Itoa(i)) }

// naive starts every request immediately and ignores engine reports: it knows
// only the outstanding requests of its own daemon.
type naive struct {
	outstanding       []int
	next              int
	fewestOutstanding bool
}

func roundRobin() policy {
	return policy{name: "round robin", make: func(s size, index int, _ uint64) decider {
		return &naive{outstanding: make([]int, s.engines), next: index}
	}}
}

func leastRequests() policy {
	return policy{name: "fewest requests", make: func(s size, index int, _ uint64) decider {
		return &naive{outstanding: make([]int, s.engines), next: index, fewestOutstanding: true}
	}}
}

func (n *naive) admit(_ time.Time, r facts.Request) admission.Action {
	if r.PromptTokens+r.MaxTokens > engineTokens {
		refusal := verdict.New(verdict.NotRun, verdict.PromptTooLong, "too long")
		return admission.Action{Kind: admission.Refuse, Request: r, Refusal: refusal}
	}
	i := n.choose()
	n.outstanding[i]++
	return admission.Action{Kind: admission.Start, Request: r, Decision: choice.Decision{Target: targetName(i)}}
}

func (n *naive) choose() int {
	n.next = (n.next + 1) % len(n.outstanding)
	best := n.next
	if !n.fewestOutstanding {
		return best
	}
	for k := range n.outstanding {
		i := (n.next + k) % len(n.outstanding)
		if n.outstanding[i] < n.outstanding[best] {
			best = i
		}
	}
	return best
}

func (n *naive) finished(_ time.Time, _ string, at names.Target, _ load.Outcome, _ int) {
	for i := range n.outstanding {
		if targetName(i) == at {
			n.outstanding[i]--
		}
	}
}

func (n *naive) recordReport(time.Time, target.Report)              {}
func (n *naive) lastCacheSeq(names.Target) uint64                   { return 0 }
func (n *naive) applyCacheEvents(names.Target, []target.CacheEvent) {}
func (n *naive) firstToken(time.Time, string)                       {}

// productDecider runs the product's decision code.
type productDecider struct {
	controller *admission.Controller
	index      *prefix.Index
	// ignoreDeadlines hides deadlines from the controller, which then refuses
	// nothing.
	ignoreDeadlines bool
	// ignorePriorities sends every request to the engines with the same
	// priority, which hides its class.
	ignorePriorities bool
	// ignoreCustomers hides customers from the controller.
	ignoreCustomers bool
}

// variant is a change to the product's policy for an experiment.
type variant struct {
	name             string
	admission        func(*admission.Settings)
	choice           func(*choice.Settings)
	configurePolicy  func(*choice.Policy)
	alterFacts       func(*facts.Request, *choice.Candidate)
	ignoreDeadlines  bool
	ignorePriorities bool
	ignoreCustomers  bool
	noPrefixIndex    bool
	trustRates       bool
}

func product() policy { return variantPolicy(variant{name: "carobspoke"}) }

func variantPolicy(c variant) policy {
	return policy{name: c.name, make: func(s size, index int, seed uint64) decider {
		return newProductDecider(c, s, index, seed)
	}}
}

func newProductDecider(c variant, s size, index int, seed uint64) *productDecider {
	admissionSettings, choiceSettings := admission.DefaultSettings(), choice.DefaultSettings()
	if c.admission != nil {
		c.admission(&admissionSettings)
	}
	if c.choice != nil {
		c.choice(&choiceSettings)
	}
	chooser := c.chooser(choiceSettings)
	table := load.New()
	table.TrustRates = c.trustRates
	table.SetTargets(specs(s, index))
	random := rand.New(rand.NewPCG(seed, uint64(index)+100))
	caches := newPrefixIndex(s, c.noPrefixIndex)
	controller := admission.New(admissionSettings, table, chooser, caches, random)
	return &productDecider{controller: controller, index: caches, ignoreDeadlines: c.ignoreDeadlines, ignorePriorities: c.ignorePriorities, ignoreCustomers: c.ignoreCustomers}
}

// newPrefixIndex returns a prefix index of all engines, or one without engines
// if empty is set.
func newPrefixIndex(s size, empty bool) *prefix.Index {
	index := prefix.New(func(names.Customer) string { return "" })
	if empty {
		return index
	}
	targets := make([]names.Target, s.engines)
	for i := range targets {
		targets[i] = targetName(i)
	}
	index.SetTargets(targets)
	return index
}

func (c *variant) chooser(s choice.Settings) choice.Chooser {
	p := choice.New(s)
	if c.configurePolicy != nil {
		c.configurePolicy(p)
	}
	if c.alterFacts != nil {
		return factsChooser{Chooser: p, alterFacts: c.alterFacts}
	}
	return p
}

func specs(s size, index int) []load.Spec {
	list := make([]load.Spec, s.engines)
	for i := range list {
		list[i] = load.Spec{
			Name: targetName(i), Want: target.State{Model: model, Version: "1", Role: target.Mixed},
			MemoryBlocks: engineTokens / blockTokens, BlockTokens: blockTokens,
			PrefillRate: chunkTokens / stepTime(chunkTokens, 0).Seconds(),
			Position:    load.PositionOf(i, s.engines, index, s.daemons),
		}
	}
	return list
}

func (o *productDecider) admit(now time.Time, r facts.Request) admission.Action {
	if o.ignoreDeadlines {
		r.Deadline = time.Time{}
	}
	arrival := admission.Arrival{Request: r, Bytes: 4 * r.PromptTokens}
	if o.ignoreCustomers {
		arrival.Request.Customer = ""
	}
	action := o.controller.Admit(now, arrival)
	if o.ignorePriorities {
		action.Priority = 0
	}
	return action
}

func (o *productDecider) recordReport(now time.Time, r target.Report) { o.controller.Report(now, r) }

func (o *productDecider) lastCacheSeq(t names.Target) uint64 { return o.index.LastSeq(t) }

func (o *productDecider) applyCacheEvents(t names.Target, events []target.CacheEvent) {
	for _, e := range events {
		o.index.ApplyEvent(t, e)
	}
}

func (o *productDecider) firstToken(now time.Time, id string) { o.controller.FirstToken(now, id) }

func (o *productDecider) finished(now time.Time, id string, _ names.Target, outcome load.Outcome, tokens int) {
	o.controller.Finished(now, id, outcome, tokens)
}
