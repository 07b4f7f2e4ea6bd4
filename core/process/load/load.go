// Package load is the table of targets as one daemon sees them: the newest
// report of each, the daemon's own dispatches that the report cannot contain
// yet, and a circuit breaker.
//
// Reports lag, so the queue at a target is estimated as a fluid: it starts at
// the reported queue at the time the report was taken, drains at the target's
// prefill rate, and grows with each dispatch of this daemon since. What other
// daemons sent in the meantime is unknown; package choice allows for that by
// spreading over near-equal targets.
//
// Engines stamp reports with their own clock. Deadlines already require clocks
// that roughly agree, so a stamp is trusted up to SkewLimit; when every report
// of an engine looks older than that, the smallest lag seen is taken for the
// clock's offset.
//
// An engine may be slower than the prefill rate that it reports. The table
// compares each first token with its prediction and lowers the rate until about
// half of them come no later than predicted, for each target and for all of a
// model, since engines of one kind tend to err alike.
//
// A Table is not safe for concurrent use: the shell holds a lock around each
// call. No call does I/O, and all but Apply take time that does not depend on
// the number of targets, or, for Candidates, only on those of one model. The
// state is bounded: MaxFlights dispatches over all targets, one report each.
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
	// MaxFlights bounds the dispatches that a table remembers.
	MaxFlights = 65536
	// StaleAfter is the age from which a report says nothing any more.
	StaleAfter = 5 * time.Second
	// SkewLimit is the apparent lag up to which an engine's clock is trusted.
	SkewLimit = 2 * time.Second
	// Transit is how long a dispatch travels before the target counts it.
	Transit = 5 * time.Millisecond
	// DefaultBlockTokens stands in for an unknown block size, in tokens.
	DefaultBlockTokens = 16
)

// Spec is what the manifest says of a target that this daemon keeps.
type Spec struct {
	Name       names.Target
	DataCentre names.DataCentre
	Want       target.State
	// MemoryBlocks, BlockTokens and PrefillRate hold until a report comes.
	MemoryBlocks int
	BlockTokens  int
	PrefillRate  float64
	Isolation    bool
	// LeavesAt is when the target stops; zero if it stays. Leaving says that
	// it takes no new work.
	LeavesAt time.Time
	Leaving  bool
	// Place is where the target stands among those of its model, see Places.
	Place Place
}

// Dispatch is a request that the daemon is about to send to a target.
type Dispatch struct {
	// ID is unique among the daemon's dispatches in flight.
	ID     string
	Target names.Target
	// Tokens is the prefill work in tokens, without what is cached.
	Tokens int
	// Blocks is the KV memory that the request will need, in blocks.
	Blocks int
}

// Outcome says what a finished dispatch tells of its target.
type Outcome uint8

// Outcomes.
const (
	// Success means that the target answered to the end.
	Success Outcome = iota
	// Fault means that the target failed, crashed or could not be reached.
	Fault
	// Neutral means that the end says nothing of the target: the caller
	// left, or the target refused in order.
	Neutral
)

// Table holds the targets that a daemon keeps.
type Table struct {
	entries map[names.Target]*entry
	models  map[names.Model][]*entry
	flights map[string]flight
	paces   map[names.Model]*pace
	// TrustRates takes prefill rates as engines report them.
	TrustRates bool
}

type flight struct {
	entry *entry
	own   ownDispatch
	first bool
	// wait is the predicted time to the first token.
	wait time.Duration
}

// New returns an empty table.
func New() *Table {
	return &Table{
		entries: make(map[names.Target]*entry),
		models:  make(map[names.Model][]*entry),
		flights: make(map[string]flight),
		paces:   make(map[names.Model]*pace),
	}
}

// Apply sets the targets that the daemon keeps. What is known of a target that
// stays is kept; a target that is not in specs is forgotten, with its
// dispatches.
func (t *Table) Apply(specs []Spec) {
	entries := make(map[names.Target]*entry, len(specs))
	models := make(map[names.Model][]*entry)
	paces := make(map[names.Model]*pace)
	for _, spec := range specs {
		e := t.entries[spec.Name]
		if e == nil {
			e = newEntry()
		}
		e.spec = spec
		if paces[spec.Want.Model] == nil {
			paces[spec.Want.Model] = t.paceOf(spec.Want.Model)
		}
		e.common = paces[spec.Want.Model]
		entries[spec.Name] = e
		models[spec.Want.Model] = append(models[spec.Want.Model], e)
	}
	for _, list := range models {
		slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.spec.Name, b.spec.Name) })
	}
	t.entries, t.models, t.paces = entries, models, paces
	t.forgetOrphans()
}

func (t *Table) paceOf(m names.Model) *pace {
	if p := t.paces[m]; p != nil {
		return p
	}
	return &pace{}
}

func (t *Table) forgetOrphans() {
	for id, f := range t.flights {
		if t.entries[f.entry.spec.Name] != f.entry {
			delete(t.flights, id)
		}
	}
}

// Report takes in a report received at now. It returns false for a report of
// an unknown target and for one older than that already held.
func (t *Table) Report(r target.Report, now time.Time) bool {
	e := t.entries[r.Target]
	if e == nil || e.supersedes(r) {
		return false
	}
	e.accept(r, now)
	return true
}

// Dispatched notes a request handed to a target at now. It must be called
// before the next Candidates, or one daemon herds on its own choice. A
// dispatch beyond MaxFlights counts as load but cannot be taken back.
func (t *Table) Dispatched(d Dispatch, now time.Time) {
	e := t.entries[d.Target]
	if e == nil {
		return
	}
	own := ownDispatch{at: now, tokens: d.Tokens, blocks: d.Blocks}
	e.dispatched(own, now)
	if len(t.flights) < MaxFlights {
		t.flights[d.ID] = flight{entry: e, own: own, wait: e.queueTime()}
	}
}

// FirstToken notes that the target began to answer: it works, and the time that
// it took tells how fast.
func (t *Table) FirstToken(id string, now time.Time) {
	f, ok := t.flights[id]
	if !ok || f.first {
		return
	}
	if !t.TrustRates {
		f.entry.pace.observe(f.wait, now.Sub(f.own.at))
		f.entry.common.observe(f.wait, now.Sub(f.own.at))
	}
	f.first = true
	t.flights[id] = f
	f.entry.breaker.succeeded()
}

// Finished notes the end of a dispatch, after which its ID is free.
func (t *Table) Finished(id string, outcome Outcome, now time.Time) {
	f, ok := t.flights[id]
	if !ok {
		return
	}
	delete(t.flights, id)
	f.entry.finished(f.own, f.first, now)
	switch outcome {
	case Success:
		f.entry.breaker.succeeded()
	case Fault:
		f.entry.breaker.failed(now)
	case Neutral:
		f.entry.breaker.undecided()
	}
}

// Candidates returns the targets of a model in the order of their names, with
// CachedTokens left at zero.
func (t *Table) Candidates(model names.Model, now time.Time) []choice.Candidate {
	list := t.models[model]
	candidates := make([]choice.Candidate, 0, len(list))
	for _, e := range list {
		candidates = append(candidates, e.candidate(now))
	}
	return candidates
}

// InFlight returns the number of dispatches that the table remembers.
func (t *Table) InFlight() int { return len(t.flights) }
