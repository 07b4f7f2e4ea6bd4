package span

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/verdict"
)

// UsableMemoryShare is the share of an engine's memory that a span may take.
const UsableMemoryShare = 0.95

// MostlyFreeShare is the free share of an engine's usable memory from which the
// engine is preferred to others.
const MostlyFreeShare = 0.8

// Engine is an engine that may hold a part.
type Engine struct {
	Target names.Target
	// Address is "IP:port".
	Address string
	// Tokens is the memory available to a part, in tokens.
	Tokens int
	// FreeTokens is the free memory according to the engine's last report,
	// less the work sent since, in tokens.
	FreeTokens int
	// Queue is the time until the queued prefill work is done. PrefillRate
	// is in tokens per second.
	Queue       time.Duration
	PrefillRate float64
}

// prefillTime predicts the time to prefill tokens, including the queue.
func (e Engine) prefillTime(tokens int) time.Duration {
	return e.Queue + time.Duration(float64(tokens)/e.PrefillRate*float64(time.Second))
}

// Assignment is a part of the prompt assigned to an engine.
type Assignment struct {
	Engine Engine
	// Tokens is the number of prompt tokens, excluding the answer.
	Tokens int
}

// Plan is the division of a prompt over engines, in prompt order.
type Plan struct {
	Parts     []Assignment
	MaxTokens int
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
}

// EligibleEngines returns the candidates that may hold a part of a request: mostly
// free engines first, then by the length of the queue, then by name. Targets in the
// reserve for short prefills are left out.
func EligibleEngines(r *facts.Request, candidates []choice.Candidate, address func(names.Target) string) []Engine {
	var engines []Engine
	for i := range candidates {
		c := &candidates[i]
		if !eligible(r, c) || c.Reserved {
			continue
		}
		memory := float64(c.Report.TotalBlocks*c.Report.BlockTokens) * UsableMemoryShare
		engines = append(engines, Engine{
			Target:      c.Target,
			Address:     address(c.Target),
			Tokens:      int(memory),
			FreeTokens:  (c.Report.FreeBlocks - c.UnreportedBlocks) * c.Report.BlockTokens,
			Queue:       c.QueueTime(),
			PrefillRate: c.PrefillRate(),
		})
	}
	slices.SortFunc(engines, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(a.availabilityRank(), b.availabilityRank()),
			cmp.Compare(a.Queue, b.Queue),
			cmp.Compare(a.Target, b.Target),
		)
	})
	return engines
}

// availabilityRank returns 0 for an engine that probably has enough free memory
// for a part at present, and 1 for any other.
func (e Engine) availabilityRank() int {
	if float64(e.FreeTokens) >= MostlyFreeShare*float64(e.Tokens) {
		return 0
	}
	return 1
}

// eligible reports whether a candidate serves the request's model and adapter and
// accepts work until the request's deadline.
func eligible(r *facts.Request, c *choice.Candidate) bool {
	state := c.Report.State
	switch {
	case c.Isolation || c.Leaving || c.BreakerOpen || state.Loading:
		return false
	case state.Model != r.Model:
		return false
	case r.Adapter != "" && !slices.Contains(state.Adapters, r.Adapter):
		return false
	default:
		return c.LeavesAt.IsZero() || c.LeavesAt.After(r.Deadline)
	}
}

// MakePlan divides a request over the first engines that together have enough
// memory, and returns the others as spares. It refuses a prompt that does not
// fit or whose first token would miss the deadline; the verdict is then NotRun.
func MakePlan(r *facts.Request, engines []Engine, maxEngines int, now time.Time) (Plan, []Engine, *verdict.Error) {
	need := r.PromptTokens + r.MaxTokens
	used := enginesNeeded(engines, need)
	if used == 0 || used > maxEngines {
		return Plan{}, nil, verdict.Newf(verdict.NotRun, verdict.PromptTooLong,
			"%d tokens are more than %d engines can hold", need, min(maxEngines, len(engines)))
	}
	plan, ok := divide(r, engines[:used])
	if !ok {
		return Plan{}, nil, verdict.New(verdict.NotRun, verdict.PromptTooLong, "the answer is too long for one engine")
	}
	if now.Add(plan.TimeToFirstToken).After(r.Deadline) {
		return Plan{}, nil, verdict.New(verdict.NotRun, verdict.DeadlineTooShort, "the deadline is too short for this prompt")
	}
	return plan, engines[used:], nil
}

// enginesNeeded returns how many of the first engines together hold need tokens,
// or 0 if all of them are too small.
func enginesNeeded(engines []Engine, need int) int {
	sum := 0
	for i, e := range engines {
		sum += e.Tokens
		if sum >= need {
			return i + 1
		}
	}
	return 0
}

// divide assigns each engine a part in proportion to its memory. The part of the
// last engine leaves room for the answer. divide reports whether it does.
func divide(r *facts.Request, engines []Engine) (Plan, bool) {
	total := 0
	for _, e := range engines {
		total += e.Tokens
	}
	plan := Plan{MaxTokens: r.MaxTokens}
	left := r.PromptTokens
	for i, e := range engines {
		tokens := left
		if i < len(engines)-1 {
			tokens = proportionalShare(r.PromptTokens+r.MaxTokens, e.Tokens, total)
			tokens = min(tokens, e.Tokens, left-1)
		}
		left -= tokens
		plan.Parts = append(plan.Parts, Assignment{Engine: e, Tokens: tokens})
		plan.TimeToFirstToken += e.prefillTime(tokens)
	}
	last := plan.Parts[len(plan.Parts)-1]
	return plan, last.Tokens > 0 && last.Tokens+r.MaxTokens <= last.Engine.Tokens
}

// proportionalShare returns tokens*capacity/total, rounded up.
func proportionalShare(tokens, capacity, total int) int {
	return int((int64(tokens)*int64(capacity) + int64(total) - 1) / int64(total))
}
