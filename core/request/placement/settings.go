package placement

import "time"

// Settings are the weights of placement.
type Settings struct {
	// HeavyPrefill is the prefill time from which a prompt counts as heavy.
	HeavyPrefill time.Duration
	// GentleGap is the gap target up to which an answer counts as one that
	// bears no pause.
	GentleGap time.Duration
	// HarmPerGentle is what delaying one such answer costs a heavy prompt.
	HarmPerGentle time.Duration
	// LightShare is the part of the latency target within which a light
	// prompt takes the first target in order instead of the best.
	LightShare float64
	// HelperCost is what one more helper must save.
	HelperCost time.Duration
	// MaxHelpers bounds the helpers of a prompt; the engines' interface
	// takes 16.
	MaxHelpers int
	// SparePerScore is the delay that one recent failure of a target counts
	// as.
	SparePerScore time.Duration
	// MemoryShare is the part of an engine's memory that placement fills.
	MemoryShare float64
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
		GentleGap:        250 * time.Millisecond, // the users' shortest gap target is 200 ms
		HarmPerGentle:    120 * time.Millisecond,
		LightShare:       0.6,
		HelperCost:       10 * time.Millisecond,
		MaxHelpers:       8,
		SparePerScore:    300 * time.Millisecond,
		MemoryShare:      0.97,
		NoTargetRetry:    300 * time.Millisecond,
		OverloadRetryMin: 500 * time.Millisecond,
		OverloadRetryMax: 2500 * time.Millisecond,
	}
}
