package placement

import (
	"time"

	"carobspoke.example/core/version/routing"
)

// PrefillTime predicts how long one engine takes to prefill a prompt on its
// own. The cost is linear in the tokens, for the work per token, plus quadratic,
// for attention over each pair of a token and an earlier one.
func PrefillTime(e *routing.Engine, tokens int) time.Duration {
	linear := 0.0
	if e.PrefillRate > 0 {
		linear = float64(tokens) / e.PrefillRate
	}
	pairs := float64(tokens) * float64(tokens) / 2
	return seconds(linear) + time.Duration(pairs/1e6*float64(e.PrefillTimePerMillionPairs))
}

// answerTokenWeight is the weight of an answer token relative to a prompt token.
const answerTokenWeight = 10

// Size returns the weight of a request in prompt tokens. An answer token counts
// as answerTokenWeight of them, because it takes many times the work.
func Size(r *Request) int { return r.PromptTokens + answerTokenWeight*r.AnswerTokens }

// PassTime predicts the duration of a decode pass over a batch of sequences
// with contextTokens of context each.
func PassTime(e *routing.Engine, sequences, contextTokens int) time.Duration {
	perSequence := float64(e.StepTimePerSequence) + float64(e.StepTimePerThousandTokens)*float64(contextTokens)/1000
	step := float64(e.StepTime) + float64(sequences)*perSequence
	return time.Duration(float64(max(e.StepsPerPass, 1)) * step)
}

// DecodeTime predicts the time from the first event of an answer to its end, in
// a batch of sequences with contextTokens of context each.
func DecodeTime(e *routing.Engine, answerTokens, sequences, contextTokens int) time.Duration {
	passes := answerTokens / max(e.StepsPerPass, 1)
	return time.Duration(passes) * PassTime(e, sequences, contextTokens)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
