package load

import (
	"time"

	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/target"
)

// unreportedDispatch is a dispatch of this daemon that the newest report of the
// target does not include.
type unreportedDispatch struct {
	at     time.Time
	tokens int
	blocks int
}

// entry is the state of one target in the table.
type entry struct {
	spec       Spec
	report     target.Report
	hasReport  bool
	measuredAt time.Time // when the report was measured, by this daemon's clock
	minLag     time.Duration
	unreported []unreportedDispatch
	queue      float64   // estimated prefill queue at queueAt, in tokens
	queueAt    time.Time // zero before the first report or dispatch
	breaker    breaker
	correction rateCorrection
	// modelCorrection is shared by all targets of the model.
	modelCorrection *rateCorrection
}

func newEntry() *entry { return &entry{modelCorrection: &rateCorrection{}} }

// supersedes reports whether the stored report is at least as new as r. Boot IDs
// have no order; a report of another boot is older if it was measured earlier.
func (e *entry) supersedes(r target.Report) bool {
	if !e.hasReport {
		return false
	}
	if r.BootID == e.report.BootID {
		return r.Seq <= e.report.Seq
	}
	return r.MeasuredAt.Before(e.report.MeasuredAt)
}

// accept stores a report and recomputes the queue from it.
func (e *entry) accept(r target.Report, now time.Time) {
	lag := max(now.Sub(r.MeasuredAt), 0)
	rebooted := e.hasReport && r.BootID != e.report.BootID
	if rebooted || !e.hasReport || lag < e.minLag {
		e.minLag = lag
	}
	if e.minLag > SkewLimit {
		lag -= e.minLag
	}
	if rebooted {
		e.unreported = nil
		e.breaker.rebooted(now)
	}
	e.report, e.hasReport, e.measuredAt = r, true, now.Add(-lag)
	e.dropReported()
	e.replay()
}

// dropReported removes the dispatches that the report includes.
func (e *entry) dropReported() {
	kept := e.unreported[:0]
	for _, d := range e.unreported {
		if d.at.Add(TransitTime).After(e.measuredAt) {
			kept = append(kept, d)
		}
	}
	e.unreported = kept
}

// replay computes the queue from the report and the dispatches since then.
func (e *entry) replay() {
	e.queue = float64(e.report.QueuedTokens)
	e.queueAt = e.measuredAt
	for _, d := range e.unreported {
		e.drain(d.at)
		e.queue += float64(d.tokens)
	}
}

// drain advances the estimated queue to now.
func (e *entry) drain(now time.Time) {
	if e.queueAt.IsZero() {
		e.queueAt = now
	}
	if now.Before(e.queueAt) {
		return
	}
	e.queue = max(0, e.queue-e.rate()*now.Sub(e.queueAt).Seconds())
	e.queueAt = now
}

// rate returns the prefill rate in tokens per second, corrected by the observed
// times to first tokens.
func (e *entry) rate() float64 {
	return e.nominalRate() / e.correction.factor() / e.modelCorrection.factor()
}

// nominalRate returns the prefill rate in tokens per second from the report, the
// manifest or the default.
func (e *entry) nominalRate() float64 {
	if e.hasReport && e.report.PrefillRate > 0 {
		return e.report.PrefillRate
	}
	if e.spec.PrefillRate > 0 {
		return e.spec.PrefillRate
	}
	return choice.DefaultPrefillRate
}

// queueTime returns the time until the queued prefill work is done.
func (e *entry) queueTime() time.Duration {
	return time.Duration(e.queue / e.rate() * float64(time.Second))
}

func (e *entry) dispatched(d unreportedDispatch, now time.Time) {
	e.drain(now)
	e.queue += float64(d.tokens)
	e.unreported = append(e.unreported, d)
	e.breaker.dispatched(now)
}

// finished removes a dispatch that the report does not include. Its prefill work
// is subtracted from the queue only if no first token came: a completed prefill
// has already drained.
func (e *entry) finished(d unreportedDispatch, hadFirstToken bool, now time.Time) {
	for i, o := range e.unreported {
		if o != d {
			continue
		}
		e.unreported = append(e.unreported[:i], e.unreported[i+1:]...)
		if !hadFirstToken {
			e.drain(now)
			e.queue = max(0, e.queue-float64(d.tokens))
		}
		return
	}
}

func (e *entry) candidate(now time.Time) choice.Candidate {
	e.drain(now)
	age := max(now.Sub(e.measuredAt), 0)
	c := choice.Candidate{
		Target:      e.spec.Name,
		DataCentre:  e.spec.DataCentre,
		Report:      e.effectiveReport(),
		Want:        e.spec.Want,
		LeavesAt:    e.spec.LeavesAt,
		Leaving:     e.spec.Leaving,
		BreakerOpen: e.breaker.open(now),
		Isolation:   e.spec.Isolation,
		Rank:        e.spec.Position.Rank,
		RingOffset:  e.spec.Position.Offset,
	}
	if e.hasReport {
		c.ReportAge = age
		c.ReportFresh = age < StaleAfter
	}
	c.UnreportedTokens = max(0, int(e.queue)-c.ReportedQueueTokens())
	for _, d := range e.unreported {
		c.UnreportedStreams++
		c.UnreportedBlocks += d.blocks
	}
	return c
}

// effectiveReport returns the report with the corrected prefill rate, and with
// values of the manifest or defaults where it has none.
func (e *entry) effectiveReport() target.Report {
	r := e.report
	r.Target = e.spec.Name
	r.PrefillRate = e.rate()
	if !e.hasReport {
		r.State = e.spec.Want
		r.TotalBlocks = e.spec.MemoryBlocks
		r.FreeBlocks = e.spec.MemoryBlocks
	}
	if r.BlockTokens <= 0 {
		r.BlockTokens = e.spec.BlockTokens
	}
	if r.BlockTokens <= 0 {
		r.BlockTokens = DefaultBlockTokens
	}
	return r
}
