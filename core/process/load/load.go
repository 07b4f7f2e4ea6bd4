// Package load holds one daemon's table of targets: the newest report of each
// target, the daemon's dispatches that the report does not include yet, and a
// circuit breaker.
//
// Reports are delayed, so the queue at a target is estimated with a fluid model:
// it starts at the reported queue at the time when the report was measured,
// drains at the target's prefill rate, and grows with each later dispatch of this
// daemon. The dispatches of other daemons since the report are unknown; package
// choice compensates by spreading requests over near-equal targets.
//
// Engines stamp reports with their own clock. Deadlines already require clocks
// that roughly agree, so a timestamp is trusted up to a lag of SkewLimit. If every
// report of an engine appears older than that, the smallest observed lag is
// taken as the offset of its clock.
//
// An engine may be slower than the prefill rate that it reports. The table
// compares the time to each first token with the predicted time and lowers the
// rate until about half of the tokens come no later than predicted. It corrects
// the rate for each target and for each model, because engines of one kind tend
// to have the same error.
//
// A Table is not safe for concurrent use: the caller holds a lock around each
// call. No call does I/O. The time of a call does not depend on the number of
// targets, except for SetTargets, and for Candidates, which depends on the targets
// of one model. The state is bounded: MaxInFlight dispatches over all targets, and
// one report per target.
package load

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/target"
)

// Limits of a table.
const (
	// MaxInFlight is the maximum number of dispatches that a table tracks.
	MaxInFlight = 65536
	// StaleAfter is the age from which a report is stale.
	StaleAfter = 5 * time.Second
	// SkewLimit is the apparent lag up to which an engine's clock is trusted.
	SkewLimit = 2 * time.Second
	// TransitTime is the time from a dispatch until the target includes it in
	// its reports.
	TransitTime = 5 * time.Millisecond
	// DefaultBlockTokens is the block size in tokens if it is unknown.
	DefaultBlockTokens = 16
)

// Spec is the manifest's description of a target for which this daemon is a
// keeper.
type Spec struct {
	Name       names.Target
	DataCentre names.DataCentre
	Want       target.State
	// MemoryBlocks, BlockTokens and PrefillRate are used until the first report.
	// PrefillRate is in tokens per second.
	MemoryBlocks int
	BlockTokens  int
	PrefillRate  float64
	Isolation    bool
	// LeavesAt is when the target stops; zero if no stop is planned. Leaving is
	// set if the target accepts no new work.
	LeavesAt time.Time
	Leaving  bool
	// Position is the target's position among the targets of its model, see
	// Positions.
	Position Position
}

// Dispatch is a request that the daemon is about to send to a target.
type Dispatch struct {
	// ID is unique among the daemon's dispatches in flight.
	ID     string
	Target names.Target
	// Tokens is the prefill work in tokens, without the cached prefix.
	Tokens int
	// Blocks is the KV cache memory that the request will need, in blocks.
	Blocks int
}

// Outcome is the result of a dispatch as far as it concerns the target's health.
type Outcome uint8

// Outcomes.
const (
	// Success means that the target completed the answer.
	Success Outcome = iota
	// Fault means that the target failed, crashed or could not be reached.
	Fault
	// Neutral means that the result does not show whether the target works: the
	// caller disconnected, or the target refused the request for a valid reason.
	Neutral
)

// Table holds the targets for which a daemon is a keeper.
type Table struct {
	entries          map[names.Target]*entry
	models           map[names.Model][]*entry
	inFlight         map[string]inFlightDispatch
	modelCorrections map[names.Model]*rateCorrection
	// TrustRates disables the correction of prefill rates.
	TrustRates bool
}

type inFlightDispatch struct {
	entry         *entry
	dispatch      unreportedDispatch
	hadFirstToken bool
	// predicted is the predicted time to the first token.
	predicted time.Duration
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries:          make(map[names.Target]*entry),
		models:           make(map[names.Model][]*entry),
		inFlight:         make(map[string]inFlightDispatch),
		modelCorrections: make(map[names.Model]*rateCorrection),
	}
}

// SetTargets sets the targets for which the daemon is a keeper. The state of a target
// that was there before is retained; a target that is not in specs is removed
// with its dispatches.
func (t *Table) SetTargets(specs []Spec) {
	entries := make(map[names.Target]*entry, len(specs))
	models := make(map[names.Model][]*entry)
	corrections := make(map[names.Model]*rateCorrection)
	for _, spec := range specs {
		e := t.entries[spec.Name]
		if e == nil {
			e = newEntry()
		}
		e.spec = spec
		if corrections[spec.Want.Model] == nil {
			corrections[spec.Want.Model] = t.correctionOf(spec.Want.Model)
		}
		e.modelCorrection = corrections[spec.Want.Model]
		entries[spec.Name] = e
		models[spec.Want.Model] = append(models[spec.Want.Model], e)
	}
	for _, list := range models {
		slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.spec.Name, b.spec.Name) })
	}
	t.entries, t.models, t.modelCorrections = entries, models, corrections
	t.dropOrphans()
}

func (t *Table) correctionOf(m names.Model) *rateCorrection {
	if c := t.modelCorrections[m]; c != nil {
		return c
	}
	return &rateCorrection{}
}

// dropOrphans removes the dispatches whose target was removed.
func (t *Table) dropOrphans() {
	for id, f := range t.inFlight {
		if t.entries[f.entry.spec.Name] != f.entry {
			delete(t.inFlight, id)
		}
	}
}

// Report stores a report received at now. It returns false for a report of an
// unknown target and for one that is not newer than the stored report.
func (t *Table) Report(r target.Report, now time.Time) bool {
	e := t.entries[r.Target]
	if e == nil || e.supersedes(r) {
		return false
	}
	e.accept(r, now)
	return true
}

// Dispatched records a request sent to a target at now. It must be called before
// the next call of Candidates; otherwise the daemon sends the next requests to the
// same target as well. A dispatch beyond MaxInFlight counts as load but cannot be
// removed by Finished.
func (t *Table) Dispatched(d Dispatch, now time.Time) {
	e := t.entries[d.Target]
	if e == nil {
		return
	}
	unreported := unreportedDispatch{at: now, tokens: d.Tokens, blocks: d.Blocks}
	e.dispatched(unreported, now)
	if len(t.inFlight) < MaxInFlight {
		t.inFlight[d.ID] = inFlightDispatch{entry: e, dispatch: unreported, predicted: e.queueTime()}
	}
}

// FirstToken records the first token of a dispatch. It closes the breaker, and
// its time corrects the target's prefill rate.
func (t *Table) FirstToken(id string, now time.Time) {
	f, ok := t.inFlight[id]
	if !ok || f.hadFirstToken {
		return
	}
	if !t.TrustRates {
		f.entry.correction.observe(f.predicted, now.Sub(f.dispatch.at))
		f.entry.modelCorrection.observe(f.predicted, now.Sub(f.dispatch.at))
	}
	f.hadFirstToken = true
	t.inFlight[id] = f
	f.entry.breaker.succeeded()
}

// Finished records the end of a dispatch, after which its ID may be reused.
func (t *Table) Finished(id string, outcome Outcome, now time.Time) {
	f, ok := t.inFlight[id]
	if !ok {
		return
	}
	delete(t.inFlight, id)
	f.entry.finished(f.dispatch, f.hadFirstToken, now)
	switch outcome {
	case Success:
		f.entry.breaker.succeeded()
	case Fault:
		f.entry.breaker.failed(now)
	case Neutral:
		f.entry.breaker.inconclusive()
	}
}

// Candidates returns the targets of a model, sorted by name. CachedTokens is not
// set.
func (t *Table) Candidates(model names.Model, now time.Time) []choice.Candidate {
	list := t.models[model]
	candidates := make([]choice.Candidate, 0, len(list))
	for _, e := range list {
		candidates = append(candidates, e.candidate(now))
	}
	return candidates
}

// InFlight returns the number of dispatches that the table tracks.
func (t *Table) InFlight() int { return len(t.inFlight) }
