package admission

import (
	"time"

	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
)

// Settings parametrise a controller.
type Settings struct {
	// MaxQueueTime is the longest queueing delay at a target with which a
	// request may start there. QueueTimePerPrefill is the number of seconds
	// that are added to it for each second of the request's own prefill.
	MaxQueueTime        time.Duration
	QueueTimePerPrefill float64
	// FirstTokenMargin is the factor by which a predicted time to first token
	// is multiplied before the predicted end is compared with the deadline.
	FirstTokenMargin float64
	// MaxReservePrefillTime is the longest prefill that may run in the
	// reserve.
	MaxReservePrefillTime time.Duration
	// MaxReserveShare is the largest share of the targets that the reserve
	// may take; zero disables the reserve. ReserveHeadroom is the ratio of
	// the reserve's share of the targets to the share of the prefill work
	// that may use it.
	MaxReserveShare float64
	ReserveHeadroom float64
	// MaxInFlightBytes bounds the daemon memory that the requests in flight
	// occupy.
	MaxInFlightBytes int
	// MaxSpanEngines is the largest number of engines that one prompt may
	// use; a value below two disables spans.
	MaxSpanEngines int
}

// Defaults of Settings.
const (
	DefaultMaxQueueTime        = time.Second
	DefaultQueueTimePerPrefill = 0.3
	DefaultFirstTokenMargin    = 1.5
	DefaultMaxReserveShare     = 0.33
	DefaultReserveHeadroom     = 1.8
	DefaultMaxInFlightBytes    = 64 << 20
	DefaultMaxSpanEngines      = 4
)

// DefaultSettings returns the settings of this release.
func DefaultSettings() Settings {
	return Settings{
		MaxQueueTime:          DefaultMaxQueueTime,
		QueueTimePerPrefill:   DefaultQueueTimePerPrefill,
		FirstTokenMargin:      DefaultFirstTokenMargin,
		MaxReservePrefillTime: choice.DefaultMaxReservePrefillTime,
		MaxReserveShare:       DefaultMaxReserveShare,
		ReserveHeadroom:       DefaultReserveHeadroom,
		MaxInFlightBytes:      DefaultMaxInFlightBytes,
		MaxSpanEngines:        DefaultMaxSpanEngines,
	}
}

// queueLimit returns the queueing delay up to which a request with the given
// prefill time may start.
func (s *Settings) queueLimit(prefill time.Duration) time.Duration {
	return s.MaxQueueTime + time.Duration(s.QueueTimePerPrefill*float64(prefill))
}

// prioritiesPerCallerPriority is the number of engine priorities that each
// caller priority is divided into.
const prioritiesPerCallerPriority = 2

// Priority returns the engine priority of a request. It orders by the caller's
// priority first, and within one by class, with Short above all others. Medium
// and Long are equal, because a long prefill would otherwise wait for one medium
// prefill after the other.
func Priority(r *facts.Request) int {
	priority := prioritiesPerCallerPriority * r.Priority
	if r.Class == target.Short {
		priority++
	}
	return priority
}
