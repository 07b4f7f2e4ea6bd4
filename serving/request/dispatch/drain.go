package dispatch

import (
	"context"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/version/drain"
)

// DrainEvery is the time between two looks at the work on leaving targets.
const DrainEvery = 500 * time.Millisecond

// defaultStep stands in for an engine's decode step that no report told.
const defaultStep = 60 * time.Millisecond

// active is the work that this daemon has at targets.
type active struct {
	mu     sync.Mutex
	placed map[names.Target]map[*placed]struct{}
}

func (a *active) add(t names.Target, p *placed) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.placed == nil {
		a.placed = make(map[names.Target]map[*placed]struct{})
	}
	if a.placed[t] == nil {
		a.placed[t] = make(map[*placed]struct{})
	}
	a.placed[t][p] = struct{}{}
}

func (a *active) remove(t names.Target, p *placed) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.placed[t], p)
	if len(a.placed[t]) == 0 {
		delete(a.placed, t)
	}
}

// leaving returns the work at each target that leaves.
func (a *active) leaving(view *View) map[names.Target][]*placed {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := make(map[names.Target][]*placed)
	for t, work := range a.placed {
		if _, leaves := view.Index.Departure(t); !leaves {
			continue
		}
		for p := range work {
			found[t] = append(found[t], p)
		}
	}
	return found
}

// RunDrains moves work off leaving targets, if it would not end in time, until
// the context ends. A moved stream continues at another target from the token
// that its caller needs next.
func (d *Dispatcher) RunDrains(ctx context.Context) {
	ticker := time.NewTicker(DrainEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if view := d.Versions.Current(); view != nil {
				d.drain(view, time.Now())
			}
		}
	}
}

func (d *Dispatcher) drain(view *View, now time.Time) {
	for t, work := range d.active.leaving(view) {
		at, _ := view.Index.Departure(t)
		departure := drain.Departure{Leaves: true, At: at}
		for _, p := range work {
			candidate := d.candidate(p, t)
			if action, _ := departure.Decide(p.predict(candidate, now), now); action == drain.Move {
				p.move()
			}
		}
	}
}

func (d *Dispatcher) candidate(p *placed, t names.Target) choice.Candidate {
	for _, c := range d.Admitter.Candidates(p.request.Model) {
		if c.Target == t {
			return c
		}
	}
	return choice.Candidate{}
}

// predict estimates when work ends where it is, and how long it takes to
// prefill it elsewhere.
func (p *placed) predict(c choice.Candidate, now time.Time) drain.Work {
	step := c.Report.StepTime
	if step <= 0 {
		step = defaultStep
	}
	prefill := c.PrefillTime(&p.request)
	left := time.Duration(p.request.MaxTokens-int(p.next.Load())) * step
	if !p.started.Load() {
		left += prefill + c.QueueTime()
	}
	return drain.Work{End: now.Add(left), MoveTime: prefill}
}
