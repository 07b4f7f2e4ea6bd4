package admission

import (
	"time"

	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
)

// Settings parametrise a controller.
type Settings struct {
	// MaxQueue is the queue at a target, in time, behind which a request may
	// start, and QueuePerPrefill what is added to it for each second of the
	// request's own prefill.
	MaxQueue        time.Duration
	QueuePerPrefill float64
	// Margin is what a predicted time to first token is multiplied with
	// before the end is compared with the deadline.
	Margin float64
	// LendLimit is the longest prefill that the reserve takes.
	LendLimit time.Duration
	// MaxReserve bounds the share of the targets in the reserve; zero
	// switches it off. ReserveHeadroom is the reserve's size in relation to
	// the share of the work that it is for.
	MaxReserve      float64
	ReserveHeadroom float64
	// MaxBytes bounds what the requests in flight take of the daemon's
	// memory.
	MaxBytes int
	// SpanEngines is the largest number of engines that one prompt may use;
	// below two, no prompt may use more than one.
	SpanEngines int
}

// Defaults of Settings.
const (
	DefaultMaxQueue        = time.Second
	DefaultQueuePerPrefill = 0.3
	DefaultMargin          = 1.5
	DefaultMaxReserve      = 0.33
	DefaultReserveHeadroom = 1.8
	DefaultMaxBytes        = 64 << 20
	DefaultSpanEngines     = 4
)

// DefaultSettings returns the settings of this release.
func DefaultSettings() Settings {
	return Settings{
		MaxQueue:        DefaultMaxQueue,
		QueuePerPrefill: DefaultQueuePerPrefill,
		Margin:          DefaultMargin,
		LendLimit:       choice.DefaultLendLimit,
		MaxReserve:      DefaultMaxReserve,
		ReserveHeadroom: DefaultReserveHeadroom,
		MaxBytes:        DefaultMaxBytes,
		SpanEngines:     DefaultSpanEngines,
	}
}

func (s *Settings) limit(prefill time.Duration) time.Duration {
	return s.MaxQueue + time.Duration(s.QueuePerPrefill*float64(prefill))
}

// classPriorities is the number of engine priorities that each caller's
// priority is split into.
const classPriorities = 2

// Priority returns the priority to ask of an engine: that of the caller first,
// and within it Short above all other classes. Medium above Long would keep a
// long prefill waiting for one medium prefill after the other.
func Priority(r *facts.Request) int {
	priority := classPriorities * r.Priority
	if r.Class == target.Short {
		priority++
	}
	return priority
}
