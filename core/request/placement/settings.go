package placement

import "time"

// Settings are the weights of placement.
type Settings struct {
	// HeavyPrefill is the prefill time from which a prompt counts as heavy.
	HeavyPrefill time.Duration
	// PauseMargin and FirstMargin are how much earlier than the bound a
	// pause or a first event counts as late, for what predictions miss.
	PauseMargin time.Duration
	FirstMargin time.Duration
	// SizePerSecond is the size of the answers that a second of waiting
	// counts as.
	SizePerSecond float64
	// EarlySize is the part of a prompt's size that its first event costs if
	// it comes just in time, falling to nothing if it comes at once.
	EarlySize float64
	// HelperSize is the part of a late prompt's size that each target it
	// takes costs.
	HelperSize float64
	// LateShare is the part of the time left by which the first event of a
	// late prompt must come.
	LateShare float64
	// LightShare is the part of the latency target within which a light
	// prompt takes the first target in order instead of the best.
	LightShare float64
	// HopeShare is the part of the time left, or of the caller's patience,
	// beyond which a predicted first event counts as hopeless.
	HopeShare float64
	// MaxHelpers bounds the helpers of a prompt; the engines' interface
	// takes 16.
	MaxHelpers int
	// SparePerScore is the delay that one recent failure of a target counts
	// as.
	SparePerScore time.Duration
	// MemoryShare is the part of an engine's memory that placement fills.
	MemoryShare float64
	// EndsFactor is how many times its prediction an answer may take before
	// the daemon ends.
	EndsFactor float64
	// StoppingRetry is when to come back, to another daemon, after a refusal
	// by one that stops.
	StoppingRetry time.Duration
	// NoTargetRetry is when to come back if there is no target.
	NoTargetRetry time.Duration
	// OverloadRetryMin and OverloadRetryMax bound the random time after
	// which a request refused for load may come back.
	OverloadRetryMin time.Duration
	OverloadRetryMax time.Duration
}

// Default returns the settings of this release.
func Default() Settings {
	return Settings{
		HeavyPrefill:     130 * time.Millisecond, // above the longest short prompt of the users' traffic
		PauseMargin:      40 * time.Millisecond,
		FirstMargin:      100 * time.Millisecond,
		SizePerSecond:    50_000, // a short prompt's answer counts about 20,000
		EarlySize:        0.3,
		HelperSize:       0.02,
		LateShare:        0.5,
		LightShare:       0.6,
		HopeShare:        0.8,
		MaxHelpers:       8,
		SparePerScore:    300 * time.Millisecond,
		MemoryShare:      0.97,
		EndsFactor:       1.3,
		StoppingRetry:    20 * time.Millisecond,
		NoTargetRetry:    300 * time.Millisecond,
		OverloadRetryMin: 500 * time.Millisecond,
		OverloadRetryMax: 2500 * time.Millisecond,
	}
}
