package dispatch

import (
	"context"
	"sync"
	"time"

	"carobspoke.example/core/names"
	"carobspoke.example/core/request/choice"
	"carobspoke.example/core/version/drain"
)

// DrainCheckInterval is the time between two checks of the work on leaving
// targets.
const DrainCheckInterval = 500 * time.Millisecond

// defaultStepTime is the assumed decode step time of an engine that has reported
// none.
const defaultStepTime = 60 * time.Millisecond

// activePlacements holds the placements that this daemon has in flight.
type activePlacements struct {
	mu       sync.Mutex
	byTarget map[names.Target]map[*placementState]struct{}
}

func (a *activePlacements) add(t names.Target, p *placementState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byTarget == nil {
		a.byTarget = make(map[names.Target]map[*placementState]struct{})
	}
	if a.byTarget[t] == nil {
		a.byTarget[t] = make(map[*placementState]struct{})
	}
	a.byTarget[t][p] = struct{}{}
}

func (a *activePlacements) remove(t names.Target, p *placementState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byTarget[t], p)
	if len(a.byTarget[t]) == 0 {
		delete(a.byTarget, t)
	}
}

// onLeavingTargets returns the placements at targets that leave, by target.
func (a *activePlacements) onLeavingTargets(manifest *ManifestState) map[names.Target][]*placementState {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := make(map[names.Target][]*placementState)
	for t, work := range a.byTarget {
		if _, leaves := manifest.Index.Departure(t); !leaves {
			continue
		}
		for p := range work {
			found[t] = append(found[t], p)
		}
	}
	return found
}

// RunDrains moves work off leaving targets if it is not predicted to end in time.
// It runs until the context ends. A moved stream continues at another target from
// the next token that its caller needs.
func (d *Dispatcher) RunDrains(ctx context.Context) {
	ticker := time.NewTicker(DrainCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if manifest := d.Versions.Current(); manifest != nil {
				d.drain(manifest, time.Now())
			}
		}
	}
}

func (d *Dispatcher) drain(manifest *ManifestState, now time.Time) {
	for t, work := range d.active.onLeavingTargets(manifest) {
		at, _ := manifest.Index.Departure(t)
		departure := drain.Departure{Leaves: true, At: at}
		for _, p := range work {
			candidate := d.candidate(p, t)
			if action, _ := departure.Decide(p.predict(candidate, now), now); action == drain.Move {
				p.startMove()
			}
		}
	}
}

func (d *Dispatcher) candidate(p *placementState, t names.Target) choice.Candidate {
	for _, c := range d.Admitter.Candidates(p.request.Model) {
		if c.Target == t {
			return c
		}
	}
	return choice.Candidate{}
}

// predict estimates when the work ends if it stays at its target, and how long
// its prefill takes at another one.
func (p *placementState) predict(c choice.Candidate, now time.Time) drain.Work {
	step := c.Report.StepTime
	if step <= 0 {
		step = defaultStepTime
	}
	prefill := c.PrefillTime(&p.request)
	left := time.Duration(p.request.MaxTokens-int(p.nextOffset.Load())) * step
	if !p.started.Load() {
		left += prefill + c.QueueTime()
	}
	return drain.Work{End: now.Add(left), MoveTime: prefill}
}
