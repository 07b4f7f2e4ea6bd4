package admission

import (
	"time"

	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/request/fairness"
	"carobspoke.example/core/target"
)

// Settings parametrise a controller.
type Settings struct {
	// Window is the queue at a target, in time, up to which it gets another
	// request.
	Window time.Duration
	// LongWindow is the same for Long prompts, which wait for one another
	// at the target.
	LongWindow time.Duration
	// Margin is what predicted waits are multiplied with before they are
	// compared with a deadline.
	Margin float64
	// Room bounds what waits for each model and class.
	Room fairness.Room
	// SpanEngines is the largest number of engines that one prompt may use;
	// below two, no prompt may use more than one.
	SpanEngines int
}

// Defaults of Settings.
const (
	DefaultWindow      = 300 * time.Millisecond
	DefaultLongWindow  = 10 * time.Second
	DefaultMargin      = 1.2
	DefaultRoomTokens  = 8_000_000
	DefaultRoomBytes   = 48 << 20
	DefaultSpanEngines = 4
)

// DefaultSettings returns the settings of this release.
func DefaultSettings() Settings {
	return Settings{
		Window:      DefaultWindow,
		LongWindow:  DefaultLongWindow,
		Margin:      DefaultMargin,
		Room:        fairness.Room{Tokens: DefaultRoomTokens, Bytes: DefaultRoomBytes},
		SpanEngines: DefaultSpanEngines,
	}
}

func (s *Settings) window(c target.Class, _ time.Duration) time.Duration {
	if c >= target.Long {
		return s.LongWindow
	}
	return s.Window
}

// classPriorities is the number of engine priorities that each caller's
// priority is split into.
const classPriorities = 4

// Priority returns the priority to ask of an engine: that of the caller first,
// and within it shorter classes above longer ones.
func Priority(r *facts.Request) int {
	return classPriorities*r.Priority + classPriorities - 1 - int(r.Class)
}
