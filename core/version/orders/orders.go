// Package orders decides which state an engine is ordered to serve, and when.
//
// An order is a pure function of the manifest and the target: it requests the
// state that the manifest wants, with the manifest's version as its fencing
// token. Two daemons with the same version send the same order, and an engine
// that checks fencing tokens refuses the older of two versions. The report of an
// engine that checks none is read after each order, and the order is repeated
// until the engine serves the wanted state.
//
// Loading weights takes an engine out of service, so a rollout proceeds in
// stages. No coordinator is needed: the engines of a model are distributed over
// lanes, and there are as many lanes as engines may be out of service at the
// same time. An engine may be taken out of service once all engines before it in
// its lane serve the wanted state and none after it is loading. A lane has few
// engines, so the daemon that orders one of them can read the reports of the
// others itself.
//
// Such an engine gets no new work and is ordered once it is idle, because
// loading new weights would interrupt its running work. A rollback during a
// rollout is published as the next version: engines that have not loaded the new
// weights already serve the wanted state.
//
// An engine that cannot be reached does not block its lane. One that is reached
// and fails to serve the wanted state does, so weights that do not load stop at
// the first engine of each lane.
package orders

import (
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/target"
	"carobspoke.example/core/version/manifest"
)

// Delays between decisions and orders.
const (
	// MinNoNewWorkTime is how long an engine must have got no new work before
	// it is ordered, so that all daemons have learnt that it may be taken out
	// of service.
	MinNoNewWorkTime = 3 * time.Second
	// MinRetryDelay and MaxRetryDelay bound the delay before an order is
	// repeated. The delay doubles with each repetition.
	MinRetryDelay = time.Second
	MaxRetryDelay = 15 * time.Second
	// RefreshInterval is the time between orders that only raise an engine's
	// fencing token.
	RefreshInterval = 30 * time.Second
)

// NewOrder returns the order of version v for an engine.
func NewOrder(v names.Version, t *manifest.Target) target.Order {
	return target.Order{Fence: uint64(v), Want: normalise(t.Want)}
}

// Converged reports whether an engine serves the wanted state.
func Converged(want, have target.State) bool {
	return !have.Loading && sameState(want, have)
}

func sameState(a, b target.State) bool {
	a, b = normalise(a), normalise(b)
	return sameWeights(a, b) && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}

func sameWeights(a, b target.State) bool {
	return a.Model == b.Model && a.Version == b.Version
}

// normalise returns a state with Loading cleared, sorted adapters and an
// explicit role.
func normalise(s target.State) target.State {
	s.Loading = false
	s.Adapters = slices.Sorted(slices.Values(s.Adapters))
	if s.Role == "" {
		s.Role = target.Mixed
	}
	return s
}

// Reason is why an engine is ordered or not.
type Reason string

// Reasons of a decision.
const (
	// Agreed engines serve the wanted state.
	Agreed Reason = "agreed"
	// Unknown engines have no recent report.
	Unknown Reason = "unknown"
	// Superseded engines have seen a newer version than this daemon's.
	Superseded Reason = "superseded"
	// Leaving engines get no further orders.
	Leaving Reason = "leaving"
	// Loading engines were ordered by this version and are reading weights.
	// Their reports may name the old weights or the new. They are not
	// ordered again until they are done, because some engines would restart
	// the load.
	Loading Reason = "loading"
	// Waiting engines must stay in service until other engines of their
	// lane are done.
	Waiting Reason = "waiting"
	// Emptying engines get no new work and finish what they run.
	Emptying Reason = "emptying"
	// Repeating engines were ordered, and the delay before the order is
	// repeated has not passed.
	Repeating Reason = "repeating"
	// Ordered engines are sent an order for the wanted state.
	Ordered Reason = "ordered"
	// Refreshed engines are sent an order that raises their fencing token.
	Refreshed Reason = "refreshed"
)

// LaneMember is the state of another engine of the same lane.
type LaneMember struct {
	// Reachable reports whether the engine answered.
	Reachable bool
	// Converged reports whether the engine serves the wanted state.
	Converged bool
	// Loading reports whether the engine is loading weights.
	Loading bool
}

// MemberFromReport returns the state of an engine from its report, for decisions
// about the other engines of its lane.
func MemberFromReport(want target.State, r target.Report) LaneMember {
	return LaneMember{Reachable: true, Converged: Converged(want, r.State), Loading: r.State.Loading}
}

// History is a daemon's record of the orders that it sent to an engine.
type History struct {
	// Version is the version of the last order.
	Version names.Version
	// LastSent is when the last order was sent.
	LastSent time.Time
	// SendCount is the number of times in a row that the order was sent.
	SendCount int
	// NoNewWorkSince is the time since which the engine is to get no new work;
	// zero if it may get new work.
	NoNewWorkSince time.Time
}

// Input is the input of a decision about an engine.
type Input struct {
	// Version is the manifest version in force.
	Version names.Version
	Target  *manifest.Target
	// Leaving reports whether the manifest lists a departure of the target.
	Leaving bool
	// ReportFresh reports whether Report is fresh.
	ReportFresh bool
	Report      target.Report
	// Before and After are the engines before and after the target in its
	// lane.
	Before  []LaneMember
	After   []LaneMember
	History History
}

// Decision is what to do with an engine.
type Decision struct {
	Reason Reason
	// Send reports whether Order is to be sent now, by the daemon that orders
	// the engine.
	Send  bool
	Order target.Order
	// NoNewWork reports whether the engine is to get no new work.
	NoNewWork bool
}

// Decide returns what to do with an engine, and the record to pass to the next
// decision.
func Decide(in Input, now time.Time) (Decision, History) {
	history := in.History
	if history.Version != in.Version {
		history = History{Version: in.Version}
	}
	order := NewOrder(in.Version, in.Target)
	switch {
	case in.Leaving:
		return Decision{Reason: Leaving}, history
	case !in.ReportFresh:
		return Decision{Reason: Unknown, NoNewWork: !history.NoNewWorkSince.IsZero()}, history
	case in.Report.Fence > uint64(in.Version):
		return Decision{Reason: Superseded}, History{Version: in.Version}
	case Converged(order.Want, in.Report.State):
		return decideRefresh(in, order, history, now)
	default:
		return decideChange(in, order, history, now)
	}
}

// decideRefresh periodically raises the fencing token of an engine that serves
// the wanted state, so that the engines remember which versions were in force.
func decideRefresh(in Input, order target.Order, history History, now time.Time) (Decision, History) {
	history.NoNewWorkSince = time.Time{}
	tokenOutdated := in.Target.ChecksFencing && in.Report.Fence < uint64(in.Version)
	if !tokenOutdated || !history.LastSent.IsZero() && now.Sub(history.LastSent) < RefreshInterval {
		return Decision{Reason: Agreed}, history
	}
	history.LastSent, history.SendCount = now, 1
	return Decision{Reason: Refreshed, Send: true, Order: order}, history
}

// decideChange decides about an engine that does not serve the wanted state.
func decideChange(in Input, order target.Order, history History, now time.Time) (Decision, History) {
	have := in.Report.State
	ordered := history.SendCount > 0 || in.Report.Fence == uint64(in.Version)
	if have.Loading && ordered {
		return Decision{Reason: Loading}, history
	}
	outOfService := have.Loading || have.Model == ""
	if !outOfService && !mayLeaveService(in) {
		history.NoNewWorkSince = time.Time{}
		return Decision{Reason: Waiting}, history
	}
	interruptsWork := !outOfService && !sameWeights(order.Want, have)
	if interruptsWork && history.NoNewWorkSince.IsZero() {
		history.NoNewWorkSince = now
	}
	if interruptsWork && (hasWork(in.Report) || now.Sub(history.NoNewWorkSince) < MinNoNewWorkTime) {
		return Decision{Reason: Emptying, NoNewWork: true}, history
	}
	if history.SendCount > 0 && now.Sub(history.LastSent) < retryDelay(history.SendCount) {
		return Decision{Reason: Repeating, NoNewWork: interruptsWork}, history
	}
	history.LastSent = now
	history.SendCount++
	return Decision{Reason: Ordered, Send: true, Order: order, NoNewWork: interruptsWork}, history
}

// mayLeaveService reports whether an engine may be taken out of service. An
// engine after it in its lane that is loading was ordered by an earlier version
// and is already out of service.
func mayLeaveService(in Input) bool {
	for _, other := range in.Before {
		if other.Reachable && !other.Converged {
			return false
		}
	}
	for _, other := range in.After {
		if other.Reachable && other.Loading {
			return false
		}
	}
	return true
}

func hasWork(r target.Report) bool { return r.RunningStreams > 0 || r.QueuedTokens > 0 }

// retryDelay returns the delay before an order is repeated that was sent the
// given number of times in a row.
func retryDelay(sendCount int) time.Duration {
	return min(MinRetryDelay<<min(sendCount-1, 8), MaxRetryDelay)
}
