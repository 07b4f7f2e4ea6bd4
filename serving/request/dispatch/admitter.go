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

// Admitter is the shell of an admission.Controller: the lock around it and the
// clock. It is safe for concurrent use.
type Admitter struct {
	mu         sync.Mutex
	controller *admission.Controller
	// told is when each kept target last told its load with an answer.
	told map[names.Target]time.Time
}

// NewAdmitter returns a shell around a controller, which it owns from now on.
func NewAdmitter(c *admission.Controller) *Admitter {
	return &Admitter{controller: c, told: make(map[names.Target]time.Time)}
}

// Arrive decides on a request.
func (a *Admitter) Arrive(arrival admission.Arrival) admission.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Admit(time.Now(), arrival)
}

// Explain says what Arrive would answer.
func (a *Admitter) Explain(arrival admission.Arrival) admission.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Explain(time.Now(), arrival)
}

// FirstToken tells that a started request's first token came.
func (a *Admitter) FirstToken(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.FirstToken(time.Now(), id)
}

// Finished tells that a started request ended. answerTokens is the length of a
// whole answer and zero otherwise.
func (a *Admitter) Finished(id string, outcome load.Outcome, answerTokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Finished(time.Now(), id, outcome, answerTokens)
}

// PartStarted counts work of a span at a target.
func (a *Admitter) PartStarted(d load.Dispatch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Table().Dispatched(d, time.Now())
}

// PartFinished ends what PartStarted counted.
func (a *Admitter) PartFinished(id string, outcome load.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Table().Finished(id, outcome, time.Now())
}

// Report takes in a target's load report.
func (a *Admitter) Report(r target.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Report(time.Now(), r)
}

// Told takes in a load report that came with an answer.
func (a *Admitter) Told(r target.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if _, kept := a.told[r.Target]; kept {
		a.told[r.Target] = now
	}
	a.controller.Report(now, r)
}

// Fresh reports whether a target has told its load with an answer within a
// time.
func (a *Admitter) Fresh(t names.Target, within time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, kept := a.told[t]
	return kept && time.Since(at) < within
}

// SetMaxReserve bounds the share of targets that are reserved for short
// prefills; zero means the default.
func (a *Admitter) SetMaxReserve(share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetMaxReserveShare(share)
}

// Keep sets the targets that this daemon keeps.
func (a *Admitter) Keep(specs []load.Spec) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Table().SetTargets(specs)
	told := make(map[names.Target]time.Time, len(specs))
	for i := range specs {
		told[specs[i].Name] = a.told[specs[i].Name]
	}
	a.told = told
}

// Candidates returns what is known of a model's targets.
func (a *Admitter) Candidates(model names.Model) []choice.Candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Candidates(model, time.Now())
}

// Held returns the requests that are at targets, and their size in bytes.
func (a *Admitter) Held() (requests, bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.InFlight()
}
