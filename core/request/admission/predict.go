package admission

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/verdict"
)

// Bounds of the retry-after of refusals.
const (
	// MinRetryAfter and MaxRetryAfter bound a retry-after before the jitter.
	MinRetryAfter = time.Second
	MaxRetryAfter = time.Minute
	// RetryAfterJitter is the largest share of a retry-after that is added at
	// random, so that refused callers do not retry at the same time.
	RetryAfterJitter = 0.5
)

// predictEnd returns the predicted time at which the answer is complete.
func (c *Controller) predictEnd(
	now time.Time, m *modelState, a *Arrival, d choice.Decision, chosen *choice.Candidate,
) time.Time {
	first := time.Duration(c.settings.FirstTokenMargin * float64(d.TimeToFirstToken))
	return now.Add(first + remainingAnswerTime(m, a, choice.StepTime(chosen)))
}

// remainingAnswerTime returns the predicted time to decode the rest of an answer
// after its first token. It uses the given step time, or the recently observed
// time between tokens if that is longer.
func remainingAnswerTime(m *modelState, a *Arrival, step time.Duration) time.Duration {
	tokens := m.answers.PredictTokens(a.Request.MaxTokens) - a.Request.DeliveredTokens - 1
	return time.Duration(max(tokens, 0)) * max(step, m.answers.InterTokenTime())
}

// refuseLate returns the refusal of a request whose predicted completion is
// later than its deadline by overrun. The refusal has a retry-after only if the
// request could meet its deadline at an idle target.
func (c *Controller) refuseLate(
	now time.Time, m *modelState, a *Arrival, chosen *choice.Candidate, targets int, overrun time.Duration,
) *verdict.Error {
	tokens := time.Duration(m.answers.PredictTokens(a.Request.MaxTokens))
	idle := chosen.PrefillTime(&a.Request) + tokens*min(choice.StepTime(chosen), choice.DefaultStepTime)
	if now.Add(idle).After(a.Request.Deadline) {
		return verdict.New(verdict.NotRun, verdict.DeadlineTooShort, "the deadline is too short for this request")
	}
	return c.refuseOverloaded(now, m, a, chosen, targets, overrun, "the answer would come too late")
}

// refuseOverloaded returns the refusal of a request for which there is predicted to be capacity after
// wait. Callers refused before it return first, as fast as the model's targets can prefill their
// prompts.
func (c *Controller) refuseOverloaded(
	now time.Time, m *modelState, a *Arrival, chosen *choice.Candidate, targets int, wait time.Duration, message string,
) *verdict.Error {
	interval := chosen.PrefillTime(&a.Request) / time.Duration(max(targets, 1))
	wait = m.returns.Next(max(wait, MinRetryAfter), interval, MaxRetryAfter, c.random.Float64(), now)
	return c.refusalWithRetry(verdict.Overloaded, message, wait)
}

// refusalWithRetry returns a refusal with a retry-after of about the given wait.
func (c *Controller) refusalWithRetry(r verdict.Reason, message string, wait time.Duration) *verdict.Error {
	return c.withRetryAfter(verdict.New(verdict.NotRun, r, message), wait)
}

// withRetryAfter adds a retry-after for the given wait, within the bounds and
// with jitter, to a refusal for lack of capacity. Other refusals are returned
// unchanged: their cause does not pass with time.
func (c *Controller) withRetryAfter(e *verdict.Error, wait time.Duration) *verdict.Error {
	switch e.Reason {
	case verdict.Overloaded, verdict.QueueFull, verdict.TargetLeaving, verdict.CrashSuspect:
	default:
		return e
	}
	wait = min(max(wait, MinRetryAfter), MaxRetryAfter)
	jitter := 1 + RetryAfterJitter*c.random.Float64()
	return e.WithRetryAfter(time.Duration(float64(wait) * jitter))
}

// fitsSpan reports whether prompt and answer fit into the memory of the given
// number of the largest engines.
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

// largestEngine returns the memory of the largest engine in tokens, without
// isolation targets.
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

// refusePlaced returns a refusal that keeps the recorded steps of a decision.
func refusePlaced(a *Arrival, d choice.Decision, refusal *verdict.Error) Action {
	action := refuse(a, refusal)
	action.Decision.Steps = d.Steps
	return action
}

func findCandidate(candidates []choice.Candidate, name names.Target) *choice.Candidate {
	for i := range candidates {
		if candidates[i].Target == name {
			return &candidates[i]
		}
	}
	return nil
}

func contains(list []names.Target, t names.Target) bool { return slices.Contains(list, t) }
