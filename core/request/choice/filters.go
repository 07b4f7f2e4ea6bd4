package choice

import (
	"fmt"
	"slices"
	"time"

	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Cost is what a request takes from an engine.
type Cost struct {
	// Prefill is the prompt without what is cached, in tokens.
	Prefill int
	// Blocks is the KV memory for prompt and answer, in blocks.
	Blocks int
}

// CostAt returns what a request costs at a candidate.
func CostAt(r *facts.Request, c *Candidate) Cost {
	total := r.PromptTokens + r.MaxTokens
	size := max(c.Report.BlockTokens, 1)
	return Cost{
		Prefill: max(0, r.PromptTokens-c.CachedTokens),
		Blocks:  (total + size - 1) / size,
	}
}

// isolation sends suspects to isolation targets and nothing else there.
type isolation struct{}

func (isolation) Name() string { return "isolation" }

func (isolation) Refusal(in *Input) verdict.Reason {
	if in.Request.Isolate {
		return verdict.CrashSuspect
	}
	return verdict.NoTarget
}

func (isolation) Keep(in *Input, c *Candidate) (bool, string) {
	switch {
	case in.Request.Isolate && !c.Isolation:
		return false, "a suspect runs on isolation targets only"
	case !in.Request.Isolate && c.Isolation:
		return false, "set apart for suspects"
	case in.Request.Isolate && (c.OwnStreams > 0 || c.Report.RunningStreams > 0):
		return false, "busy with another suspect"
	default:
		return true, ""
	}
}

// served keeps targets that serve the model and can serve the adapter.
type served struct{}

func (served) Name() string                  { return "served" }
func (served) Refusal(*Input) verdict.Reason { return verdict.NoTarget }

func (served) Keep(in *Input, c *Candidate) (bool, string) {
	state := c.Report.State
	switch {
	case state.Loading:
		return false, "loading"
	case state.Model != in.Request.Model:
		return false, "serves another model"
	case state.Role == target.Prefill || state.Role == target.Decode:
		return false, "does one part of a generation only"
	case !hasAdapter(in.Request, state) && !hasAdapter(in.Request, c.Want):
		return false, "does not serve the adapter"
	default:
		return true, ""
	}
}

func hasAdapter(r *facts.Request, s target.State) bool {
	return r.Adapter == "" || slices.Contains(s.Adapters, r.Adapter)
}

// leaving drops targets that take no new work, and those that would stop
// before the longest answer that the request allows is complete.
type leaving struct{}

func (leaving) Name() string                  { return "leaving" }
func (leaving) Refusal(*Input) verdict.Reason { return verdict.TargetLeaving }

func (leaving) Keep(in *Input, c *Candidate) (bool, string) {
	if c.Leaving {
		return false, "takes no new work"
	}
	if c.LeavesAt.IsZero() {
		return true, ""
	}
	first := c.QueueTime() + c.PrefillTime(in.Request)
	end := in.Now.Add(first + AnswerTime(in.Request.MaxTokens-in.Request.Offset, c))
	if end.After(c.LeavesAt) {
		return false, "leaves before the answer's end"
	}
	return true, ""
}

// breaker drops targets whose circuit breaker is open.
type breaker struct{}

func (breaker) Name() string                  { return "breaker" }
func (breaker) Refusal(*Input) verdict.Reason { return verdict.Overloaded }

func (breaker) Keep(_ *Input, c *Candidate) (bool, string) {
	if c.BreakerOpen {
		return false, "failed of late"
	}
	return true, ""
}

// memory drops targets whose whole memory could not hold the request.
type memory struct{}

func (memory) Name() string                  { return "memory" }
func (memory) Refusal(*Input) verdict.Reason { return verdict.PromptTooLong }

func (memory) Keep(in *Input, c *Candidate) (bool, string) {
	blocks := CostAt(in.Request, c).Blocks
	if c.Report.TotalBlocks > 0 && blocks > c.Report.TotalBlocks {
		return false, fmt.Sprintf("needs %d blocks of %d", blocks, c.Report.TotalBlocks)
	}
	return true, ""
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
