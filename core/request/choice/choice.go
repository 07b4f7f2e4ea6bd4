// Package choice places a request on a target: filters drop targets that
// cannot serve it, scorers predict what each of the rest would cost, and a
// picker takes one.
package choice

import (
	"math/rand/v2"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Candidate is what a daemon knows of a target when it decides.
type Candidate struct {
	Target     names.Target
	DataCentre names.DataCentre
	// Report is the newest load report; ReportAge is its age. Known is false
	// until one has come.
	Report    target.Report
	ReportAge time.Duration
	Known     bool
	// Want is what the manifest says that the target should serve.
	Want target.State
	// OwnTokens is prefill work that this daemon has sent since the report
	// was taken, in tokens; OwnStreams and OwnBlocks count the same work.
	OwnTokens  int
	OwnStreams int
	OwnBlocks  int
	// LeavesAt is when the target stops; zero if it stays.
	LeavesAt time.Time
	// Leaving says that the target takes no new work.
	Leaving bool
	// BreakerOpen says that the target failed of late and is being spared.
	BreakerOpen bool
	// CachedTokens is how much of the prompt the target's prefix cache is
	// thought to hold, in tokens. It is a hint.
	CachedTokens int
	// Isolation marks a target that only runs suspected requests.
	Isolation bool
	// Rank is the target's place in [0, 1] among those of its model. All
	// daemons compute the same from one manifest. The lowest ranks make up the reserve.
	Rank float64
	// Reserved says that the target is in the reserve for short prefills.
	Reserved bool
	// Offset is the target's distance, in [0, 1), from this daemon's place
	// on a ring of all targets. Daemons prefer different targets by it.
	Offset float64
}

// ReportedQueue is what is left now of the queue in the report, in tokens.
func (c *Candidate) ReportedQueue() int {
	drained := c.PrefillRate() * c.ReportAge.Seconds()
	return max(0, c.Report.QueuedTokens-int(drained))
}

// Queue is the estimated prefill work ahead of a new request, in tokens.
func (c *Candidate) Queue() int { return c.ReportedQueue() + c.OwnTokens }

// Step is one part's say about one target.
type Step struct {
	Target names.Target
	// Part is the filter or scorer that spoke.
	Part string
	// Say is "kept", "dropped", or a number.
	Say string
	// Why explains it.
	Why string
}

// Decision is where a request goes, or why it goes nowhere.
type Decision struct {
	Target names.Target
	// FirstToken is the predicted time to the first token.
	FirstToken time.Duration
	// Refusal is set when no target can serve the request.
	Refusal *verdict.Error
	// Steps are the parts' says, for explanation. They are recorded only
	// when asked for.
	Steps []Step
}

// Chooser places requests. Choose is pure: equal arguments and equal random
// numbers give equal decisions. With explain set the decision holds Steps.
type Chooser interface {
	Choose(r facts.Request, candidates []Candidate, now time.Time, random *rand.Rand, explain bool) Decision
}

// DefaultPrefillRate stands in for a rate that nobody told, in tokens a
// second.
const DefaultPrefillRate = 8000

// PrefillRate is the target's prefill rate in tokens a second; it is positive.
func (c *Candidate) PrefillRate() float64 {
	if c.Report.PrefillRate > 0 {
		return c.Report.PrefillRate
	}
	return DefaultPrefillRate
}

// QueueTime is the time until the prefill work ahead of a new request is done.
func (c *Candidate) QueueTime() time.Duration {
	return seconds(float64(c.Queue()) / c.PrefillRate())
}

// PrefillTime is the time of a request's own prefill, without what is cached.
func (c *Candidate) PrefillTime(r *facts.Request) time.Duration {
	return seconds(float64(CostAt(r, c).Prefill) / c.PrefillRate())
}
