package placement

import (
	"cmp"
	"slices"
	"time"

	"carobspoke.example/core/process/inflight"
	"carobspoke.example/core/verdict"
)

// mayShed reports whether the prompt may be refused although it can still be answered: it comes
// for the first time, and there is not ample room.
func (a *arrival) mayShed() bool { return !a.Returned && !a.AnswerStarted && !a.room.Ample() }

// yields reports whether the prompt is refused in favour of more urgent ones or of other customers.
func (a *arrival) yields() bool {
	return a.mayShed() &&
		(a.state.AheadOfUrgent(a.Rank, &a.room, a.now) || a.room.Scarce() && a.state.OverShare(a.Customer, a.now))
}

// aim returns the time to the first event above which a heavy prompt counts as late. For a
// customer over its share it is half of the latency target.
func (a *arrival) aim() time.Duration {
	if a.state.OverShare(a.Customer, a.now) {
		return a.LatencyTarget / 2
	}
	return a.LatencyTarget
}

// shedsLate reports whether a heavy prompt that would be late is refused: its targets are in use, and
// it would not be late in any case.
func (p *Placer) shedsLate(a *arrival, targets int, prefill time.Duration) bool {
	idle := prefill / time.Duration(min(targets, p.settings.MaxHelpers+1))
	return a.mayShed() && idle < a.LatencyTarget
}

// refuse returns the refusal of a prompt for which there is predicted to be no room before wait.
func (p *Placer) refuse(a *arrival, wait time.Duration) *verdict.Error {
	delay := a.state.RetryAfter(&a.room, max(wait, p.settings.OverloadRetryMin), a.TimeLeft, p.random.Float64(), a.now)
	return verdict.New(verdict.NotRun, verdict.Overloaded, "no target can serve the request in time").WithRetryAfter(delay)
}

// placeLate places or refuses a light prompt that would be late at every target. While a target has a
// free slot and memory it is deferred there. Otherwise it would take a slot that a later prompt finds
// free, so that late prompts are kept to few targets.
func (p *Placer) placeLate(a *arrival, usable []Candidate, prefill time.Duration) Decision {
	target, first := p.earliest(a, usable, prefill)
	if a.AnswerStarted || a.room.Ample() || p.isOpen(a, target) {
		return p.deferLight(a, target, prefill, first)
	}
	target, first = p.lateTarget(a, usable, prefill)
	if target == nil {
		return Decision{Refusal: p.refuse(a, 0)}
	}
	return p.deferLight(a, target, prefill, first)
}

// earliest returns the target with the earliest predicted first event when the prompt waits for all
// requests that are already there, and that prediction.
func (p *Placer) earliest(a *arrival, usable []Candidate, prefill time.Duration) (*Candidate, time.Duration) {
	best, bestTime := 0, time.Duration(0)
	for i := range usable {
		first := p.deferredFirstEvent(a, &usable[i], prefill)
		if i == 0 || first < bestTime {
			best, bestTime = i, first
		}
	}
	return &usable[best], bestTime
}

// lateTarget returns the target at which most late prompts wait already, the last in Order of equal
// ones, and the predicted first event there. It returns nil if late prompts wait at as many targets as
// they may, and too long.
func (p *Placer) lateTarget(a *arrival, usable []Candidate, prefill time.Duration) (*Candidate, time.Duration) {
	maxTargets := a.room.MaxLateEngines(a.Returned)
	if a.room.LateEngines > maxTargets {
		return nil, 0
	}
	var best *Candidate
	var bestTime time.Duration
	for i := range usable {
		c := &usable[i]
		first := p.deferredFirstEvent(a, c, prefill)
		if first > p.maxFirstEvent(a) || a.room.LateEngines == maxTargets && c.Load.Deferred == 0 {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(c.Load.Deferred, best.Load.Deferred), cmp.Compare(c.Order, best.Order)) > 0 {
			best, bestTime = c, first
		}
	}
	return best, bestTime
}

// deferredFirstEvent predicts the time to the first event of a deferred prompt.
func (p *Placer) deferredFirstEvent(a *arrival, c *Candidate, prefill time.Duration) time.Duration {
	return p.queueWait(a, c, true) + p.slotToFirstEvent(a, c, prefill)
}

// isOpen reports whether a prompt need not wait for a slot or memory at a candidate.
func (p *Placer) isOpen(a *arrival, c *Candidate) bool {
	return c.Load.Answers < max(c.Slots, 1) && p.memoryWait(a, c) == 0
}

// deferLight places a light prompt behind all requests that are in time. In a service with several
// ranks it goes behind those of all ranks.
func (p *Placer) deferLight(a *arrival, c *Candidate, prefill, first time.Duration) Decision {
	priority := deferredLightPriority
	if a.room.Mixed() {
		priority = lowestPriority
	}
	d := p.useOne(a, c, prefill, first, priority)
	d.Parts[0].Deferred = true
	return d
}

// secondPackingShare replaces Settings.PackingShare for light prompts that no target serves within it,
// in services with several ranks and ample room. Larger light prompts then stay with the others, and
// leave targets without urgent answers to long prompts.
const secondPackingShare = 0.9

// firstInTime returns the first target in order that serves the prompt within secondPackingShare, and
// its predicted first event. If there is none, it returns the given ones.
func (p *Placer) firstInTime(a *arrival, usable []Candidate, prefill time.Duration, best int, bestTime time.Duration) (int, time.Duration) {
	acceptable := time.Duration(secondPackingShare * float64(a.LatencyTarget))
	for i := range usable {
		if first := p.firstEvent(a, &usable[i], prefill); first <= acceptable {
			return i, first
		}
	}
	return best, bestTime
}

// freeMemoryFirst moves the candidates that have memory for their part of the prompt to the front:
// memory that a helper does not grant at once is refused.
func (p *Placer) freeMemoryFirst(a *arrival, list []ratedCandidate) {
	slices.SortStableFunc(list, func(x, y ratedCandidate) int {
		return cmp.Compare(min(p.memoryWait(a, x.candidate), 1), min(p.memoryWait(a, y.candidate), 1))
	})
}

// recordPauses records the answers that the parts of a placed prompt are predicted to pause for longer
// than their callers accept.
func (p *Placer) recordPauses(a *arrival, d *Decision, usable []Candidate) {
	for i := range d.Parts {
		at := slices.IndexFunc(usable, func(c Candidate) bool { return c.Target == d.Parts[i].Target })
		load := &usable[at].Load
		before := load.Backlog + PassTime(a.engine, load.Answers, a.engine.MeanPromptTokens)
		for class, bound := range inflight.GapClassBounds {
			if limit := bound - p.settings.PauseMargin; before <= limit && before+d.Parts[i].Prefill > limit {
				a.state.Paused(&load.AnswersByClass[class], a.now)
			}
		}
	}
}
