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

// factsChooser alters the request and the candidates before it passes them to
// the product's chooser.
type factsChooser struct {
	choice.Chooser
	alterFacts func(r *facts.Request, c *choice.Candidate)
}

// Choose implements choice.Chooser. It alters the candidates in place, so that
// the controller uses the altered ones too.
func (a factsChooser) Choose(
	r facts.Request, candidates []choice.Candidate, now time.Time, random *rand.Rand, explain bool,
) choice.Decision {
	for i := range candidates {
		a.alterFacts(&r, &candidates[i])
	}
	return a.Chooser.Choose(r, candidates, now, random, explain)
}

// comparedPolicies returns the product and the naive policies it is compared
// with.
func comparedPolicies() []policy { return []policy{product(), leastRequests(), roundRobin()} }

// ablations returns the product and its variants, in each of which one part is
// disabled or replaced.
func ablations() []policy {
	return []policy{
		product(),
		variantPolicy(variant{name: "no reserve for short", admission: func(s *admission.Settings) { s.MaxReserveShare = 0 }}),
		variantPolicy(variant{name: "reserve of fixed size", admission: func(s *admission.Settings) { s.ReserveHeadroom = 100 }}),
		variantPolicy(variant{name: "no cost of other zones", choice: func(s *choice.Settings) { s.Reserve.ZoneMismatchCost = 0 }}),
		variantPolicy(variant{name: "constant class bounds", alterFacts: constantClassBounds}),
		variantPolicy(variant{name: "picker: lowest prediction", configurePolicy: withPicker(choice.LowestPrediction{})}),
		variantPolicy(variant{name: "picker: two choices", configurePolicy: withPicker(choice.TwoChoices{})}),
		variantPolicy(variant{name: "own dispatches not counted", alterFacts: ignoreUnreported}),
		variantPolicy(variant{name: "report's age ignored", alterFacts: ignoreReportAge}),
		variantPolicy(variant{name: "rates trusted", trustRates: true}),
		variantPolicy(variant{name: "no priorities at engines", ignorePriorities: true}),
		variantPolicy(variant{name: "no limit on queues", admission: func(s *admission.Settings) { s.MaxQueueTime = time.Hour }}),
		variantPolicy(variant{name: "deadlines ignored", ignoreDeadlines: true}),
		variantPolicy(variant{name: "customers not told apart", ignoreCustomers: true}),
	}
}

func withPicker(p choice.Picker) func(*choice.Policy) {
	return func(policy *choice.Policy) { policy.Picker = p }
}

// constantClassBounds classifies requests by the initial class bounds instead of
// the bounds learnt from the observed prompts.
func constantClassBounds(r *facts.Request, _ *choice.Candidate) {
	bounds := (&class.PromptStats{}).Bounds()
	if r.Class != target.Spanning {
		r.Class = bounds.Classify(r.PromptTokens, 0)
	}
}

// ignoreUnreported hides the daemon's own dispatches since the last report.
func ignoreUnreported(_ *facts.Request, c *choice.Candidate) {
	c.UnreportedTokens, c.UnreportedStreams, c.UnreportedBlocks = 0, 0, 0
}

// ignoreReportAge treats every report as current.
func ignoreReportAge(_ *facts.Request, c *choice.Candidate) {
	c.UnreportedTokens = max(0, c.QueueTokens()-c.Report.QueuedTokens)
	c.ReportAge = 0
}

// prefixIndexPolicies returns the product with and without the prefix index,
// and a naive policy.
func prefixIndexPolicies() []policy {
	return []policy{product(), variantPolicy(variant{name: "no prefix index", noPrefixIndex: true}), leastRequests()}
}
