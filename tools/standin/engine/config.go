package engine

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/prefix"
	"carobspoke.example/core/target"
)

// Config contains the settings of an engine. A zero value means the default of
// the field, as returned by Default.
type Config struct {
	Target names.Target
	// State is the model, version and role that the engine serves at its start.
	State target.State
	// Fencing makes the engine refuse orders with a stale fencing token.
	Fencing bool
	// Speedup divides every modelled duration.
	Speedup float64
	// Seed is the random seed that decides which cache events are lost.
	Seed uint64

	// Blocks is the size of the KV memory, in blocks of BlockTokens tokens.
	Blocks      int
	BlockTokens int
	// PrefixTokens is the number of tokens that the first digest of
	// Submit.Prefixes covers. Each further digest covers twice as many as the
	// previous one.
	PrefixTokens int
	// MaxBatch is the maximum number of streams in a decode step.
	MaxBatch int
	// MaxWaiting is the maximum number of streams that wait for admission to
	// the batch.
	MaxWaiting int
	// DefaultMaxTokens is the length of an answer, in tokens, if the submit does
	// not limit it.
	DefaultMaxTokens int

	// PrefillRate is the rate for the first tokens of a prompt, in tokens per
	// second.
	PrefillRate float64
	// PrefillDoublingContext is the context length, in tokens, at which
	// prefilling a token takes twice as long as at the start of a prompt.
	PrefillDoublingContext float64
	// ChunkTokens limits the prefill work of one step, in tokens.
	ChunkTokens int
	// StepBase, StepPerStream and StepPerToken add up to the duration of a
	// decode step: StepPerStream is added per running stream and StepPerToken
	// per token of context of the running streams.
	StepBase      time.Duration
	StepPerStream time.Duration
	StepPerToken  time.Duration
	// StepPerPart is added for each prompt part that a running stream reads
	// from another engine.
	StepPerPart time.Duration
	// ImportRate is the rate at which handles are copied from other engines, in
	// tokens per second.
	ImportRate float64

	// MaxAdapters is the maximum number of adapters loaded on demand;
	// AdapterLoadTime is the time to load one.
	MaxAdapters     int
	AdapterLoadTime time.Duration
	// WeightStore is the address of the weight store, "IP:port". If it is empty,
	// loading weights takes LoadTime.
	WeightStore string
	LoadTime    time.Duration

	// ReportInterval, ReportLag, EventDelay and PartCheckInterval are in real
	// time: Speedup does not apply. ReportLag is the minimum age of a report,
	// and EventDelay that of a cache event, before it is visible.
	ReportInterval time.Duration
	ReportLag      time.Duration
	EventDelay     time.Duration
	// EventLossRate is the fraction of cache events that are lost, from 0 to 1.
	EventLossRate float64
	// PartCheckInterval is the interval at which a stream checks that other
	// engines still hold its prompt parts.
	PartCheckInterval time.Duration

	// CrashTrigger is a text that crashes the engine when it starts to prefill
	// a prompt that contains it. CrashDowntime is the time from the crash to
	// the restart.
	CrashTrigger  string
	CrashDowntime time.Duration
}

// CrashTrigger is the default of Config.CrashTrigger.
const CrashTrigger = "[[crash the engine]]"

// Default returns settings that model one engine on a small server.
func Default() Config {
	return Config{
		Speedup:                1,
		Blocks:                 28672,
		BlockTokens:            16,
		PrefixTokens:           prefix.FirstTokens,
		MaxBatch:               64,
		MaxWaiting:             256,
		DefaultMaxTokens:       256,
		PrefillRate:            20000,
		PrefillDoublingContext: 1e6,
		ChunkTokens:            512,
		StepBase:               15 * time.Millisecond,
		StepPerStream:          200 * time.Microsecond,
		StepPerToken:           20 * time.Nanosecond,
		StepPerPart:            2 * time.Millisecond,
		ImportRate:             400000,
		MaxAdapters:            8,
		AdapterLoadTime:        500 * time.Millisecond,
		LoadTime:               20 * time.Second,
		ReportInterval:         100 * time.Millisecond,
		ReportLag:              200 * time.Millisecond,
		EventDelay:             300 * time.Millisecond,
		PartCheckInterval:      50 * time.Millisecond,
		CrashTrigger:           CrashTrigger,
		CrashDowntime:          10 * time.Second,
	}
}

// tokensCovered returns the number of tokens that the first n digests of a prompt
// cover.
func (c Config) tokensCovered(n int) int {
	if n == 0 {
		return 0
	}
	return c.PrefixTokens << (n - 1)
}

// withDefaults returns the settings with defaults in place of zero values.
func (c Config) withDefaults() Config {
	d := Default()
	setDefault(&c.Speedup, d.Speedup)
	setDefault(&c.Blocks, d.Blocks)
	setDefault(&c.BlockTokens, d.BlockTokens)
	setDefault(&c.PrefixTokens, d.PrefixTokens)
	setDefault(&c.MaxBatch, d.MaxBatch)
	setDefault(&c.MaxWaiting, d.MaxWaiting)
	setDefault(&c.DefaultMaxTokens, d.DefaultMaxTokens)
	setDefault(&c.PrefillRate, d.PrefillRate)
	setDefault(&c.PrefillDoublingContext, d.PrefillDoublingContext)
	setDefault(&c.ChunkTokens, d.ChunkTokens)
	setDefault(&c.StepBase, d.StepBase)
	setDefault(&c.StepPerStream, d.StepPerStream)
	setDefault(&c.StepPerToken, d.StepPerToken)
	setDefault(&c.StepPerPart, d.StepPerPart)
	setDefault(&c.ImportRate, d.ImportRate)
	setDefault(&c.MaxAdapters, d.MaxAdapters)
	setDefault(&c.AdapterLoadTime, d.AdapterLoadTime)
	setDefault(&c.LoadTime, d.LoadTime)
	setDefault(&c.ReportInterval, d.ReportInterval)
	setDefault(&c.ReportLag, d.ReportLag)
	setDefault(&c.EventDelay, d.EventDelay)
	setDefault(&c.PartCheckInterval, d.PartCheckInterval)
	setDefault(&c.CrashTrigger, d.CrashTrigger)
	setDefault(&c.CrashDowntime, d.CrashDowntime)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// toRealTime converts a modelled duration to real time.
func (c Config) toRealTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.Speedup)
}
