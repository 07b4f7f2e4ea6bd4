package load

import (
	"time"

	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/target"
)

// ownDispatch is a dispatch that the newest report cannot contain.
type ownDispatch struct {
	at     time.Time
	tokens int
	blocks int
}

// entry is what the table knows of one target.
type entry struct {
	spec    Spec
	report  target.Report
	known   bool
	taken   time.Time // when the report was taken, by this daemon's clock
	minLag  time.Duration
	own     []ownDispatch
	queue   float64   // estimated prefill queue at queueAt, in tokens
	queueAt time.Time // zero until a report or a dispatch came
	breaker breaker
	pace    pace
	common  *pace // of all targets of the model
}

func newEntry() *entry { return &entry{common: &pace{}} }

// supersedes reports whether the held report is at least as new as r. Boots
// are compared for equality only; a report of another boot is older if it was
// taken earlier.
func (e *entry) supersedes(r target.Report) bool {
	if !e.known {
		return false
	}
	if r.BootID == e.report.BootID {
		return r.Seq <= e.report.Seq
	}
	return r.MeasuredAt.Before(e.report.MeasuredAt)
}

func (e *entry) accept(r target.Report, now time.Time) {
	lag := max(now.Sub(r.MeasuredAt), 0)
	rebooted := e.known && r.BootID != e.report.BootID
	if rebooted || !e.known || lag < e.minLag {
		e.minLag = lag
	}
	if e.minLag > SkewLimit {
		lag -= e.minLag
	}
	if rebooted {
		e.own = nil
		e.breaker.rebooted(now)
	}
	e.report, e.known, e.taken = r, true, now.Add(-lag)
	e.dropSeen()
	e.replay()
}

// dropSeen forgets the dispatches that the report contains.
func (e *entry) dropSeen() {
	kept := e.own[:0]
	for _, d := range e.own {
		if d.at.Add(Transit).After(e.taken) {
			kept = append(kept, d)
		}
	}
	e.own = kept
}

// replay runs the queue from the report through the dispatches since.
func (e *entry) replay() {
	e.queue = float64(e.report.QueuedTokens)
	e.queueAt = e.taken
	for _, d := range e.own {
		e.drain(d.at)
		e.queue += float64(d.tokens)
	}
}

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

// rate is the prefill rate in tokens a second, corrected by what was seen.
func (e *entry) rate() float64 { return e.told() / e.pace.factor() / e.common.factor() }

func (e *entry) told() float64 {
	if e.known && e.report.PrefillRate > 0 {
		return e.report.PrefillRate
	}
	if e.spec.PrefillRate > 0 {
		return e.spec.PrefillRate
	}
	return choice.DefaultPrefillRate
}

// queueTime is the time until the prefill work so far is done.
func (e *entry) queueTime() time.Duration {
	return time.Duration(e.queue / e.rate() * float64(time.Second))
}

func (e *entry) dispatched(d ownDispatch, now time.Time) {
	e.drain(now)
	e.queue += float64(d.tokens)
	e.own = append(e.own, d)
	e.breaker.dispatched(now)
}

// finished takes a dispatch back that the report does not contain. A prefill
// that ended has drained by itself.
func (e *entry) finished(d ownDispatch, first bool, now time.Time) {
	for i, o := range e.own {
		if o != d {
			continue
		}
		e.own = append(e.own[:i], e.own[i+1:]...)
		if !first {
			e.drain(now)
			e.queue = max(0, e.queue-float64(d.tokens))
		}
		return
	}
}

func (e *entry) candidate(now time.Time) choice.Candidate {
	e.drain(now)
	age := max(now.Sub(e.taken), 0)
	c := choice.Candidate{
		Target:      e.spec.Name,
		DataCentre:  e.spec.DataCentre,
		Report:      e.view(),
		Want:        e.spec.Want,
		LeavesAt:    e.spec.LeavesAt,
		Leaving:     e.spec.Leaving,
		BreakerOpen: e.breaker.open(now),
		Isolation:   e.spec.Isolation,
		Rank:        e.spec.Place.Rank,
		RingOffset:  e.spec.Place.Offset,
	}
	if e.known {
		c.ReportAge = age
		c.ReportFresh = age < StaleAfter
	}
	c.UnreportedTokens = max(0, int(e.queue)-c.ReportedQueueTokens())
	for _, d := range e.own {
		c.UnreportedStreams++
		c.UnreportedBlocks += d.blocks
	}
	return c
}

// view is the report with the manifest's figures where it has none.
func (e *entry) view() target.Report {
	r := e.report
	r.Target = e.spec.Name
	r.PrefillRate = e.rate()
	if !e.known {
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
