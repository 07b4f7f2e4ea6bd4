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

// UsableMemory is the share of an engine's memory that a span may take.
const UsableMemory = 0.95

// MostlyFree is the free share of an engine's usable memory from which it is
// asked before others.
const MostlyFree = 0.8

// Engine is an engine that may hold a part.
type Engine struct {
	Target names.Target
	// Address is "IP:port".
	Address string
	// Tokens is the memory that a part may take.
	Tokens int
	// Free is how much of it the engine's report says is free.
	Free int
	// Queue is the time until the prefill work ahead is done, and
	// PrefillRate is in tokens a second.
	Queue       time.Duration
	PrefillRate float64
}

func (e Engine) prefill(tokens int) time.Duration {
	return e.Queue + time.Duration(float64(tokens)/e.PrefillRate*float64(time.Second))
}

// Assignment is a part of the prompt at an engine.
type Assignment struct {
	Engine Engine
	// Tokens is the part of the prompt, without the answer.
	Tokens int
}

// Plan is a division of a prompt over engines, in the prompt's order.
type Plan struct {
	Parts     []Assignment
	MaxTokens int
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
}

// Engines returns the engines among candidates that may hold a part of a
// request: those that are mostly free first, and then those with the shortest
// queue. Targets of the reserve are left out.
func Engines(r *facts.Request, candidates []choice.Candidate, address func(names.Target) string) []Engine {
	var engines []Engine
	for i := range candidates {
		c := &candidates[i]
		if !mayHold(r, c) || c.Reserved {
			continue
		}
		memory := float64(c.Report.TotalBlocks*c.Report.BlockTokens) * UsableMemory
		engines = append(engines, Engine{
			Target:      c.Target,
			Address:     address(c.Target),
			Tokens:      int(memory),
			Free:        (c.Report.FreeBlocks - c.UnreportedBlocks) * c.Report.BlockTokens,
			Queue:       c.QueueTime(),
			PrefillRate: c.PrefillRate(),
		})
	}
	slices.SortFunc(engines, func(a, b Engine) int {
		return cmp.Or(
			cmp.Compare(a.taken(), b.taken()),
			cmp.Compare(a.Queue, b.Queue),
			cmp.Compare(a.Target, b.Target),
		)
	})
	return engines
}

// taken returns 0 for an engine that probably has the memory for a part now,
// and 1 for any other.
func (e Engine) taken() int {
	if float64(e.Free) >= MostlyFree*float64(e.Tokens) {
		return 0
	}
	return 1
}

func mayHold(r *facts.Request, c *choice.Candidate) bool {
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

// Make divides a request over the first engines that together have the memory,
// and returns the others as spares. It refuses at once, with proof that nothing
// ran, a prompt that fits nowhere or would end too late.
func Make(r *facts.Request, engines []Engine, maxEngines int, now time.Time) (Plan, []Engine, *verdict.Error) {
	need := r.PromptTokens + r.MaxTokens
	used := fewest(engines, need)
	if used == 0 || used > maxEngines {
		return Plan{}, nil, verdict.Newf(verdict.NotRun, verdict.PromptTooLong,
			"%d tokens are more than %d engines can hold", need, min(maxEngines, len(engines)))
	}
	plan, ok := divide(r, engines[:used])
	if !ok {
		return Plan{}, nil, verdict.New(verdict.NotRun, verdict.PromptTooLong, "the answer is too long for one engine")
	}
	if now.Add(plan.FirstToken).After(r.Deadline) {
		return Plan{}, nil, verdict.New(verdict.NotRun, verdict.DeadlineTooShort, "the deadline is too short for this prompt")
	}
	return plan, engines[used:], nil
}

// fewest returns how many of the first engines have the memory, or zero.
func fewest(engines []Engine, need int) int {
	sum := 0
	for i, e := range engines {
		sum += e.Tokens
		if sum >= need {
			return i + 1
		}
	}
	return 0
}

// divide gives each engine a part in proportion to its memory; the last keeps
// room for the answer.
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
			tokens = share(r.PromptTokens+r.MaxTokens, e.Tokens, total)
			tokens = min(tokens, e.Tokens, left-1)
		}
		left -= tokens
		plan.Parts = append(plan.Parts, Assignment{Engine: e, Tokens: tokens})
		plan.FirstToken += e.prefill(tokens)
	}
	last := plan.Parts[len(plan.Parts)-1]
	return plan, last.Tokens > 0 && last.Tokens+r.MaxTokens <= last.Engine.Tokens
}

// share is the part of a whole, rounded up.
func share(whole, part, total int) int {
	return int((int64(whole)*int64(part) + int64(total) - 1) / int64(total))
}
