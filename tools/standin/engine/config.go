package engine

import (
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/prefix"
	"carobspoke.example/core/target"
)

// Config is an engine's settings. Zero values mean the defaults that Default
// returns.
type Config struct {
	Target names.Target
	// State is what the engine serves when it starts.
	State target.State
	// Fencing makes the engine refuse orders with an old fencing number.
	Fencing bool
	// Speedup divides every modelled duration.
	Speedup float64
	// Seed is that of the gaps between cache events.
	Seed uint64

	// Blocks is the memory, in blocks of BlockTokens tokens.
	Blocks      int
	BlockTokens int
	// PrefixTokens is how many tokens the first digest of Submit.Prefixes
	// covers. Each further one covers twice as many as the one before.
	PrefixTokens int
	// MaxBatch is the most streams of one decode step.
	MaxBatch int
	// MaxWaiting is the most streams that wait to join the batch.
	MaxWaiting int
	// MaxAnswer is the length of an answer without a bound, in tokens.
	MaxAnswer int

	// PrefillRate is in tokens a second, for the first tokens of a prompt.
	PrefillRate float64
	// PrefillContext is the context length, in tokens, at which prefilling a
	// token takes twice as long as at the start.
	PrefillContext float64
	// ChunkTokens bounds the prefill work of one step.
	ChunkTokens int
	// StepBase, StepPerStream and StepPerToken make up the time of a step;
	// the last is for each token of context of the running streams.
	StepBase      time.Duration
	StepPerStream time.Duration
	StepPerToken  time.Duration
	// StepPerPart is added for each part that is read from another engine.
	StepPerPart time.Duration
	// CopyRate is the rate of imports, in tokens a second.
	CopyRate float64

	// MaxAdapters is how many adapters fit; AdapterLoad is the time to load
	// one on demand.
	MaxAdapters int
	AdapterLoad time.Duration
	// WeightStore is the address of the weight store, "IP:port". Without one
	// loading takes LoadTime.
	WeightStore string
	LoadTime    time.Duration

	// ReportEvery and ReportLag, EventDelay and PartCheck are in real time.
	ReportEvery time.Duration
	ReportLag   time.Duration
	EventDelay  time.Duration
	// EventGap is the share of cache events that are lost.
	EventGap float64
	// PartCheck is how often a stream checks its parts at other engines.
	PartCheck time.Duration

	// CrashMark is a text that crashes the engine when it prefills a prompt
	// that contains it. CrashDown is how long the engine is then down.
	CrashMark string
	CrashDown time.Duration
}

// CrashMark is the default of Config.CrashMark.
const CrashMark = "[[crash the engine]]"

// Default returns the settings of one replica on a small server.
func Default() Config {
	return Config{
		Speedup:        1,
		Blocks:         28672,
		BlockTokens:    16,
		PrefixTokens:   prefix.FirstTokens,
		MaxBatch:       64,
		MaxWaiting:     256,
		MaxAnswer:      256,
		PrefillRate:    20000,
		PrefillContext: 1e6,
		ChunkTokens:    512,
		StepBase:       15 * time.Millisecond,
		StepPerStream:  200 * time.Microsecond,
		StepPerToken:   20 * time.Nanosecond,
		StepPerPart:    2 * time.Millisecond,
		CopyRate:       400000,
		MaxAdapters:    8,
		AdapterLoad:    500 * time.Millisecond,
		LoadTime:       20 * time.Second,
		ReportEvery:    100 * time.Millisecond,
		ReportLag:      200 * time.Millisecond,
		EventDelay:     300 * time.Millisecond,
		PartCheck:      50 * time.Millisecond,
		CrashMark:      CrashMark,
		CrashDown:      10 * time.Second,
	}
}

// covers returns how many tokens the first n digests of a prompt cover.
func (c Config) covers(n int) int {
	if n == 0 {
		return 0
	}
	return c.PrefixTokens << (n - 1)
}

func (c Config) withDefaults() Config {
	d := Default()
	setDefault(&c.Speedup, d.Speedup)
	setDefault(&c.Blocks, d.Blocks)
	setDefault(&c.BlockTokens, d.BlockTokens)
	setDefault(&c.PrefixTokens, d.PrefixTokens)
	setDefault(&c.MaxBatch, d.MaxBatch)
	setDefault(&c.MaxWaiting, d.MaxWaiting)
	setDefault(&c.MaxAnswer, d.MaxAnswer)
	setDefault(&c.PrefillRate, d.PrefillRate)
	setDefault(&c.PrefillContext, d.PrefillContext)
	setDefault(&c.ChunkTokens, d.ChunkTokens)
	setDefault(&c.StepBase, d.StepBase)
	setDefault(&c.StepPerStream, d.StepPerStream)
	setDefault(&c.StepPerToken, d.StepPerToken)
	setDefault(&c.StepPerPart, d.StepPerPart)
	setDefault(&c.CopyRate, d.CopyRate)
	setDefault(&c.MaxAdapters, d.MaxAdapters)
	setDefault(&c.AdapterLoad, d.AdapterLoad)
	setDefault(&c.LoadTime, d.LoadTime)
	setDefault(&c.ReportEvery, d.ReportEvery)
	setDefault(&c.ReportLag, d.ReportLag)
	setDefault(&c.EventDelay, d.EventDelay)
	setDefault(&c.PartCheck, d.PartCheck)
	setDefault(&c.CrashMark, d.CrashMark)
	setDefault(&c.CrashDown, d.CrashDown)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// scaled is a modelled duration in real time.
func (c Config) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / c.Speedup)
}
