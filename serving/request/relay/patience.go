package relay

import (
	"time"

	"carobspoke.example/core/version/routing"
)

// Bounds of the silence of a target that owes an answer.
const (
	// callPatience is how many latency targets an idempotent call may take
	// before another target is asked; callLeast bounds it from below.
	callPatience = 3
	callLeast    = 400 * time.Millisecond
	// firstPatience is how many times its prediction a first event may take
	// before another target is asked.
	firstPatience = 2
	// silentShare is the part of its caller's patience after which a stream
	// of a silent target is resumed elsewhere, and stallShare that after
	// which one of a target that answers others is.
	silentShare = 0.7
	stallShare  = 0.85
	// unusedMost is how long memory that is set aside for a request may wait
	// for its first event: the users allow 9 s without use, and a target that
	// hangs and reports that it is well is known by nothing else.
	unusedMost = 8 * time.Second
	// unusedFactor is how many times its prediction the first event may take
	// if that is longer.
	unusedFactor = 1.3
	// noLimit leaves the end of an attempt to the request's deadline.
	noLimit = time.Hour
	// lastAnswer is how long before the daemon's end an answer must be
	// whole.
	lastAnswer = 300 * time.Millisecond
)

// Bounds of a caller's patience with a stream that is silent, as published for
// callers: the longest of these.
const (
	patienceLeast   = 2 * time.Second
	patienceLatency = 4 // latency targets
	patienceGap     = 8 // gap targets
)

// patienceOf returns how long callers of a route wait for an event, or zero if
// they wait to their deadline.
func patienceOf(r *routing.Route) time.Duration {
	if r.Kind != routing.Streaming {
		return 0
	}
	return max(patienceLeast, patienceLatency*r.LatencyTarget, patienceGap*r.GapTarget)
}

// limits returns how long the first event may take.
func (a *attempt) limits() limits {
	switch {
	case !a.mayRepeat():
		return limits{silent: noLimit, stalled: noLimit}
	case a.route.Kind == routing.Streaming:
		l := gapLimits(a.route)
		l.stalled += firstPatience * a.placed.Decision.FirstEvent
		return l
	default:
		limit := max(callPatience*a.route.LatencyTarget, callLeast)
		return limits{silent: limit, stalled: limit}
	}
}

// holding returns the limits of the first event of a request for which memory is
// set aside.
func (l limits) holding(predicted time.Duration) limits {
	most := max(unusedMost, time.Duration(unusedFactor*float64(predicted)))
	return limits{silent: min(l.silent, most), stalled: min(l.stalled, most)}
}

// gapLimits returns how long the next event may take.
func gapLimits(r *routing.Route) limits {
	patience := float64(patienceOf(r))
	return limits{silent: time.Duration(silentShare * patience), stalled: time.Duration(stallShare * patience)}
}

// mayRepeat reports whether another attempt may follow this one if it fails.
func (a *attempt) mayRepeat() bool {
	return a.route.Repeatable() && a.ran+1 < a.route.MaxAttempts
}
