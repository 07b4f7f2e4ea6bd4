package admission

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/verdict"
)

// Bounds of what callers are told about coming back.
const (
	// ShortestRetryAfter and LongestRetryAfter bound a retry-after.
	ShortestRetryAfter = time.Second
	LongestRetryAfter  = time.Minute
	// RetryAfterJitter is the largest share that is added at random, so that
	// refused callers do not come back together.
	RetryAfterJitter = 0.5
)

// end predicts when the answer is complete.
func (c *Controller) end(
	now time.Time, m *modelState, a *Arrival, d choice.Decision, chosen *choice.Candidate,
) time.Time {
	first := time.Duration(c.settings.Margin * float64(d.FirstToken))
	return now.Add(first + answerTime(m, a, choice.StepTime(chosen)))
}

// answerTime is the time of the rest of an answer at a step time, or at that
// which was seen of late if it is longer.
func answerTime(m *modelState, a *Arrival, step time.Duration) time.Duration {
	tokens := m.answers.Predict(a.Request.MaxTokens) - a.Request.Offset - 1
	return time.Duration(max(tokens, 0)) * max(step, m.answers.TokenTime())
}

// late returns the refusal of a request that would end too late. Coming back
// helps only if the request could meet its deadline at an idle target.
func (c *Controller) late(
	now time.Time, m *modelState, a *Arrival, chosen *choice.Candidate, late time.Duration,
) *verdict.Error {
	tokens := time.Duration(m.answers.Predict(a.Request.MaxTokens))
	idle := chosen.PrefillTime(&a.Request) + tokens*min(choice.StepTime(chosen), choice.DefaultStepTime)
	if now.Add(idle).After(a.Request.Deadline) {
		return verdict.New(verdict.NotRun, verdict.DeadlineTooShort, "the deadline is too short for this request")
	}
	return c.retryLater(verdict.Overloaded, "the answer would come too late", late)
}

func (c *Controller) retryLater(r verdict.Reason, message string, wait time.Duration) *verdict.Error {
	return c.withRetryAfter(verdict.New(verdict.NotRun, r, message), wait)
}

// withRetryAfter tells the caller to come back when the wait is over. Only a
// lack of capacity passes by itself.
func (c *Controller) withRetryAfter(e *verdict.Error, wait time.Duration) *verdict.Error {
	switch e.Reason {
	case verdict.Overloaded, verdict.QueueFull, verdict.TargetLeaving, verdict.CrashSuspect:
	default:
		return e
	}
	wait = min(max(wait, ShortestRetryAfter), LongestRetryAfter)
	jitter := 1 + RetryAfterJitter*c.random.Float64()
	return e.WithRetryAfter(time.Duration(float64(wait) * jitter))
}

func fitsSpan(a *Arrival, candidates []choice.Candidate, engines int) bool {
	if engines < 2 {
		return false
	}
	sizes := make([]int, 0, len(candidates))
	for i := range candidates {
		if !candidates[i].Isolation {
			sizes = append(sizes, engineTokens(&candidates[i]))
		}
	}
	slices.SortFunc(sizes, func(x, y int) int { return cmp.Compare(y, x) })
	sum := 0
	for _, size := range sizes[:min(engines, len(sizes))] {
		sum += size
	}
	return a.Request.PromptTokens+a.Request.MaxTokens <= sum
}

// largestEngine returns the memory of the largest engine, in tokens.
func largestEngine(candidates []choice.Candidate) int {
	largest := 0
	for i := range candidates {
		if !candidates[i].Isolation {
			largest = max(largest, engineTokens(&candidates[i]))
		}
	}
	return largest
}

func engineTokens(c *choice.Candidate) int { return c.Report.TotalBlocks * c.Report.BlockTokens }

func refuse(a *Arrival, refusal *verdict.Error) Action {
	return Action{Kind: Refuse, Request: a.Request, Refusal: refusal}
}

// refusePlaced keeps the steps of the decision for explanation.
func refusePlaced(a *Arrival, d choice.Decision, refusal *verdict.Error) Action {
	action := refuse(a, refusal)
	action.Decision.Steps = d.Steps
	return action
}

func find(candidates []choice.Candidate, name names.Target) *choice.Candidate {
	for i := range candidates {
		if candidates[i].Target == name {
			return &candidates[i]
		}
	}
	return nil
}

func contains(list []names.Target, t names.Target) bool { return slices.Contains(list, t) }
