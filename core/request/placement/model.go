package placement

import (
	"time"

	"carobspoke.example/core/version/routing"
)

// PrefillTime predicts how long one engine reads a prompt alone: each token
// costs the same, and each pair of a token and an earlier one.
func PrefillTime(e *routing.Engine, tokens int) time.Duration {
	linear := 0.0
	if e.PrefillRate > 0 {
		linear = float64(tokens) / e.PrefillRate
	}
	pairs := float64(tokens) * float64(tokens) / 2
	return seconds(linear) + time.Duration(pairs/1e6*float64(e.PerMillionPairs))
}

// answerWeight is how many prompt tokens one token of an answer counts.
const answerWeight = 10

// Size is what a request counts against others: a token of its answer takes
// many times the work of one of its prompt.
func Size(r *Request) int { return r.PromptTokens + answerWeight*r.AnswerTokens }

// PassTime predicts a decode pass with a number of answers, whose contexts are
// as long as the one given.
func PassTime(e *routing.Engine, writers, context int) time.Duration {
	perWriter := float64(e.PerSequence) + float64(e.PerThousandContext)*float64(context)/1000
	step := float64(e.Step) + float64(writers)*perWriter
	return time.Duration(float64(max(e.Stride, 1)) * step)
}

// WriteTime predicts the time to write an answer after its first event.
func WriteTime(e *routing.Engine, answer, writers, context int) time.Duration {
	passes := answer / max(e.Stride, 1)
	return time.Duration(passes) * PassTime(e, writers, context)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
