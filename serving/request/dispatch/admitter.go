package dispatch

import (
	"context"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/process/load"
	"carobspoke.example/core/request/admission"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/request/facts"
	"carobspoke.example/core/target"
	"carobspoke.example/core/verdict"
)

// Admitter is the shell of an admission.Controller: it holds the lock around
// it and wakes the requests that its actions concern. It is safe for
// concurrent use.
type Admitter struct {
	mu         sync.Mutex
	controller *admission.Controller
	waiting    map[string]chan admission.Action
}

// NewAdmitter returns a shell around a controller, which it owns from now on.
func NewAdmitter(c *admission.Controller) *Admitter {
	return &Admitter{controller: c, waiting: make(map[string]chan admission.Action)}
}

// Admit waits until the controller has decided on a request. A request whose
// context ends while it waits is withdrawn.
func (a *Admitter) Admit(ctx context.Context, arrival admission.Arrival) (admission.Action, error) {
	id := arrival.Request.ID
	decided := a.arrive(id, arrival)
	select {
	case action := <-decided:
		return action, nil
	case <-ctx.Done():
		a.withdraw(id, decided)
		return admission.Action{}, endedWaiting(ctx)
	}
}

func (a *Admitter) arrive(id string, arrival admission.Arrival) <-chan admission.Action {
	decided := make(chan admission.Action, 1)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting[id] = decided
	a.deliver(a.controller.Arrive(time.Now(), arrival))
	return decided
}

// withdraw takes back a request that nobody waits for. If it was started at
// the same moment, its dispatch is ended.
func (a *Admitter) withdraw(id string, decided <-chan admission.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiting, id)
	if a.controller.Cancel(id) {
		return
	}
	select {
	case action := <-decided:
		if action.Kind == admission.Start {
			a.deliver(a.controller.Finished(time.Now(), &action.Request, load.Neutral, 0))
		}
	default:
	}
}

// FirstToken tells that a started request's first token came.
func (a *Admitter) FirstToken(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.FirstToken(time.Now(), id))
}

// Finished tells that a started request ended. answerTokens is the length of a
// whole answer and zero otherwise.
func (a *Admitter) Finished(r *facts.Request, outcome load.Outcome, answerTokens int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.deliver(a.controller.Finished(time.Now(), r, outcome, answerTokens))
}

// Report takes in a target's load report.
func (a *Admitter) Report(r target.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	actions, _ := a.controller.Report(time.Now(), r)
	a.deliver(actions)
}

// Keep sets the targets that this daemon keeps, and how many daemons share
// them.
func (a *Admitter) Keep(specs []load.Spec, daemons int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Table().Apply(specs)
	a.controller.SetDaemons(daemons)
}

// Candidates returns what is known of a model's targets.
func (a *Admitter) Candidates(model names.Model) []choice.Candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Table().Candidates(model, time.Now())
}

// InFlight returns the number of requests at targets.
func (a *Admitter) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Table().InFlight()
}

// Run ticks while requests wait, until the context ends.
func (a *Admitter) Run(ctx context.Context) {
	ticker := time.NewTicker(admission.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			a.tick()
		}
	}
}

func (a *Admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controller.Wait() {
		a.deliver(a.controller.Tick(time.Now()))
	}
}

// deliver hands actions to the requests that wait for them. The channels have
// room for the one action that each request gets.
func (a *Admitter) deliver(actions []admission.Action) {
	for _, action := range actions {
		decided, ok := a.waiting[action.ID]
		if !ok {
			continue
		}
		delete(a.waiting, action.ID)
		decided <- action
	}
}

func endedWaiting(ctx context.Context) error {
	if ctx.Err() == context.DeadlineExceeded {
		return verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the deadline passed before a target was free")
	}
	return verdict.New(verdict.NotRun, verdict.CallerGone, "the caller left before a target was free")
}
