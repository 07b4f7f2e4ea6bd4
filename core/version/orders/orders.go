// Package orders decides what a target is ordered to serve, and when.
//
// An order is a pure function of the manifest and the target: it asks for the
// state that the manifest wants, with the manifest's version as its fencing
// number. Two daemons that order by the same version give the same order, and
// an engine that checks fencing numbers refuses the older of two versions. An
// engine that checks nothing is read again after each order, and ordered again
// until it serves what is wanted.
//
// Reading weights takes an engine out of service, so a rollout goes in waves
// without anybody in charge of it. The engines of a model are dealt into
// lanes, as many as may be out of service at once. An engine's turn comes when
// all that are before it in its lane serve what is wanted and none after it is
// loading; a lane has few engines, so whoever orders one of them can read the
// others' reports itself.
// An engine whose turn has come gets no new work, and is ordered once it is
// idle, since new weights would cut what it runs. A rollback in the middle is
// the next version: engines that have not loaded are right already.
//
// An engine that cannot be reached does not hold its lane up; one that is
// reached and does not come to serve what is wanted does, so that weights
// which do not load stop at the first engine of each lane.
package orders

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/version/manifest"
)

// Settings of the decisions.
const (
	// QuietFor is how long an engine must have got no new work before its
	// order, so that all daemons know that its turn has come.
	QuietFor = 3 * time.Second
	// FirstRetry and LastRetry bound the wait before an order is repeated;
	// the wait doubles each time.
	FirstRetry = time.Second
	LastRetry  = 15 * time.Second
	// RefreshEvery is the time between orders that only raise an engine's
	// fencing number.
	RefreshEvery = 30 * time.Second
)

// For returns the order for an engine.
func For(v names.Version, t *manifest.Target) target.Order {
	return target.Order{Fence: uint64(v), Want: normal(t.Want)}
}

// Agrees reports whether an engine serves what is wanted.
func Agrees(want, have target.State) bool {
	return !have.Loading && same(want, have)
}

func same(a, b target.State) bool {
	a, b = normal(a), normal(b)
	return sameWeights(a, b) && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}

func sameWeights(a, b target.State) bool {
	return a.Model == b.Model && a.Version == b.Version
}

// normal returns a state without its loading mark, with sorted adapters and
// the role spelt out.
func normal(s target.State) target.State {
	s.Loading = false
	s.Adapters = slices.Sorted(slices.Values(s.Adapters))
	if s.Role == "" {
		s.Role = target.Mixed
	}
	return s
}

// Reason says why an engine is ordered or not.
type Reason string

// Reasons of a decision.
const (
	// Agreed engines serve what is wanted.
	Agreed Reason = "agreed"
	// Unknown engines have not reported of late.
	Unknown Reason = "unknown"
	// Superseded engines have seen a newer version than this daemon has.
	Superseded Reason = "superseded"
	// Leaving engines are not ordered any more.
	Leaving Reason = "leaving"
	// Loading engines were ordered by this version and read weights. What
	// such an engine reports to serve may be the old weights or the new. It
	// is not ordered again before it is done, since some would begin anew.
	Loading Reason = "loading"
	// Waiting engines wait for their turn.
	Waiting Reason = "waiting"
	// Emptying engines finish what they run.
	Emptying Reason = "emptying"
	// Repeating engines were ordered, and are given time to obey.
	Repeating Reason = "repeating"
	// Ordered engines are sent an order for what is wanted.
	Ordered Reason = "ordered"
	// Refreshed engines are sent an order that raises their fencing number.
	Refreshed Reason = "refreshed"
)

// Other is another engine of the same lane.
type Other struct {
	// Known is false if the engine did not answer.
	Known   bool
	Agrees  bool
	Loading bool
}

// Look returns what an engine's report says to the others of its lane.
func Look(want target.State, r target.Report) Other {
	return Other{Known: true, Agrees: Agrees(want, r.State), Loading: r.State.Loading}
}

// Memory is what a daemon remembers of an engine that it orders.
type Memory struct {
	// Version is the version of the last order, Sent when it was sent, and
	// Times how often in a row.
	Version names.Version
	Sent    time.Time
	Times   int
	// QuietSince is when the engine's turn came; zero if it has not.
	QuietSince time.Time
}

// Input is what a decision about an engine rests on.
type Input struct {
	Version names.Version
	Target  *manifest.Target
	Leaving bool
	// Known says that Report is fresh.
	Known  bool
	Report target.Report
	// Before and After are the engines before and after it in its lane.
	Before []Other
	After  []Other
	Memory Memory
}

// Decision is what to do with an engine.
type Decision struct {
	Reason Reason
	// Send says that Order is to be sent now, by whoever orders the engine.
	Send  bool
	Order target.Order
	// Quiet says that the engine is to get no new work.
	Quiet bool
}

// Decide returns what to do with an engine, and what to remember.
func Decide(in Input, now time.Time) (Decision, Memory) {
	m := in.Memory
	if m.Version != in.Version {
		m = Memory{Version: in.Version}
	}
	order := For(in.Version, in.Target)
	switch {
	case in.Leaving:
		return Decision{Reason: Leaving}, m
	case !in.Known:
		return Decision{Reason: Unknown, Quiet: !m.QuietSince.IsZero()}, m
	case in.Report.Fence > uint64(in.Version):
		return Decision{Reason: Superseded}, Memory{Version: in.Version}
	case Agrees(order.Want, in.Report.State):
		return refresh(in, order, m, now)
	default:
		return change(in, order, m, now)
	}
}

// refresh raises the fencing number of an engine that serves what is wanted,
// now and then, so that the engines remember which versions were in force.
func refresh(in Input, order target.Order, m Memory, now time.Time) (Decision, Memory) {
	m.QuietSince = time.Time{}
	behind := in.Target.ChecksFencing && in.Report.Fence < uint64(in.Version)
	if !behind || !m.Sent.IsZero() && now.Sub(m.Sent) < RefreshEvery {
		return Decision{Reason: Agreed}, m
	}
	m.Sent, m.Times = now, 1
	return Decision{Reason: Refreshed, Send: true, Order: order}, m
}

func change(in Input, order target.Order, m Memory, now time.Time) (Decision, Memory) {
	have := in.Report.State
	ordered := m.Times > 0 || in.Report.Fence == uint64(in.Version)
	if have.Loading && ordered {
		return Decision{Reason: Loading}, m
	}
	outOfService := have.Loading || have.Model == ""
	if !outOfService && !turn(in) {
		m.QuietSince = time.Time{}
		return Decision{Reason: Waiting}, m
	}
	cuts := !outOfService && !sameWeights(order.Want, have)
	if cuts && m.QuietSince.IsZero() {
		m.QuietSince = now
	}
	if cuts && (busy(in.Report) || now.Sub(m.QuietSince) < QuietFor) {
		return Decision{Reason: Emptying, Quiet: true}, m
	}
	if m.Times > 0 && now.Sub(m.Sent) < retryAfter(m.Times) {
		return Decision{Reason: Repeating, Quiet: cuts}, m
	}
	m.Sent = now
	m.Times++
	return Decision{Reason: Ordered, Send: true, Order: order, Quiet: cuts}, m
}

// turn reports whether an engine may be taken out of service. An engine after
// it that is loading was ordered by an earlier version.
func turn(in Input) bool {
	for _, other := range in.Before {
		if other.Known && !other.Agrees {
			return false
		}
	}
	for _, other := range in.After {
		if other.Known && other.Loading {
			return false
		}
	}
	return true
}

func busy(r target.Report) bool { return r.RunningStreams > 0 || r.QueuedTokens > 0 }

func retryAfter(times int) time.Duration {
	return min(FirstRetry<<min(times-1, 8), LastRetry)
}
