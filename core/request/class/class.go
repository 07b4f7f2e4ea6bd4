// Package class sorts prompts into length classes and predicts the length of
// answers, from what a daemon has seen of late.
//
// Bounds of length classes are not constants: they split the observed prefill
// work, in tokens, into thirds (size intervals of equal load). Where one prompt
// in fifty is a thousand times longer than the others, this puts nearly all
// requests into Short and a few very long ones into Long, and it moves when the
// mix moves. The state is a histogram of fixed size with logarithmic buckets,
// whose old observations fade with each new one.
package class

import (
	"time"

	"carobspoke.example/core/target"
)

// Shape of the observed mix.
const (
	// ShortShare and MediumShare are the shares of prefill work, in tokens,
	// that lie below the upper bounds of Short and of Medium.
	ShortShare  = 1.0 / 3
	MediumShare = 2.0 / 3
	// Refresh is the number of observations between two computations of the
	// bounds.
	Refresh = 8
)

// What a new daemon assumes: the same work in prompts of each of some lengths,
// each twice the one before. It counts like observed work and fades like it.
const (
	PriorLengths = 9
	PriorFirst   = 1000
	PriorTokens  = 400_000
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

// Mix is the mix of prompt lengths that a daemon has seen of late. The zero
// value is ready for use. It is not safe for concurrent use.
type Mix struct {
	sketch sketch
	bounds Bounds
	seen   int
}

// Observe takes in a prompt's length in tokens.
func (m *Mix) Observe(promptTokens int) {
	m.assume()
	m.sketch.add(promptTokens, float64(promptTokens))
	m.seen++
	if m.seen%Refresh == 0 {
		m.refresh()
	}
}

// assume puts in what a new daemon assumes.
func (m *Mix) assume() {
	if m.bounds != (Bounds{}) {
		return
	}
	for i := range PriorLengths {
		m.sketch.add(PriorFirst<<i, PriorTokens/PriorLengths)
	}
	m.refresh()
}

func (m *Mix) refresh() {
	m.bounds = Bounds{
		Short:  m.sketch.quantile(ShortShare),
		Medium: m.sketch.quantile(MediumShare),
	}
}

// Bounds returns the bounds that hold now.
func (m *Mix) Bounds() Bounds {
	m.assume()
	return m.bounds
}

// WorkBelow returns the share of prefill work, in tokens, that lies in prompts
// of at most so many tokens.
func (m *Mix) WorkBelow(promptTokens int) float64 {
	m.assume()
	return m.sketch.below(promptTokens)
}

// Answers is the mix of answer lengths and speeds that a daemon has seen of late. The
// zero value is ready for use. It is not safe for concurrent use.
type Answers struct {
	sketch sketch
	speed  sketch // time between two tokens, in microseconds
	seen   int
}

// Prediction of answer lengths.
const (
	// AnswerQuantile is the share of answers that are no longer than
	// predicted.
	AnswerQuantile = 0.95
	// AnswerWarmup is the number of answers before which FirstAnswer holds.
	AnswerWarmup = 20
	// FirstAnswer is the predicted length of an answer, in tokens, before
	// any was seen.
	FirstAnswer = 256
)

// Observe takes in the length of a complete answer, in tokens, and the time
// from its first token to its last.
func (a *Answers) Observe(tokens int, elapsed time.Duration) {
	a.sketch.add(tokens, 1)
	a.seen++
	if tokens > 1 {
		a.speed.add(int((elapsed / time.Duration(tokens-1)).Microseconds()), 1)
	}
}

// TokenTime returns the time between two tokens that AnswerQuantile of the
// answers did not exceed; zero before AnswerWarmup answers.
func (a *Answers) TokenTime() time.Duration {
	if a.seen < AnswerWarmup {
		return 0
	}
	return time.Duration(a.speed.quantile(AnswerQuantile)) * time.Microsecond
}

// Predict returns the number of tokens to plan for an answer that the caller
// limits to maxTokens.
func (a *Answers) Predict(maxTokens int) int {
	if a.seen < AnswerWarmup {
		return min(maxTokens, FirstAnswer)
	}
	return min(maxTokens, a.sketch.quantile(AnswerQuantile))
}
