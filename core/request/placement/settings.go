package placement

import "time"

// Settings are the thresholds and cost weights of placement. Costs are in the
// unit of Size: prompt tokens.
type Settings struct {
	// HeavyPrefill is the prefill time from which a prompt counts as heavy.
	HeavyPrefill time.Duration
	// PauseMargin and FirstEventMargin are subtracted from the bound on a
	// pause and on the time to the first event, to allow for prediction
	// errors.
	PauseMargin      time.Duration
	FirstEventMargin time.Duration
	// WaitCostPerSecond is the cost of a second of waiting.
	WaitCostPerSecond float64
	// LatencyCostShare is the cost, as a share of the prompt's size, of a
	// first event that arrives exactly at the latency target. The cost of an
	// earlier one is proportional to its time.
	LatencyCostShare float64
	// TargetCostShare is the cost, as a share of the prompt's size, of each
	// target that a late prompt occupies.
	TargetCostShare float64
	// LateDeadlineShare is the share of the time left within which the first
	// event of a late prompt must arrive.
	LateDeadlineShare float64
	// PackingShare is the share of the latency target within which a light
	// prompt takes the first target in order instead of the fastest.
	PackingShare float64
	// FirstEventTimeoutShare is the share of the time left, or of the
	// caller's first event timeout, above which a predicted first event leads
	// to a refusal.
	FirstEventTimeoutShare float64
	// MaxHelpers bounds the helpers of a prompt; the engines' interface
	// takes 16.
	MaxHelpers int
	// FailurePenalty is the delay that each recent failure of a target adds
	// to its predicted wait.
	FailurePenalty time.Duration
	// MemoryShare is the share of an engine's memory that placement fills.
	MemoryShare float64
	// ShutdownTimeFactor is the factor applied to the predicted completion
	// time before it is compared with the time to the daemon's shutdown.
	ShutdownTimeFactor float64
	// ShutdownRetryAfter is the retry delay, for a retry at another daemon,
	// of requests refused because this one shuts down.
	ShutdownRetryAfter time.Duration
	// NoTargetRetryAfter is the retry delay of requests refused because no
	// target is available.
	NoTargetRetryAfter time.Duration
	// OverloadRetryMin and OverloadRetryMax bound the random retry delay of
	// requests refused because of overload.
	OverloadRetryMin time.Duration
	OverloadRetryMax time.Duration
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		HeavyPrefill:           130 * time.Millisecond, // above the longest short prompt of the users' traffic
		PauseMargin:            40 * time.Millisecond,
		FirstEventMargin:       100 * time.Millisecond,
		WaitCostPerSecond:      50_000, // the size of a typical short request is about 20,000
		LatencyCostShare:       0.3,
		TargetCostShare:        0.02,
		LateDeadlineShare:      0.5,
		PackingShare:           0.6,
		FirstEventTimeoutShare: 0.8,
		MaxHelpers:             8,
		FailurePenalty:         300 * time.Millisecond,
		MemoryShare:            0.97,
		ShutdownTimeFactor:     1.3,
		ShutdownRetryAfter:     20 * time.Millisecond,
		NoTargetRetryAfter:     300 * time.Millisecond,
		OverloadRetryMin:       500 * time.Millisecond,
		OverloadRetryMax:       2500 * time.Millisecond,
	}
}
