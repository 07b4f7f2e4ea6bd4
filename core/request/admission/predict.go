package admission

import (
	"math"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/fairness"
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

// meterTime is the time in which a meter forgets.
const meterTime = 2 * time.Second

// meter measures the rate at which work starts.
type meter struct {
	tokens float64
	at     time.Time
}

func (m *meter) add(now time.Time, tokens float64) {
	m.fade(now)
	m.tokens += tokens
}

// rate returns tokens a second.
func (m *meter) rate(now time.Time) float64 {
	m.fade(now)
	return m.tokens / meterTime.Seconds()
}

func (m *meter) fade(now time.Time) {
	if m.at.IsZero() {
		m.at = now
	}
	m.tokens *= math.Exp(-now.Sub(m.at).Seconds() / meterTime.Seconds())
	m.at = now
}

// refusal says why an arriving request cannot be served in time, or nil.
func (c *Controller) refusal(
	now time.Time, m *modelState, l *lane, a *Arrival, candidates []choice.Candidate,
) *verdict.Error {
	d := c.chooser.Choose(a.Request, candidates, now, c.random, false)
	if d.Refusal != nil {
		return c.withRetryAfter(d.Refusal, 0)
	}
	chosen := find(candidates, d.Target)
	wait := c.queueWait(now, l, a, candidates)
	if late := c.lateness(now, m, a, d, chosen, wait); late > 0 {
		return c.late(now, m, a, chosen, late)
	}
	return nil
}

// lateness is by how much a request is predicted to miss its deadline if it
// starts after wait.
func (c *Controller) lateness(
	now time.Time, m *modelState, a *Arrival, d choice.Decision, chosen *choice.Candidate, wait time.Duration,
) time.Duration {
	if a.Request.Deadline.IsZero() {
		return 0
	}
	first := time.Duration(c.settings.Margin * float64(wait+d.FirstToken))
	end := now.Add(first + c.answerTime(m, a, chosen))
	return end.Sub(a.Request.Deadline)
}

func (c *Controller) answerTime(m *modelState, a *Arrival, chosen *choice.Candidate) time.Duration {
	tokens := m.answers.Predict(a.Request.MaxTokens)
	return choice.AnswerTime(tokens-a.Request.Offset, chosen)
}

// queueWait predicts how long a new request waits in its lane.
func (c *Controller) queueWait(now time.Time, l *lane, a *Arrival, candidates []choice.Candidate) time.Duration {
	ahead := l.queue.Ahead(a.Request.Customer, a.Share)
	if ahead == 0 {
		return 0
	}
	rate := max(l.meter.rate(now), c.ownCapacity(candidates)/float64(laneCount))
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// ownCapacity is this daemon's part of the targets' prefill rate, in tokens a
// second.
func (c *Controller) ownCapacity(candidates []choice.Candidate) float64 {
	var sum float64
	for i := range candidates {
		sum += candidates[i].PrefillRate()
	}
	return sum / float64(c.daemons)
}

// late returns the refusal of a request that would end too late. Coming back
// helps only if the request could meet its deadline at an idle target.
func (c *Controller) late(
	now time.Time, m *modelState, a *Arrival, chosen *choice.Candidate, late time.Duration,
) *verdict.Error {
	idle := chosen.PrefillTime(&a.Request) + c.answerTime(m, a, chosen)
	if now.Add(idle).After(a.Request.Deadline) {
		return verdict.New(verdict.NotRun, verdict.DeadlineTooShort, "the deadline is too short for this request")
	}
	refusal := verdict.New(verdict.NotRun, verdict.Overloaded, "the answer would come too late")
	return c.withRetryAfter(refusal, late)
}

func (c *Controller) queueFull(now time.Time, l *lane, a *Arrival) *verdict.Error {
	wait := c.queueWait(now, l, a, c.candidates(a, now))
	refusal := verdict.New(verdict.NotRun, verdict.QueueFull, "too much is waiting")
	return c.withRetryAfter(refusal, wait)
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

// spanOrRefuse handles a prompt that is over the memory of each engine.
func (c *Controller) spanOrRefuse(a *Arrival, candidates []choice.Candidate) Action {
	if fitsSpan(a, candidates, c.settings.SpanEngines) {
		return Action{Kind: Span, ID: a.Request.ID, Request: a.Request, Priority: Priority(&a.Request)}
	}
	return refuse(a, verdict.Newf(verdict.NotRun, verdict.PromptTooLong,
		"%d tokens are more than the engines that one prompt may use can hold", a.Request.PromptTokens))
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
	slices.SortFunc(sizes, func(x, y int) int { return y - x })
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
	return Action{Kind: Refuse, ID: a.Request.ID, Request: a.Request, Refusal: refusal}
}

func item(a *Arrival) fairness.Item {
	return fairness.Item{
		ID:       a.Request.ID,
		Customer: a.Request.Customer,
		Share:    a.Share,
		Tokens:   a.Request.PromptTokens,
		Bytes:    a.Bytes,
	}
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
