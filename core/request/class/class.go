// Package class assigns prompts to length classes and predicts the length of
// answers, both from the requests that a daemon observed recently.
//
// The bounds of the length classes are not constants: they divide the observed
// prefill work, in tokens, into thirds (size interval task assignment with equal
// load). If one prompt in fifty is a thousand times longer than the others,
// nearly all requests are Short and a few very long ones are Long. The bounds
// follow changes in the distribution of prompt lengths. The state is a histogram
// of fixed size with logarithmic buckets, in which the weight of an observation
// decays with each new one.
package class

import (
	"time"

	"carobspoke.example/core/target"
)

// Computation of the class bounds.
const (
	// ShortWorkShare and MediumWorkShare are the shares of prefill work, in
	// tokens, in prompts up to the upper bounds of Short and of Medium.
	ShortWorkShare  = 1.0 / 3
	MediumWorkShare = 2.0 / 3
	// ObservationsPerRefresh is the number of observations between two
	// computations of the bounds.
	ObservationsPerRefresh = 8
)

// The prior that a new daemon starts with: prefill work of PriorWorkTokens,
// divided equally among PriorLengthCount prompt lengths, of which the first is
// PriorShortestTokens and each following one twice the one before. It has the
// weight of observed work and decays in the same way.
const (
	PriorLengthCount    = 9
	PriorShortestTokens = 1000
	PriorWorkTokens     = 400_000
)

// Bounds are the largest prompts of the classes Short and Medium, in tokens.
type Bounds struct {
	Short  int
	Medium int
}

// Classify returns the class of a prompt. A prompt of more tokens than
// engineTokens needs more than one engine.
func (b Bounds) Classify(promptTokens, engineTokens int) target.Class {
	switch {
	case engineTokens > 0 && promptTokens > engineTokens:
		return target.Spanning
	case promptTokens <= b.Short:
		return target.Short
	case promptTokens <= b.Medium:
		return target.Medium
	default:
		return target.Long
	}
}

// PromptStats holds statistics of the prompt lengths that a daemon observed
// recently. The zero value is ready for use. It is not safe for concurrent use.
type PromptStats struct {
	workByLength sketch
	bounds       Bounds
	observations int
}

// Observe records the length of a prompt in tokens.
func (m *PromptStats) Observe(promptTokens int) {
	m.ensurePrior()
	m.workByLength.add(promptTokens, float64(promptTokens))
	m.observations++
	if m.observations%ObservationsPerRefresh == 0 {
		m.updateBounds()
	}
}

// ensurePrior adds the prior at the first use.
func (m *PromptStats) ensurePrior() {
	if m.bounds != (Bounds{}) {
		return
	}
	for i := range PriorLengthCount {
		m.workByLength.add(PriorShortestTokens<<i, PriorWorkTokens/PriorLengthCount)
	}
	m.updateBounds()
}

// updateBounds computes the class bounds from the observations.
func (m *PromptStats) updateBounds() {
	m.bounds = Bounds{
		Short:  m.workByLength.quantile(ShortWorkShare),
		Medium: m.workByLength.quantile(MediumWorkShare),
	}
}

// Bounds returns the current class bounds.
func (m *PromptStats) Bounds() Bounds {
	m.ensurePrior()
	return m.bounds
}

// WorkShareUpTo returns the share of the prefill work that is in prompts of at
// most the given number of tokens.
func (m *PromptStats) WorkShareUpTo(promptTokens int) float64 {
	m.ensurePrior()
	return m.workByLength.shareUpTo(promptTokens)
}

// AnswerStats holds statistics of the answer lengths and the times between tokens
// that a daemon observed recently. The zero value is ready for use. It is not
// safe for concurrent use.
type AnswerStats struct {
	lengths      sketch
	tokenTimes   sketch // mean time between two tokens of an answer, in microseconds
	observations int
}

// Prediction of answer lengths.
const (
	// AnswerQuantile is the share of answers that are no longer than
	// predicted.
	AnswerQuantile = 0.95
	// AnswerWarmupCount is the number of observed answers from which on
	// predictions use the observations.
	AnswerWarmupCount = 20
	// DefaultAnswerTokens is the predicted length of an answer, in tokens,
	// before AnswerWarmupCount answers were observed.
	DefaultAnswerTokens = 256
)

// Observe records the length of a complete answer, in tokens, and the time from
// its first token to its last.
func (a *AnswerStats) Observe(tokens int, elapsed time.Duration) {
	a.lengths.add(tokens, 1)
	a.observations++
	if tokens > 1 {
		a.tokenTimes.add(int((elapsed / time.Duration(tokens-1)).Microseconds()), 1)
	}
}

// InterTokenTime returns the mean time between two tokens that the share
// AnswerQuantile of the observed answers does not exceed, or zero before
// AnswerWarmupCount answers.
func (a *AnswerStats) InterTokenTime() time.Duration {
	if a.observations < AnswerWarmupCount {
		return 0
	}
	return time.Duration(a.tokenTimes.quantile(AnswerQuantile)) * time.Microsecond
}

// PredictTokens returns the predicted length of an answer that the caller limits
// to maxTokens.
func (a *AnswerStats) PredictTokens(maxTokens int) int {
	if a.observations < AnswerWarmupCount {
		return min(maxTokens, DefaultAnswerTokens)
	}
	return min(maxTokens, a.lengths.quantile(AnswerQuantile))
}
