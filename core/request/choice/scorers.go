package choice

import (
	"time"

	"carobspoke.example/core/names"
)

// Costs that scorers assume.
const (
	// DefaultStepTime stands in for a decode step that no report told.
	DefaultStepTime = 30 * time.Millisecond
	// OtherDataCentre is the round trip to another data centre of a region.
	OtherDataCentre = 2 * time.Millisecond
	// OtherRegion is the round trip to another region.
	OtherRegion = 60 * time.Millisecond
	// AdapterLoad is the time to load an adapter into an engine.
	AdapterLoad = 500 * time.Millisecond
	// VersionLag is what a target that still serves a version other than
	// the wanted one must be faster by to be chosen.
	VersionLag = 50 * time.Millisecond
	// MemoryTurnover is the time in which an engine's streams free its
	// whole memory.
	MemoryTurnover = 10 * time.Second
)

// StepTime is the time between two tokens of a stream at a candidate.
func StepTime(c *Candidate) time.Duration {
	if c.Report.StepTime > 0 {
		return c.Report.StepTime
	}
	return DefaultStepTime
}

// AnswerTime is the time to decode a number of tokens at a candidate after
// the first.
func AnswerTime(tokens int, c *Candidate) time.Duration {
	return time.Duration(max(tokens-1, 0)) * StepTime(c)
}

// queueTime is the time until the prefill work ahead is done.
type queueTime struct{}

func (queueTime) Name() string { return "queue" }

func (queueTime) Score(_ *Input, c *Candidate) time.Duration {
	return c.QueueTime()
}

// prefillTime is the request's own prefill, without what is cached. Affinity
// to a cached prefix enters here and nowhere else, so that it is worth exactly
// the time it saves.
type prefillTime struct{}

func (prefillTime) Name() string { return "prefill" }

func (prefillTime) Score(in *Input, c *Candidate) time.Duration {
	return c.PrefillTime(in.Request)
}

// decodeTime is the first decode step, which lasts longer the larger the
// batch is.
type decodeTime struct{}

func (decodeTime) Name() string { return "decode" }

func (decodeTime) Score(_ *Input, c *Candidate) time.Duration {
	if c.Report.RunningStreams == 0 {
		return StepTime(c)
	}
	streams := c.Report.RunningStreams
	return StepTime(c) * time.Duration(streams+c.OwnStreams) / time.Duration(streams)
}

// distance is the network's round trip.
type distance struct {
	region func(names.DataCentre) names.Region
}

func (distance) Name() string { return "distance" }

func (d distance) Score(in *Input, c *Candidate) time.Duration {
	from, to := in.Request.DataCentre, c.DataCentre
	switch {
	case from == to:
		return 0
	case d.region == nil || d.region(from) == d.region(to):
		return OtherDataCentre
	default:
		return OtherRegion
	}
}

// adapterLoad is the time to load an adapter that the target has not loaded.
type adapterLoad struct{}

func (adapterLoad) Name() string { return "adapter" }

func (adapterLoad) Score(in *Input, c *Candidate) time.Duration {
	if hasAdapter(in.Request, c.Report.State) {
		return 0
	}
	return AdapterLoad
}

// versionLag prefers targets that already serve the wanted version. It is a
// cost and not a filter: while a rollout goes in waves the old version carries
// the load.
type versionLag struct{}

func (versionLag) Name() string { return "version" }

func (versionLag) Score(_ *Input, c *Candidate) time.Duration {
	if c.Want.Version == "" || c.Report.State.Version == c.Want.Version {
		return 0
	}
	return VersionLag
}

// memoryWait is the time until enough KV blocks are free.
type memoryWait struct{}

func (memoryWait) Name() string { return "memory" }

func (memoryWait) Score(in *Input, c *Candidate) time.Duration {
	if c.Report.TotalBlocks <= 0 {
		return 0
	}
	missing := CostAt(in.Request, c).Blocks - (c.Report.FreeBlocks - c.OwnBlocks)
	if missing <= 0 {
		return 0
	}
	return seconds(MemoryTurnover.Seconds() * float64(missing) / float64(c.Report.TotalBlocks))
}
