package choice

import (
	"time"

	"carobspoke.example/core/names"
)

// Constants of the scorers.
const (
	// DefaultStepTime is the decode step time that is assumed for a target
	// that has not reported one.
	DefaultStepTime = 30 * time.Millisecond
	// CrossDataCentreRTT is the assumed network round trip time to another
	// data centre of the same region.
	CrossDataCentreRTT = 2 * time.Millisecond
	// CrossRegionRTT is the assumed network round trip time to another region.
	CrossRegionRTT = 60 * time.Millisecond
	// AdapterLoadTime is the assumed time to load an adapter into an engine.
	AdapterLoadTime = 500 * time.Millisecond
	// VersionMismatchCost is added to the prediction of a target that serves
	// another version than the wanted one: it is preferred only if it is
	// faster by more than this.
	VersionMismatchCost = 50 * time.Millisecond
	// MemoryTurnoverTime is the assumed time in which an engine's streams
	// free its whole KV memory.
	MemoryTurnoverTime = 10 * time.Second
)

// StepTime returns the time between two tokens of a stream at a candidate.
func StepTime(c *Candidate) time.Duration {
	if c.Report.StepTime > 0 {
		return c.Report.StepTime
	}
	return DefaultStepTime
}

// AnswerTime returns the time to decode an answer of the given number of tokens
// at a candidate, counted from its first token.
func AnswerTime(tokens int, c *Candidate) time.Duration {
	return time.Duration(max(tokens-1, 0)) * StepTime(c)
}

// queueTime scores the time until the prefill work ahead of the request is done.
type queueTime struct{}

func (queueTime) Name() string { return "queue" }

func (queueTime) Score(_ *Input, c *Candidate) time.Duration {
	return c.QueueTime()
}

// prefillTime scores the prefill of the request, without the cached part of its
// prompt. Prefix cache affinity is taken into account only here, so that it is
// worth exactly the time that it saves.
type prefillTime struct{}

func (prefillTime) Name() string { return "prefill" }

func (prefillTime) Score(in *Input, c *Candidate) time.Duration {
	return c.PrefillTime(in.Request)
}

// decodeTime scores the first decode step, which takes longer with a larger
// batch.
type decodeTime struct{}

func (decodeTime) Name() string { return "decode" }

func (decodeTime) Score(_ *Input, c *Candidate) time.Duration {
	if c.Report.RunningStreams == 0 {
		return StepTime(c)
	}
	streams := c.Report.RunningStreams
	return StepTime(c) * time.Duration(streams+c.UnreportedStreams) / time.Duration(streams)
}

// networkDistance scores the network round trip time to the target.
type networkDistance struct {
	region func(names.DataCentre) names.Region
}

func (networkDistance) Name() string { return "distance" }

func (d networkDistance) Score(in *Input, c *Candidate) time.Duration {
	from, to := in.Request.DataCentre, c.DataCentre
	switch {
	case from == to:
		return 0
	case d.region == nil || d.region(from) == d.region(to):
		return CrossDataCentreRTT
	default:
		return CrossRegionRTT
	}
}

// adapterLoadTime scores the time to load the adapter if the target has not
// loaded it.
type adapterLoadTime struct{}

func (adapterLoadTime) Name() string { return "adapter" }

func (adapterLoadTime) Score(in *Input, c *Candidate) time.Duration {
	if hasAdapter(in.Request, c.Report.State) {
		return 0
	}
	return AdapterLoadTime
}

// versionMismatch scores targets that do not yet serve the wanted version. It is
// a score and not a filter because a rollout updates targets in waves, during
// which those with the old version must still take load.
type versionMismatch struct{}

func (versionMismatch) Name() string { return "version" }

func (versionMismatch) Score(_ *Input, c *Candidate) time.Duration {
	if c.Want.Version == "" || c.Report.State.Version == c.Want.Version {
		return 0
	}
	return VersionMismatchCost
}

// memoryWait scores the time until enough KV blocks for the request are free.
type memoryWait struct{}

func (memoryWait) Name() string { return "memory" }

func (memoryWait) Score(in *Input, c *Candidate) time.Duration {
	if c.Report.TotalBlocks <= 0 {
		return 0
	}
	missing := CostAt(in.Request, c).Blocks - (c.Report.FreeBlocks - c.UnreportedBlocks)
	if missing <= 0 {
		return 0
	}
	return seconds(MemoryTurnoverTime.Seconds() * float64(missing) / float64(c.Report.TotalBlocks))
}
