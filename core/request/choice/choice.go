// Package choice selects the target for a request: filters drop targets that
// cannot serve it, scorers predict the time to first token at each of the
// others, and a picker selects one by these predictions.
package choice

import (
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Candidate is a daemon's view of a target at the time of a decision.
type Candidate struct {
	Target     names.Target
	DataCentre names.DataCentre
	// Report is the newest load report and ReportAge its age. ReportFresh is
	// false if no report has arrived yet or the newest is stale.
	Report      target.Report
	ReportAge   time.Duration
	ReportFresh bool
	// Want is the state that the manifest wants of the target.
	Want target.State
	// UnreportedTokens is the prefill work, in tokens, that this daemon has
	// dispatched since the report was taken and that is not done yet.
	// UnreportedStreams and UnreportedBlocks are the streams and KV blocks
	// of these dispatches.
	UnreportedTokens  int
	UnreportedStreams int
	UnreportedBlocks  int
	// LeavesAt is the time at which the target stops; zero if no departure
	// is planned.
	LeavesAt time.Time
	// Leaving is true if the target takes no new work.
	Leaving bool
	// BreakerOpen is true while the target's circuit breaker is open after
	// recent failures.
	BreakerOpen bool
	// CachedTokens is the estimated number of the prompt's tokens that are
	// in the target's prefix cache. The estimate may be wrong.
	CachedTokens int
	// Isolation is true for a target that only runs requests suspected of
	// crashing targets.
	Isolation bool
	// Rank is the target's position in [0, 1] among the targets of its
	// model. All daemons compute the same ranks from the same manifest. The
	// targets with the lowest ranks form the reserve.
	Rank float64
	// Reserved is true if the target is in the reserve for short prefills.
	Reserved bool
	// RingOffset is the target's distance, in [0, 1), from this daemon's
	// position on a ring of all targets. Positions differ between daemons,
	// so that each prefers other targets.
	RingOffset float64
}

// ReportedQueueTokens returns the estimated remainder of the queue in the
// report, in tokens: what the target has not prefilled since the report was
// taken.
func (c *Candidate) ReportedQueueTokens() int {
	drained := c.PrefillRate() * c.ReportAge.Seconds()
	return max(0, c.Report.QueuedTokens-int(drained))
}

// QueueTokens returns the estimated prefill work ahead of a new request, in
// tokens.
func (c *Candidate) QueueTokens() int { return c.ReportedQueueTokens() + c.UnreportedTokens }

// Step is the result of one filter, scorer or picker for one target.
type Step struct {
	Target names.Target
	// Component is the name of the filter or scorer, or "preferences" or
	// "picker".
	Component string
	// Result is "kept", "dropped", "picked" or a score.
	Result string
	// Reason explains the result. For a score it is the unit.
	Reason string
}

// Decision is the target selected for a request, or the refusal if no target
// can serve it.
type Decision struct {
	Target names.Target
	// TimeToFirstToken is the predicted time to the first token.
	TimeToFirstToken time.Duration
	// Refusal is set when no target can serve the request.
	Refusal *verdict.Error
	// Steps explains the decision. It is recorded only on request.
	Steps []Step
}

// Chooser selects targets for requests. Choose is deterministic: equal
// arguments and equal random numbers give equal decisions. If explain is set,
// the decision contains Steps.
type Chooser interface {
	Choose(r facts.Request, candidates []Candidate, now time.Time, random *rand.Rand, explain bool) Decision
}

// DefaultPrefillRate is the prefill rate in tokens per second that is assumed
// for a target that has not reported one.
const DefaultPrefillRate = 8000

// PrefillRate returns the target's prefill rate in tokens per second, which is
// always positive.
func (c *Candidate) PrefillRate() float64 {
	if c.Report.PrefillRate > 0 {
		return c.Report.PrefillRate
	}
	return DefaultPrefillRate
}

// QueueTime returns the predicted time until the prefill work ahead of a new
// request is done.
func (c *Candidate) QueueTime() time.Duration {
	return seconds(float64(c.QueueTokens()) / c.PrefillRate())
}

// PrefillTime returns the predicted prefill time of a request, without the
// cached part of its prompt.
func (c *Candidate) PrefillTime(r *facts.Request) time.Duration {
	return seconds(float64(CostAt(r, c).Prefill) / c.PrefillRate())
}
