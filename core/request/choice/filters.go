package choice

import (
	"fmt"
	"slices"
	"time"

	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Cost is the work and the memory that a request needs at an engine.
type Cost struct {
	// Prefill is the length of the prompt without its cached part, in tokens.
	Prefill int
	// Blocks is the KV memory for the prompt and the longest allowed answer,
	// in blocks.
	Blocks int
}

// CostAt returns the cost of a request at a candidate.
func CostAt(r *facts.Request, c *Candidate) Cost {
	total := r.PromptTokens + r.MaxTokens
	size := max(c.Report.BlockTokens, 1)
	return Cost{
		Prefill: max(0, r.PromptTokens-c.CachedTokens),
		Blocks:  (total + size - 1) / size,
	}
}

// isolation keeps requests suspected of crashing targets on isolation targets,
// one at a time, and all other requests off them.
type isolation struct{}

func (isolation) Name() string { return "isolation" }

func (isolation) RefusalReason(in *Input) verdict.Reason {
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
	case in.Request.Isolate && (c.UnreportedStreams > 0 || c.Report.RunningStreams > 0):
		return false, "busy with another suspect"
	default:
		return true, ""
	}
}

// servesModel keeps targets that serve the model of the request for whole
// generations, and that have the adapter loaded or are to load it.
type servesModel struct{}

func (servesModel) Name() string                        { return "served" }
func (servesModel) RefusalReason(*Input) verdict.Reason { return verdict.NoTarget }

func (servesModel) Keep(in *Input, c *Candidate) (bool, string) {
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

// departure drops targets that take no new work, and targets that would stop
// before the longest answer that the request allows is complete.
type departure struct{}

func (departure) Name() string                        { return "leaving" }
func (departure) RefusalReason(*Input) verdict.Reason { return verdict.TargetLeaving }

func (departure) Keep(in *Input, c *Candidate) (bool, string) {
	if c.Leaving {
		return false, "takes no new work"
	}
	if c.LeavesAt.IsZero() {
		return true, ""
	}
	first := c.QueueTime() + c.PrefillTime(in.Request)
	end := in.Now.Add(first + AnswerTime(in.Request.MaxTokens-in.Request.DeliveredTokens, c))
	if end.After(c.LeavesAt) {
		return false, "leaves before the answer's end"
	}
	return true, ""
}

// circuitBreaker drops targets whose circuit breaker is open.
type circuitBreaker struct{}

func (circuitBreaker) Name() string                        { return "breaker" }
func (circuitBreaker) RefusalReason(*Input) verdict.Reason { return verdict.Overloaded }

func (circuitBreaker) Keep(_ *Input, c *Candidate) (bool, string) {
	if c.BreakerOpen {
		return false, "failed of late"
	}
	return true, ""
}

// memoryCapacity drops targets whose total KV memory is too small for the
// request.
type memoryCapacity struct{}

func (memoryCapacity) Name() string                        { return "memory" }
func (memoryCapacity) RefusalReason(*Input) verdict.Reason { return verdict.PromptTooLong }

func (memoryCapacity) Keep(in *Input, c *Candidate) (bool, string) {
	blocks := CostAt(in.Request, c).Blocks
	if c.Report.TotalBlocks > 0 && blocks > c.Report.TotalBlocks {
		return false, fmt.Sprintf("needs %d blocks of %d", blocks, c.Report.TotalBlocks)
	}
	return true, ""
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
