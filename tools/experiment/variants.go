package experiment

import (
	"math/rand/v2"
	"time"

	"carobspoke.example/core/request/admission"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/class"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
)

// altered is a chooser that sees other facts than the product's.
type altered struct {
	choice.Chooser
	alter func(r *facts.Request, c *choice.Candidate)
}

// Choose implements choice.Chooser. It changes the candidates in place, so that
// the controller sees them changed too.
func (a altered) Choose(
	r facts.Request, candidates []choice.Candidate, now time.Time, random *rand.Rand, explain bool,
) choice.Decision {
	for i := range candidates {
		a.alter(&r, &candidates[i])
	}
	return a.Chooser.Choose(r, candidates, now, random, explain)
}

// versus are the product and the naive versions that it is measured against.
func versus() []policy { return []policy{product(), leastRequests(), roundRobin()} }

// withoutOne are the product and, for each single policy, the product without
// it.
func withoutOne() []policy {
	return []policy{
		product(),
		changed(change{name: "no reserve for short", admission: func(s *admission.Settings) { s.MaxReserveShare = 0 }}),
		changed(change{name: "reserve of fixed size", admission: func(s *admission.Settings) { s.ReserveHeadroom = 100 }}),
		changed(change{name: "no cost of other zones", choice: func(s *choice.Settings) { s.Reserve.ZoneMismatchCost = 0 }}),
		changed(change{name: "constant class bounds", alter: constantBounds}),
		changed(change{name: "picker: lowest prediction", policy: picker(choice.LowestPrediction{})}),
		changed(change{name: "picker: two choices", policy: picker(choice.TwoChoices{})}),
		changed(change{name: "own dispatches not counted", alter: forgetOwn}),
		changed(change{name: "report's age ignored", alter: ignoreAge}),
		changed(change{name: "rates trusted", trust: true}),
		changed(change{name: "no priorities at engines", flat: true}),
		changed(change{name: "no limit on queues", admission: func(s *admission.Settings) { s.MaxQueueTime = time.Hour }}),
		changed(change{name: "deadlines ignored", blind: true}),
		changed(change{name: "customers not told apart", equal: true}),
	}
}

func picker(p choice.Picker) func(*choice.Policy) {
	return func(policy *choice.Policy) { policy.Picker = p }
}

func constantBounds(r *facts.Request, _ *choice.Candidate) {
	bounds := (&class.PromptStats{}).Bounds()
	if r.Class != target.Spanning {
		r.Class = bounds.Classify(r.PromptTokens, 0)
	}
}

func forgetOwn(_ *facts.Request, c *choice.Candidate) {
	c.UnreportedTokens, c.UnreportedStreams, c.UnreportedBlocks = 0, 0, 0
}

func ignoreAge(_ *facts.Request, c *choice.Candidate) {
	c.UnreportedTokens = max(0, c.QueueTokens()-c.Report.QueuedTokens)
	c.ReportAge = 0
}

// withIndex are the product with and without the prefix index.
func withIndex() []policy {
	return []policy{product(), changed(change{name: "no prefix index", noIndex: true}), leastRequests()}
}
