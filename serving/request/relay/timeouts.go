package relay

import (
	"time"

	"carobspoke.example/core/version/routing"
)

// Timeouts of targets that have an answer pending.
const (
	// callTimeoutLatencyTargets is the timeout of an idempotent call, in
	// latency targets of its route, after which another target is tried. It is
	// at least minCallTimeout.
	callTimeoutLatencyTargets = 3
	minCallTimeout            = 400 * time.Millisecond
	// firstEventTimeoutFactor times the predicted time of the first event is
	// added to the stalled timeout of that event, after which another target is
	// tried.
	firstEventTimeoutFactor = 2
	// unresponsiveShare is the share of the caller's event timeout after which
	// a stream is resumed at another target if its target is unresponsive.
	// stalledShare is the share if the target still answers other requests.
	unresponsiveShare = 0.7
	stalledShare      = 0.85
	// reservationTimeout is how long memory that is reserved for a request may
	// wait for the first event. Users allow reserved memory to stay unused for
	// 9 s, and no other check detects a target that hangs but reports that it
	// is healthy.
	reservationTimeout = 8 * time.Second
	// reservationTimeoutFactor times the predicted time of the first event is
	// the limit instead if that is longer.
	reservationTimeoutFactor = 1.3
	// noTimeout leaves it to the request's deadline to end the attempt.
	noTimeout = time.Hour
	// shutdownMargin is how long before the daemon's shutdown an answer must be
	// complete.
	shutdownMargin = 300 * time.Millisecond
)

// How long callers wait for the next event of a stream before they give up, as
// published for callers: the longest of these three times.
const (
	minCallerEventTimeout       = 2 * time.Second
	callerTimeoutLatencyTargets = 4 // latency targets
	callerTimeoutGapTargets     = 8 // gap targets
)

// callerEventTimeout returns how long callers of a route wait for an event, or
// zero if they wait until their deadline.
func callerEventTimeout(r *routing.Route) time.Duration {
	if r.Kind != routing.Streaming {
		return 0
	}
	return max(minCallerEventTimeout, callerTimeoutLatencyTargets*r.LatencyTarget, callerTimeoutGapTargets*r.GapTarget)
}

// firstEventTimeouts returns the timeouts of the first event of a stream, or of
// the answer to a call.
func (a *attempt) firstEventTimeouts() eventTimeouts {
	switch {
	case !a.mayRetry():
		return eventTimeouts{unresponsive: noTimeout, stalled: noTimeout}
	case a.route.Kind == routing.Streaming:
		l := nextEventTimeouts(a.route)
		l.stalled += firstEventTimeoutFactor * a.placed.Decision.FirstEvent
		return l
	default:
		limit := max(callTimeoutLatencyTargets*a.route.LatencyTarget, minCallTimeout)
		return eventTimeouts{unresponsive: limit, stalled: limit}
	}
}

// withReservation limits the timeouts of the first event of a request that has
// memory reserved at helpers. predicted is the predicted time of this event.
func (l eventTimeouts) withReservation(predicted time.Duration) eventTimeouts {
	limit := max(reservationTimeout, time.Duration(reservationTimeoutFactor*float64(predicted)))
	return eventTimeouts{unresponsive: min(l.unresponsive, limit), stalled: min(l.stalled, limit)}
}

// nextEventTimeouts returns the timeouts of an event after the first.
func nextEventTimeouts(r *routing.Route) eventTimeouts {
	timeout := float64(callerEventTimeout(r))
	return eventTimeouts{unresponsive: time.Duration(unresponsiveShare * timeout), stalled: time.Duration(stalledShare * timeout)}
}

// mayRetry reports whether another attempt may follow if this one fails.
func (a *attempt) mayRetry() bool {
	return a.repeatable() && a.possibleRuns+1 < a.route.MaxAttempts
}
