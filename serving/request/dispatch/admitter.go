package dispatch

import (
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/request/admission"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/target"
)

// Admitter drives an admission.Controller: it guards it with a lock and passes
// the current time. It is safe for concurrent use.
type Admitter struct {
	mu         sync.Mutex
	controller *admission.Controller
	// lastAnswerReport is when each target that this daemon keeps last sent a
	// load report with an answer.
	lastAnswerReport map[names.Target]time.Time
}

// NewAdmitter returns an Admitter that takes ownership of the controller.
func NewAdmitter(c *admission.Controller) *Admitter {
	return &Admitter{controller: c, lastAnswerReport: make(map[names.Target]time.Time)}
}

// Admit decides whether a request is admitted or refused.
func (a *Admitter) Admit(arrival admission.Arrival) admission.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Admit(time.Now(), arrival)
}

// Explain returns what Admit would return, with the steps of the decision.
func (a *Admitter) Explain(arrival admission.Arrival) admission.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Explain(time.Now(), arrival)
}

// FirstToken records that the first token of a started request arrived.
func (a *Admitter) FirstToken(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.FirstToken(time.Now(), id)
}

// Finished records the end of an admitted request. answerTokens is the length of
// a complete answer, and zero otherwise.
func (a *Admitter) Finished(id string, outcome load.Outcome, answerTokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Finished(time.Now(), id, outcome, answerTokens)
}

// PartStarted records the dispatch of a part of a span to a target.
func (a *Admitter) PartStarted(d load.Dispatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Table().Dispatched(d, time.Now())
}

// PartFinished records the end of a part that PartStarted recorded.
func (a *Admitter) PartFinished(id string, outcome load.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Table().Finished(id, outcome, time.Now())
}

// Report records a target's load report.
func (a *Admitter) Report(r target.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Report(time.Now(), r)
}

// ReportFromAnswer records a load report that arrived with an answer.
func (a *Admitter) ReportFromAnswer(r target.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if _, kept := a.lastAnswerReport[r.Target]; kept {
		a.lastAnswerReport[r.Target] = now
	}
	a.controller.Report(now, r)
}

// HasRecentReport reports whether a target has sent a load report with an answer
// within the given time.
func (a *Admitter) HasRecentReport(t names.Target, within time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, kept := a.lastAnswerReport[t]
	return kept && time.Since(at) < within
}

// SetMaxReserveShare limits the share of targets that are reserved for short
// prefills. Zero selects the default.
func (a *Admitter) SetMaxReserveShare(share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetMaxReserveShare(share)
}

// SetTargets sets the targets that this daemon keeps.
func (a *Admitter) SetTargets(specs []load.Spec) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Table().SetTargets(specs)
	lastAnswerReport := make(map[names.Target]time.Time, len(specs))
	for i := range specs {
		lastAnswerReport[specs[i].Name] = a.lastAnswerReport[specs[i].Name]
	}
	a.lastAnswerReport = lastAnswerReport
}

// Candidates returns the state of the targets of a model that this daemon keeps.
func (a *Admitter) Candidates(model names.Model) []choice.Candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Candidates(model, time.Now())
}

// InFlight returns the number of requests in flight and the daemon memory that
// they occupy in bytes.
func (a *Admitter) InFlight() (requests, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.InFlight()
}
