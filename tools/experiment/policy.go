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

// decider is the part of a daemon that decides.
type decider interface {
	arrive(now time.Time, r facts.Request) admission.Action
	report(now time.Time, r target.Report)
	newest(t names.Target) uint64
	events(t names.Target, events []target.CacheEvent)
	first(now time.Time, id string)
	finished(now time.Time, id string, at names.Target, outcome load.Outcome, tokens int)
}

// policy makes the decider of one daemon.
type policy struct {
	name string
	make func(s size, index int, seed uint64) decider
}

func targetName(i int) names.Target { return names.Target("engine" + strconv.Itoa(i)) }

// naive starts everything at once and knows only its own requests.
type naive struct {
	outstanding []int
	next        int
	least       bool
}

func roundRobin() policy {
	return policy{name: "round robin", make: func(s size, index int, _ uint64) decider {
		return &naive{outstanding: make([]int, s.engines), next: index}
	}}
}

func leastRequests() policy {
	return policy{name: "fewest requests", make: func(s size, index int, _ uint64) decider {
		return &naive{outstanding: make([]int, s.engines), next: index, least: true}
	}}
}

func (n *naive) arrive(_ time.Time, r facts.Request) admission.Action {
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
	if !n.least {
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

func (n *naive) report(time.Time, target.Report)          {}
func (n *naive) newest(names.Target) uint64               { return 0 }
func (n *naive) events(names.Target, []target.CacheEvent) {}
func (n *naive) first(time.Time, string)                  {}

// ours runs the product's decisions.
type ours struct {
	controller *admission.Controller
	index      *prefix.Index
	// blind hides deadlines from the controller, which then refuses nothing.
	blind bool
	// flat hides classes from the engines.
	flat bool
	// equal hides customers from the controller.
	equal bool
}

// change alters the product's policy for an experiment.
type change struct {
	name      string
	admission func(*admission.Settings)
	choice    func(*choice.Settings)
	policy    func(*choice.Policy)
	alter     func(*facts.Request, *choice.Candidate)
	blind     bool
	flat      bool
	equal     bool
	noIndex   bool
	trust     bool
}

func product() policy { return changed(change{name: "carobspoke"}) }

func changed(c change) policy {
	return policy{name: c.name, make: func(s size, index int, seed uint64) decider {
		return newOurs(c, s, index, seed)
	}}
}

func newOurs(c change, s size, index int, seed uint64) *ours {
	admissionSettings, choiceSettings := admission.DefaultSettings(), choice.DefaultSettings()
	if c.admission != nil {
		c.admission(&admissionSettings)
	}
	if c.choice != nil {
		c.choice(&choiceSettings)
	}
	chooser := c.chooser(choiceSettings)
	table := load.New()
	table.TrustRates = c.trust
	table.SetTargets(specs(s, index))
	random := rand.New(rand.NewPCG(seed, uint64(index)+100))
	caches := newIndex(s, c.noIndex)
	controller := admission.New(admissionSettings, table, chooser, caches, random)
	return &ours{controller: controller, index: caches, blind: c.blind, flat: c.flat, equal: c.equal}
}

// newIndex returns an index of all engines, or of none.
func newIndex(s size, none bool) *prefix.Index {
	index := prefix.New(func(names.Customer) string { return "" })
	if none {
		return index
	}
	targets := make([]names.Target, s.engines)
	for i := range targets {
		targets[i] = targetName(i)
	}
	index.SetTargets(targets)
	return index
}

func (c *change) chooser(s choice.Settings) choice.Chooser {
	p := choice.New(s)
	if c.policy != nil {
		c.policy(p)
	}
	if c.alter != nil {
		return altered{Chooser: p, alter: c.alter}
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

func (o *ours) arrive(now time.Time, r facts.Request) admission.Action {
	if o.blind {
		r.Deadline = time.Time{}
	}
	arrival := admission.Arrival{Request: r, Bytes: 4 * r.PromptTokens}
	if o.equal {
		arrival.Request.Customer = ""
	}
	action := o.controller.Admit(now, arrival)
	if o.flat {
		action.Priority = 0
	}
	return action
}

func (o *ours) report(now time.Time, r target.Report) { o.controller.Report(now, r) }

func (o *ours) newest(t names.Target) uint64 { return o.index.LastSeq(t) }

func (o *ours) events(t names.Target, events []target.CacheEvent) {
	for _, e := range events {
		o.index.ApplyEvent(t, e)
	}
}

func (o *ours) first(now time.Time, id string) { o.controller.FirstToken(now, id) }

func (o *ours) finished(now time.Time, id string, _ names.Target, outcome load.Outcome, tokens int) {
	o.controller.Finished(now, id, outcome, tokens)
}
